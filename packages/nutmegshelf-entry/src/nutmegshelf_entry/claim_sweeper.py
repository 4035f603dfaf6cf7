"""Delete expired claims, so that their rows don't grow for ever."""

import asyncio
import collections.abc
import random
import time

from nutmegshelf import claims, exceptions, platform

from nutmegshelf_entry import logs, table

_IDLE_INTERVAL_S = 60.0
# Sweeping takes a small and fixed part of the table's writes and reads.
_BUSY_INTERVAL_S = 2.0
_MAX_CLAIMS = 128
_LISTED_ROWS = 256
_log = logs.get_logger("claims")


class ClaimSweeper:
    """Own the deletion of expired claims; every entry may sweep at any time."""

    def __init__(
        self,
        rows: table.Store,
        rng: random.Random,
        get_wall_time_s: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._rows = rows
        self._rng = rng
        self._get_wall_time_s = get_wall_time_s

    async def run(self) -> None:
        """Sweep for ever, slowly."""
        while True:
            try:
                is_busy = await self.sweep_once()
            except exceptions.TableError as error:
                is_busy = False
                _log.warning("Could not sweep claims.", error=str(error))
            interval_s = _BUSY_INTERVAL_S if is_busy else _IDLE_INTERVAL_S
            await asyncio.sleep(interval_s * self._rng.uniform(0.5, 1.5))

    async def sweep_once(self) -> bool:
        """Delete one group of claims; say whether there was one. Raises TableError."""
        now_s = self._get_wall_time_s()
        listed = await self._rows.scan(claims.EXPIRY_PREFIX, limit=_LISTED_ROWS)
        due = [row for row in listed if claims.is_due(row.key, now_s)]
        if not due:
            return False
        # Entries sweep without knowing of each other; a random start seldom meets another's.
        start = self._rng.randrange(len(due))
        rows, keys = claims.select_due(due[start:], _MAX_CLAIMS, now_s)
        found: list[platform.Row] = [await self._rows.read(key) for key in keys]
        swept = claims.plan_sweep(rows, found, now_s)
        for name in swept.objects:
            await self._rows.delete_object(name)
        await self._rows.commit(swept.transaction)
        return True
