"""Keep the services of a process running, so that an unexpected error ends none of the others."""

import asyncio
import collections.abc

from nutmegshelf_entry import logs

# Bounds the rate of restarts when a service fails at once each time.
_RESTART_DELAY_S = 0.5

_log = logs.get_logger("supervision")


async def keep_running(
    name: str, run: collections.abc.Callable[[], collections.abc.Awaitable[None]]
) -> None:
    """Run a service until it returns; restart it after an unexpected error."""
    while True:
        try:
            return await run()
        except Exception as error:
            _log.error("A service failed and is restarted.", service=name, exc_info=error)
            await asyncio.sleep(_RESTART_DELAY_S)
