"""Load the stored state of a service after its lease was acquired."""

import asyncio
import collections.abc
import dataclasses
import typing

import msgspec
from nutmegshelf import exceptions, fleetview, ids, jobs, platform, progressrows, rebalancing

from nutmegshelf_entry import logs, ports, rowcodec

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
    """The stored rows of one service, and the worker incarnations that its last holder used.

    The incarnations are None if their row is malformed. A service without such a row has never had
    a holder that started anything.
    """

    submitted: list[jobs.Job]
    progress: dict[ids.JobId, jobs.Progress]
    progress_rows: dict[ids.JobId, progressrows.StoredRows]
    # Jobs with a malformed progress row; started anew they would run twice.
    unreadable: set[ids.JobId]
    notices: list[jobs.Notice]
    incarnations: IncarnationHosts | None
    has_incarnation_row: bool


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
    progress: dict[ids.JobId, jobs.Progress] = {}
    stored_rows: dict[ids.JobId, progressrows.StoredRows] = {}
    unreadable: set[ids.JobId] = set()
    for name, values in _group_by_job(progress_rows).items():
        stored_rows[name] = progressrows.StoredRows()
        try:
            decoded = progressrows.decode(values)
            head = values.get(progressrows.RowName(name))
            is_split = head is not None and progressrows.is_split(head)
        except msgspec.DecodeError as error:
            _log.error("A job's progress can't be decoded.", job=name, why=str(error))
            unreadable.add(name)
            continue
        stored_rows[name].load(values, is_split=is_split)
        if decoded is not None:
            progress[name] = decoded
    return StoredService(
        submitted=[
            job
            for row in job_rows
            if (job := rowcodec.decode(row, jobs.Job)) is not None and job.job not in unreadable
        ],
        progress=progress,
        progress_rows=stored_rows,
        unreadable=unreadable,
        notices=[
            notice
            for row in notice_rows
            if (notice := rowcodec.decode(row, jobs.Notice)) is not None
        ],
        incarnations=_decode_incarnations(incarnation_rows),
        has_incarnation_row=bool(incarnation_rows),
    )


def _group_by_job(
    rows: list[platform.Row],
) -> dict[ids.JobId, dict[progressrows.RowName, bytes]]:
    by_job: dict[ids.JobId, dict[progressrows.RowName, bytes]] = {}
    for row in rows:
        try:
            name = progressrows.parse_row_name(row.key.rpartition("/")[2])
        except ValueError:
            _log.error("A row of progress has no valid name.", key=row.key)
            continue
        by_job.setdefault(name.job, {})[name] = row.value
    return by_job


def _decode_incarnations(rows: list[platform.Row]) -> IncarnationHosts | None:
    incarnations: IncarnationHosts = []
    for row in rows:
        decoded = rowcodec.decode(row, IncarnationHosts)
        if decoded is None:
            return None
        incarnations += decoded
    return incarnations


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
