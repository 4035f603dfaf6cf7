"""Read what is stored of a service when its lease was taken."""

import asyncio
import collections.abc
import dataclasses
import typing

from nutmegshelf import codecs, exceptions, fleetview, ids, jobs, rebalancing

from nutmegshelf_entry import logs, ports, writer

_RETRY_S = 0.2
# A holder that can't load after so many tries gives its lease up; others may reach the table.
_TRIES = 5
USED = "used"
Lives = list[tuple[fleetview.Incarnation, ids.HostId]]
T = typing.TypeVar("T")

_log = logs.get_logger("loading")


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """Hold the rows of a service: its jobs, how far they are, notices, and the lives in use."""

    submitted: list[jobs.Job]
    progress: dict[ids.JobId, jobs.Progress]
    notices: list[jobs.Notice]
    lives: Lives


async def until_read(
    pool: str, read: collections.abc.Callable[[], collections.abc.Awaitable[T]]
) -> T:
    """Read, and again while the table does not answer; raises TableError after some tries."""
    for _ in range(_TRIES - 1):
        try:
            return await read()
        except exceptions.TableError as error:
            _log.warning("The rows can't be read.", pool=pool, why=str(error))
            await asyncio.sleep(_RETRY_S)
    return await read()


async def service(rows: ports.Rows, pool: ids.PoolName) -> Stored:
    """Read the rows of a service; raises TableUnavailable."""
    # Notices are read first: a job that one of them names is then among the jobs.
    notices = await rows.scan(f"{jobs.INBOX}/{pool}/")
    stored = await rows.scan(f"{jobs.JOBS}/{pool}/")
    progress = await rows.scan(f"{jobs.PROGRESS}/{pool}/")
    used = await rows.scan(f"{USED}/{pool}/")
    return Stored(
        submitted=[job for job in map(writer.read_job, stored) if job is not None],
        progress={one.job: one for one in map(writer.read_progress, progress)},
        notices=[codecs.unpack(row.value, jobs.Notice) for row in notices],
        lives=[one for row in used for one in codecs.unpack(row.value, Lives)],
    )


async def still_here(hosts: ports.Hosts, pool: ids.PoolName, lives: Lives) -> Lives:
    """Leave out lives whose host was moved, taken down or removed: they have ended."""
    try:
        views = await hosts.list_hosts()
    except exceptions.HostsError as error:
        _log.warning("The hosts can't be listed.", pool=pool, why=str(error))
        return lives
    ended = (rebalancing.HostState.MOVING, rebalancing.HostState.UPKEEP)
    own = {
        view.host
        for view in views
        if view.pool == ids.ServiceName(pool) and view.state not in ended
    }
    return [(life, host) for life, host in lives if host in own]
