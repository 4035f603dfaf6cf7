"""Delete expired claims to bound the number of their rows."""

import asyncio
import collections.abc
import random
import time

from nutmegshelf import claims, exceptions, platform

from nutmegshelf_entry import logs, table

_IDLE_INTERVAL_S = 60.0
# Limits sweeping to a small, fixed share of the table's reads and writes.
_BUSY_INTERVAL_S = 2.0
_MAX_CLAIMS_PER_SWEEP = 128
_MAX_LISTED_ROWS = 256
_log = logs.get_logger("claims")


class ClaimSweeper:
    """A periodic deletion of expired claims, which may run in several entries at once."""

    def __init__(
        self,
        store: table.Store,
        rng: random.Random,
        get_wall_time_s: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._rng = rng
        self._get_wall_time_s = get_wall_time_s

    async def run(self) -> None:
        """Sweep continuously, at long intervals when no claims are due."""
        while True:
            try:
                is_busy = await self.sweep_once()
            except exceptions.TableError as error:
                is_busy = False
                _log.warning("Could not sweep claims.", error=str(error))
            interval_s = _BUSY_INTERVAL_S if is_busy else _IDLE_INTERVAL_S
            await asyncio.sleep(interval_s * self._rng.uniform(0.5, 1.5))

    async def sweep_once(self) -> bool:
        """Delete a batch of claims and return whether there was one; raises TableError."""
        now_s = self._get_wall_time_s()
        expiry_rows = await self._store.scan(claims.EXPIRY_PREFIX, limit=_MAX_LISTED_ROWS)
        due = [row for row in expiry_rows if claims.is_due(row.key, now_s)]
        if not due:
            return False
        # Entries sweep independently; a random start makes conflicts between them rare.
        offset = self._rng.randrange(len(due))
        selected_rows, keys = claims.select_due(due[offset:], _MAX_CLAIMS_PER_SWEEP, now_s)
        claim_rows: list[platform.Row] = [await self._store.read(key) for key in keys]
        sweep = claims.plan_sweep(selected_rows, claim_rows, now_s)
        for object_key in sweep.objects:
            await self._store.delete_object(object_key)
        await self._store.commit(sweep.transaction)
        return True
