"""Keep rows and objects in memory with the platform's transactions."""

import itertools

from nutmegshelf import platform


class Store:
    """Hold the table and the objects; every committed write gets a new version."""

    def __init__(self) -> None:
        self.rows: dict[str, platform.Row] = {}
        self.objects: dict[str, bytes] = {}
        self._versions = itertools.count(1)

    def read(self, key: str) -> platform.Row:
        """Give a row; version 0 where there is none."""
        return self.rows.get(key, platform.Row(key, 0))

    def scan(self, prefix: str, after: str, limit: int) -> list[platform.Row]:
        """Give rows by prefix in the order of their keys."""
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return [self.rows[key] for key in keys[:limit]]

    def commit(self, transaction: platform.Transaction) -> platform.CommitResult:
        """Apply a transaction if all its conditions hold."""
        broken = tuple(
            self.read(condition.key)
            for condition in transaction.conditions
            if self.read(condition.key).version != condition.version
        )
        if broken:
            return platform.CommitResult(False, broken)
        version = next(self._versions)
        written: list[platform.Row] = []
        for write in transaction.writes:
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = platform.Row(write.key, version, write.value)
                written.append(self.rows[write.key])
        return platform.CommitResult(True, tuple(written))
