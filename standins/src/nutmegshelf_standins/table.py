"""In-process access of one client to a store, with faults of its own."""

import dataclasses

from nutmegshelf import exceptions, platform

from nutmegshelf_standins import store


@dataclasses.dataclass(slots=True)
class TableClient:
    """The table and the object store as one client sees them."""

    store: store.Store
    down: bool = False
    lose_answers: bool = False

    async def read(self, key: str) -> platform.Row:
        """Return the row of a key."""
        self._check_availability()
        return self.store.read(key)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[platform.Row]:
        """Return rows with a key prefix, in key order."""
        self._check_availability()
        return self.store.scan(prefix, after, limit)

    async def commit(self, transaction: platform.Transaction) -> platform.CommitResult:
        """Apply a transaction; with lose_answers it takes effect and the response is lost."""
        self._check_availability()
        committed = self.store.commit(transaction)
        if self.lose_answers:
            raise exceptions.TableAnswerLost("response lost (injected fault)")
        return committed

    async def put_object(self, key: str, data: bytes) -> None:
        """Store an object, replacing any previous one."""
        self._check_availability()
        self.store.objects[key] = data

    async def delete_object(self, key: str) -> None:
        """Delete an object if it exists."""
        self._check_availability()
        self.store.objects.pop(key, None)

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        self._check_availability()
        return self.store.objects.get(key)

    def _check_availability(self) -> None:
        if self.down:
            raise exceptions.TableUnavailable("table unavailable (injected fault)")
