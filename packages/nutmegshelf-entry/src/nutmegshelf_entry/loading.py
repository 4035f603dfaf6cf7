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
INCARNATIONS = "used"
IncarnationHosts = list[tuple[fleetview.Incarnation, ids.HostId]]
T = typing.TypeVar("T")

_log = logs.get_logger("loading")


@dataclasses.dataclass(frozen=True, slots=True)
class StoredService:
    """The stored rows of one service: jobs, progress, notices and incarnations in use."""

    submitted: list[jobs.Job]
    progress: dict[ids.JobId, jobs.Progress]
    notices: list[jobs.Notice]
    incarnations: IncarnationHosts


async def read_with_retries(
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


async def load_service(rows: ports.RowStore, pool: ids.PoolName) -> StoredService:
    """Read the rows of a service; raises TableUnavailable."""
    # Notices are read first: a job that one of them names is then among the jobs.
    notices = await rows.scan(f"{jobs.INBOX}/{pool}/")
    stored = await rows.scan(f"{jobs.JOBS}/{pool}/")
    progress = await rows.scan(f"{jobs.PROGRESS}/{pool}/")
    used = await rows.scan(f"{INCARNATIONS}/{pool}/")
    return StoredService(
        submitted=[job for job in map(writer.decode_job, stored) if job is not None],
        progress={one.job: one for one in map(writer.decode_progress, progress)},
        notices=[codecs.unpack(row.value, jobs.Notice) for row in notices],
        incarnations=[one for row in used for one in codecs.unpack(row.value, IncarnationHosts)],
    )


async def filter_live(
    hosts: ports.HostClient, pool: ids.PoolName, incarnations: IncarnationHosts
) -> IncarnationHosts:
    """Leave out incarnations whose host was moved, taken down or removed: they have ended."""
    try:
        views = await hosts.list_hosts()
    except exceptions.HostsError as error:
        _log.warning("The hosts can't be listed.", pool=pool, why=str(error))
        return incarnations
    ended = (rebalancing.HostState.MOVING, rebalancing.HostState.UPKEEP)
    own = {
        view.host
        for view in views
        if view.pool == ids.ServiceName(pool) and view.state not in ended
    }
    return [(life, host) for life, host in incarnations if host in own]
