"""Open the admissions of queues at their services, and find jobs that were stored elsewhere."""

import asyncio
import collections.abc
import dataclasses
import math

from nutmegshelf import assignments, codecs, exceptions, ids, jobs, platform, queues

from nutmegshelf_entry import logs, ports, rowcodec

# How often an admission is read again after another entry has changed it.
_MAX_ATTEMPTS = 4
# What is listed as recent may leave out services that a queue has had for less than this time.
_SERVICES_MAX_AGE_S = 1.0
# After this time without an answer, the services are those that were last read.
_RECENT_TIMEOUT_S = 0.15

_log = logs.get_logger("admissions")


class QueueMoved(exceptions.NutmegshelfError):
    """A newer configuration assigns the queue to another service."""


@dataclasses.dataclass(frozen=True, slots=True)
class OpenAdmission:
    """The condition of a transaction that stores new jobs of a queue at a service.

    The services that had the queue before admit no jobs as long as the condition holds.
    """

    condition: platform.Condition
    former: tuple[ids.ServiceName, ...] = ()


class Admissions:
    """The admissions that this entry knows to have been opened.

    A transaction depends on the row of the admission, so that an outdated one has no effect.
    """

    def __init__(self, rows: ports.RowStore) -> None:
        self._rows = rows
        self._loop = asyncio.get_running_loop()
        self._open: dict[str, OpenAdmission] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        # The services of each queue when its assignment was last read, and when that was.
        self._services: dict[str, tuple[tuple[ids.ServiceName, ...], float]] = {}

    def get(self, queue: queues.Queue) -> OpenAdmission | None:
        """Return the admission of a queue at its service, or None if it isn't known to be open."""
        return self._open.get(assignments.admission_key(queue.service, queue))

    def is_only_service(self, queue: queues.Queue) -> bool:
        """Return whether no other service than the present one is known to have had a queue."""
        admission = self.get(queue)
        return admission is not None and not admission.former

    def is_current(self, admission: OpenAdmission) -> bool:
        """Return whether no transaction has shown that an admission is outdated."""
        return self._open.get(admission.condition.key) is admission

    def forget(self, condition: platform.Condition) -> None:
        """Drop an admission whose row has changed."""
        admission = self._open.get(condition.key)
        if admission is not None and admission.condition == condition:
            del self._open[condition.key]

    async def admit(self, job: jobs.Job, version: ids.Version) -> OpenAdmission | None:
        """Return the admission for a new job, or None if another service has the job already.

        The version is that of the configuration by which the job's queue was found. Raises
        QueueMoved, TableUnavailable, or TableAnswerLost if another service may have the job.
        """
        try:
            admission = self.get(job.queue) or await self.open(job.queue, version)
        except QueueMoved:
            try:
                services = await self.list_services(job.queue)
            except exceptions.TableError as error:
                raise exceptions.TableAnswerLost(
                    f"another service of the queue may have the job: {error}"
                ) from error
            if await self.is_stored(job, services):
                return None
            raise
        if admission.former and await self.is_stored(job, admission.former):
            return None
        return admission

    async def open(self, queue: queues.Queue, version: ids.Version) -> OpenAdmission:
        """Open the admission of a queue at its service; raises QueueMoved or TableUnavailable."""
        key = assignments.admission_key(queue.service, queue)
        async with self._locks.setdefault(key, asyncio.Lock()):
            try:
                for _ in range(_MAX_ATTEMPTS):
                    admission = self._open.get(key) or await self._try_open(key, queue, version)
                    if admission is not None:
                        self._open[key] = admission
                        return admission
            except exceptions.TableAnswerLost as error:
                # Nothing of a job was sent.
                raise exceptions.TableUnavailable(str(error)) from error
        raise exceptions.TableUnavailable(f"other entries are changing {key}")

    async def _try_open(
        self, key: str, queue: queues.Queue, version: ids.Version
    ) -> OpenAdmission | None:
        """Return the open admission, or None if a row was changed by another entry meanwhile."""
        # Read before the assignment: whoever closes it later has changed the assignment first.
        row = await self._rows.read(key)
        admission = _decode_admission(row)
        if admission is not None and admission.is_open:
            return OpenAdmission(platform.Condition(key, row.version), admission.former)
        assignment = await self._assign(queue, version)
        if assignment is None:
            return None
        for former in assignment.former:
            if not await self._close(former, queue, assignment.version):
                return None
        opened = assignments.Admission(
            version=assignment.version, is_open=True, former=assignment.former
        )
        stored = await self._replace(row, codecs.pack(opened))
        if stored is None:
            return None
        _log.info(
            "A service admits the jobs of a queue.",
            queue=queue.name,
            service=queue.service,
            former=assignment.former,
            version=assignment.version,
        )
        return OpenAdmission(platform.Condition(key, stored.version), opened.former)

    async def _assign(
        self, queue: queues.Queue, version: ids.Version
    ) -> assignments.Assignment | None:
        """Return the stored assignment of a queue to its service, or None if the row changed."""
        row = await self._rows.read(assignments.assignment_key(queue))
        current = _decode_assignment(row)
        assignment = assignments.assign(current, queue.service, version)
        if assignment is None:
            raise QueueMoved(f"{row.key} is another service's")
        if assignment == current or await self._replace(row, codecs.pack(assignment)) is not None:
            return assignment
        return None

    async def _close(
        self, service: ids.ServiceName, queue: queues.Queue, version: ids.Version
    ) -> bool:
        """Close the admission of a queue at another service; return False if the row changed."""
        row = await self._rows.read(assignments.admission_key(service, queue))
        admission = _decode_admission(row)
        if admission is not None and admission.version >= version:
            if admission.is_open:
                raise QueueMoved(f"{row.key} was opened by version {admission.version}")
            return True
        closed = assignments.Admission(version=version, is_open=False)
        return await self._replace(row, codecs.pack(closed)) is not None

    async def _replace(self, row: platform.Row, value: bytes) -> platform.Row | None:
        """Store a row in place of the one that was read; return None if that one has changed."""
        committed = await self._rows.commit(
            platform.Transaction(
                conditions=(platform.Condition(row.key, row.version),),
                writes=(platform.Write(row.key, value),),
            )
        )
        return committed.rows[0] if committed.ok else None

    async def is_stored(
        self, job: jobs.Job, services: collections.abc.Iterable[ids.ServiceName]
    ) -> bool:
        """Return whether one of the services has a job; raises TableAnswerLost if unknown."""
        try:
            rows = await asyncio.gather(
                *(self._rows.read(jobs.job_key(service, job.job)) for service in services)
            )
        except exceptions.TableError as error:
            raise exceptions.TableAnswerLost(
                f"a former service of the queue may have the job: {error}"
            ) from error
        return any(row.version for row in rows)

    def get_services(self, queue: queues.Queue) -> tuple[ids.ServiceName, ...]:
        """Return the services that are known here to have had a queue."""
        admission = self.get(queue)
        listed, _ = self._services.get(assignments.assignment_key(queue), ((), 0.0))
        return (*listed, *(admission.former if admission is not None else ()))

    async def list_services(self, queue: queues.Queue) -> tuple[ids.ServiceName, ...]:
        """Return the services that may have jobs of a queue; raises TableUnavailable."""
        key = assignments.assignment_key(queue)
        assignment = _decode_assignment(await self._rows.read(key))
        services = assignment.services if assignment is not None else ()
        self._services[key] = services, self._loop.time()
        return services

    async def list_recent_services(self, queue: queues.Queue) -> tuple[ids.ServiceName, ...]:
        """Return the services as they were a moment ago, or last known without the table."""
        services, read_s = self._services.get(assignments.assignment_key(queue), ((), -math.inf))
        if self._loop.time() - read_s < _SERVICES_MAX_AGE_S or not self._rows.is_available:
            return services
        try:
            async with asyncio.timeout(_RECENT_TIMEOUT_S):
                return await self.list_services(queue)
        except (exceptions.TableError, TimeoutError) as error:
            _log.info("The services of a queue can't be read.", queue=queue.name, why=repr(error))
            return services


def _decode_admission(row: platform.Row) -> assignments.Admission | None:
    return rowcodec.decode(row, assignments.Admission) if row.version else None


def _decode_assignment(row: platform.Row) -> assignments.Assignment | None:
    return rowcodec.decode(row, assignments.Assignment) if row.version else None
