"""Give one client's view of a store, with its own faults, without a socket."""

import dataclasses

from nutmegshelf import exceptions, platform

from nutmegshelf_standins import store


@dataclasses.dataclass(slots=True)
class TableClient:
    """Be the table for one client."""

    store: store.Store
    down: bool = False
    lose_answers: bool = False

    async def read(self, key: str) -> platform.Row:
        """Read a row."""
        self._check()
        return self.store.read(key)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[platform.Row]:
        """Read rows by prefix."""
        self._check()
        return self.store.scan(prefix, after, limit)

    async def commit(self, transaction: platform.Transaction) -> platform.CommitResult:
        """Apply a transaction; the answer may be lost after it took effect."""
        self._check()
        committed = self.store.commit(transaction)
        if self.lose_answers:
            raise exceptions.TableAnswerLost("lost on demand")
        return committed

    async def put_object(self, key: str, data: bytes) -> None:
        """Store an object."""
        self._check()
        self.store.objects[key] = data

    async def delete_object(self, key: str) -> None:
        """Delete an object."""
        self._check()
        self.store.objects.pop(key, None)

    async def get_object(self, key: str) -> bytes | None:
        """Read an object."""
        self._check()
        return self.store.objects.get(key)

    def _check(self) -> None:
        if self.down:
            raise exceptions.TableUnavailable("down on demand")
