"""Load the stored state of a service after its lease was acquired."""

import asyncio
import collections.abc
import dataclasses
import typing

from nutmegshelf import codecs, exceptions, fleetview, ids, jobs, rebalancing

from nutmegshelf_entry import logs, ports, writer

_RETRY_DELAY_S = 0.2
# A holder whose reads fail this many times gives its lease up, as other entries may reach the
# table.
_MAX_ATTEMPTS = 5
# The kind of the rows with the worker incarnations in use.
INCARNATIONS = "used"
IncarnationHosts = list[tuple[fleetview.Incarnation, ids.HostId]]
T = typing.TypeVar("T")

_log = logs.get_logger("loading")


@dataclasses.dataclass(frozen=True, slots=True)
class StoredService:
    """The stored rows of one service, and the worker incarnations that its last holder used."""

    submitted: list[jobs.Job]
    progress: dict[ids.JobId, jobs.Progress]
    notices: list[jobs.Notice]
    incarnations: IncarnationHosts


async def read_with_retries(
    pool: str, read: collections.abc.Callable[[], collections.abc.Awaitable[T]]
) -> T:
    """Repeat a read while the table does not answer; raises TableError from the last attempt."""
    for _ in range(_MAX_ATTEMPTS - 1):
        try:
            return await read()
        except exceptions.TableError as error:
            _log.warning("The rows can't be read.", pool=pool, why=str(error))
            await asyncio.sleep(_RETRY_DELAY_S)
    return await read()


async def load_service(rows: ports.RowStore, pool: ids.PoolName) -> StoredService:
    """Return the stored rows of a service; raises TableUnavailable."""
    # Notices are read first, so that the jobs read afterwards include every job they name.
    notice_rows = await rows.scan(f"{jobs.INBOX}/{pool}/")
    job_rows = await rows.scan(f"{jobs.JOBS}/{pool}/")
    progress_rows = await rows.scan(f"{jobs.PROGRESS}/{pool}/")
    incarnation_rows = await rows.scan(f"{INCARNATIONS}/{pool}/")
    return StoredService(
        submitted=[job for job in map(writer.decode_job, job_rows) if job is not None],
        progress={
            progress.job: progress for progress in map(writer.decode_progress, progress_rows)
        },
        notices=[codecs.unpack(row.value, jobs.Notice) for row in notice_rows],
        incarnations=[
            pair for row in incarnation_rows for pair in codecs.unpack(row.value, IncarnationHosts)
        ],
    )


async def filter_live(
    hosts: ports.HostClient, pool: ids.PoolName, incarnations: IncarnationHosts
) -> IncarnationHosts:
    """Drop incarnations that ended because their host was moved, taken down or removed."""
    try:
        views = await hosts.list_hosts()
    except exceptions.HostsError as error:
        _log.warning("Failed to list the hosts.", pool=pool, why=str(error))
        return incarnations
    ended_states = (rebalancing.HostState.MOVING, rebalancing.HostState.UPKEEP)
    current_hosts = {
        view.host
        for view in views
        if view.pool == ids.ServiceName(pool) and view.state not in ended_states
    }
    return [(incarnation, host) for incarnation, host in incarnations if host in current_hosts]
