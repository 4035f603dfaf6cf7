"""An in-memory table and object store with the transactions of the platform."""

import itertools

from nutmegshelf import platform


class Store:
    """The rows and objects; every committed transaction gets a new version."""

    def __init__(self) -> None:
        self.rows: dict[str, platform.Row] = {}
        self.objects: dict[str, bytes] = {}
        self._versions = itertools.count(1)

    def read(self, key: str) -> platform.Row:
        """Return the row of a key, with version 0 if it does not exist."""
        return self.rows.get(key, platform.Row(key, 0))

    def scan(self, prefix: str, after: str, limit: int) -> list[platform.Row]:
        """Return up to limit rows with a key prefix, in key order, after a key."""
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return [self.rows[key] for key in keys[:limit]]

    def commit(self, transaction: platform.Transaction) -> platform.CommitResult:
        """Apply a transaction if all its conditions hold, else return the conflicting rows."""
        conflicting_rows = tuple(
            self.read(condition.key)
            for condition in transaction.conditions
            if self.read(condition.key).version != condition.version
        )
        if conflicting_rows:
            return platform.CommitResult(False, conflicting_rows)
        version = next(self._versions)
        written: list[platform.Row] = []
        for write in transaction.writes:
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = platform.Row(write.key, version, write.value)
                written.append(self.rows[write.key])
        return platform.CommitResult(True, tuple(written))
