"""Route job requests to the holder of their service, or fall back to the table."""

import asyncio
import dataclasses

import msgspec
from nutmegshelf import calls, exceptions, ids, jobs, outages, queues

from nutmegshelf_entry import forwarder, lease_manager, logs, ports, rowcodec

# After this time without an answer of the holder, the table is read instead.
_READ_TIMEOUT_S = 0.8
# Longer than for reads, as the holder may wait for a slow table before it answers.
_WRITE_TIMEOUT_S = 0.9
_MAX_UNSETTLED_JOBS = 4_096
# An entry with a stale configuration usually has the latest one after this time.
_STALE_RETRY_AFTER_S = 1.0

_NOT_STORED = "A submitted job got no confirmation."
_log = logs.get_logger("desk")


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """The holder's reply to a call, if any, and whether the call may have taken effect."""

    reply: calls.Reply | None
    may_have_taken_effect: bool
    # Why there is no reply.
    why: str = ""

    @property
    def summary(self) -> str:
        """Return the status of the reply, or why there is none."""
        return self.reply.status.value if self.reply is not None else self.why


class JobRouter:
    """The route of job requests: the holder here, the holder at a peer, or the table."""

    def __init__(
        self,
        rows: ports.RowStore,
        lease_manager: lease_manager.LeaseManager,
        peers: ports.PeerClient,
        active_queues: queues.ActiveQueues,
        start_forwarder: forwarder.Forwarder,
    ) -> None:
        self._active_queues = active_queues
        self._rows = rows
        self._lease_manager = lease_manager
        self._peers = peers
        self._forwarder = start_forwarder
        # Jobs that may be stored although their callers got an error, the oldest first.
        self._unsettled: dict[ids.JobId, None] = {}

    async def handle_call(self, call: calls.AnyCall) -> calls.Reply:
        """Handle another entry's call, usually for a service that this entry holds."""
        self._active_queues.observe_version(call.version)
        reply = await self._dispatch_call(call)
        return msgspec.structs.replace(reply, version=self._active_queues.version)

    async def _dispatch_call(self, call: calls.AnyCall) -> calls.Reply:
        if isinstance(call, calls.QueueCall) and not self._is_routed(call):
            return calls.Reply(status=calls.Status.NOT_ROUTED)
        match call:
            case calls.CheckTableAccess():
                is_reached = await self._lease_manager.can_read_table(call.service)
                success, failure = calls.Status.DONE, calls.Status.UNSETTLED
                return calls.Reply(status=success if is_reached else failure)
            case calls.ForwardStarts():
                return await self._forwarder.forward(call)
            case calls.LeaseRelinquished():
                self._lease_manager.record_relinquished(call.service, call.epoch)
                return calls.Reply(status=calls.Status.DONE)
        holder = self._lease_manager.get_holder(call.service)
        if holder is None:
            return calls.Reply(status=calls.Status.NOT_HOLDER)
        return await holder.handle_call(call)

    def _is_routed(self, call: calls.QueueCall) -> bool:
        routes = self._active_queues.routes
        if routes is None or routes.declared.version <= call.version:
            return True
        queue = routes.by_name.get(call.queue)
        return queue is not None and queue.service == call.service

    async def call_holder(self, call: calls.AnyCall, timeout_s: float) -> calls.Reply | None:
        """Call the holder of a service; return None if it gives no answer."""
        return (await self._call_holder(call, timeout_s)).reply

    async def _call_holder(self, call: calls.AnyCall, timeout_s: float) -> CallResult:
        holder = self._lease_manager.get_holder(call.service)
        try:
            if holder is not None:
                async with asyncio.timeout(timeout_s):
                    reply = await holder.handle_call(call)
            elif (address := self._lease_manager.get_holder_address(call.service)) is not None:
                versioned_call = msgspec.structs.replace(call, version=self._active_queues.version)
                reply = await self._peers.call(address, versioned_call, timeout_s)
                self._active_queues.observe_version(reply.version)
            else:
                return CallResult(None, may_have_taken_effect=False, why="no holder is known")
        except exceptions.PeerUnreachable as error:
            _log.info("The holder can't be reached.", service=call.service, why=str(error))
            return CallResult(None, may_have_taken_effect=False, why=str(error))
        except (exceptions.PeerAnswerLost, TimeoutError) as error:
            _log.info("The holder gave no answer.", service=call.service, why=repr(error))
            return CallResult(None, may_have_taken_effect=True, why=repr(error))
        if reply.status is calls.Status.NOT_ROUTED:
            kind = exceptions.ErrorKind.CONFIGURATION_STALE
            detail = f"version {reply.version} is in force elsewhere"
            raise exceptions.RequestError(kind, detail, _STALE_RETRY_AFTER_S)
        if reply.status is calls.Status.NOT_HOLDER:
            return CallResult(None, may_have_taken_effect=False, why=reply.status.value)
        return CallResult(reply, may_have_taken_effect=reply.status is calls.Status.UNSETTLED)

    async def submit(self, job: jobs.Job) -> None:
        """Submit a job for storage and execution; raises RequestError."""
        call = calls.SubmitJob(service=job.service, queue=job.queue.name, job=job)
        began_s = asyncio.get_running_loop().time()
        try:
            result = await self._call_holder(call, _WRITE_TIMEOUT_S)
        except exceptions.RequestError as error:
            if job.job in self._unsettled:
                raise self._make_refusal(job, True, error.detail) from error
            raise
        if result.reply is not None and result.reply.status is calls.Status.DONE:
            return
        is_unsettled = job.job in self._unsettled
        may_have_taken_effect = result.may_have_taken_effect or is_unsettled
        log = _log.bind(
            job=job.job,
            service=job.service,
            holder=result.summary,
            holder_may_have_stored=result.may_have_taken_effect,
            is_unsettled=is_unsettled,
            took_s=round(asyncio.get_running_loop().time() - began_s, 3),
        )
        if result.reply is not None and result.reply.status is calls.Status.TABLE_UNAVAILABLE:
            log.info(_NOT_STORED, table="not asked")
            raise self._make_refusal(
                job, may_have_taken_effect, "the table is silent for the service"
            )
        if not self._rows.is_available:
            log.info(_NOT_STORED, table="unavailable, so not asked")
            # Nothing is sent that could still take effect later, so the job certainly did not run.
            raise self._make_refusal(job, may_have_taken_effect, "the table does not answer")
        try:
            committed = await self._rows.commit(jobs.build_submission(job))
        except exceptions.TableRefused as error:
            log.info(_NOT_STORED, table=repr(error))
            raise exceptions.RequestError(
                exceptions.ErrorKind.BODY_TOO_LARGE, str(error)
            ) from error
        except exceptions.TableUnavailable as error:
            log.info(_NOT_STORED, table=repr(error))
            raise self._make_refusal(job, may_have_taken_effect, str(error)) from error
        except exceptions.TableAnswerLost as error:
            log.info(_NOT_STORED, table=repr(error))
            raise self._make_refusal(job, True, str(error)) from error
        self._unsettled.pop(job.job, None)
        _log.info("A job is stored for its holder.", job=job.job, is_new=committed.ok)

    def _make_refusal(
        self, job: jobs.Job, may_have_taken_effect: bool, detail: str
    ) -> exceptions.RequestError:
        if not may_have_taken_effect:
            return exceptions.RequestError(
                exceptions.ErrorKind.TABLE_UNAVAILABLE,
                detail,
                outages.get_retry_after_s(job.queue.timeout_ms / 1000),
            )
        # A retry of this job must not get the answer that it did not run either.
        self._unsettled[job.job] = None
        while len(self._unsettled) > _MAX_UNSETTLED_JOBS:
            del self._unsettled[next(iter(self._unsettled))]
        return exceptions.RequestError(exceptions.ErrorKind.JOB_UNSETTLED, detail)

    async def get_state(self, queue: queues.Queue, job: ids.JobId) -> jobs.JobState:
        """Return a job's state from its holder or the table; raises RequestError."""
        call = calls.GetJob(service=queue.service, queue=queue.name, job=job)
        result = await self._call_holder(call, _READ_TIMEOUT_S)
        if result.reply is not None and result.reply.status is calls.Status.DONE:
            return result.reply.state
        try:
            job_row = await self._rows.read(jobs.job_key(queue.service, job))
            if not job_row.version:
                raise exceptions.RequestError(exceptions.ErrorKind.UNKNOWN_JOB)
            progress_row = await self._rows.read(jobs.progress_key(queue.service, job))
        except exceptions.TableError as error:
            kind = exceptions.ErrorKind.JOB_UNREADABLE
            raise exceptions.RequestError(kind, str(error)) from error
        if not progress_row.version:
            return jobs.JobState.QUEUED
        progress = rowcodec.decode(progress_row, jobs.Progress)
        if progress is None:
            raise exceptions.RequestError(exceptions.ErrorKind.JOB_UNREADABLE, progress_row.key)
        return progress.state

    async def cancel(self, queue: queues.Queue, job: ids.JobId) -> None:
        """Cancel a job, or store the request for its next holder; raises RequestError."""
        call = calls.CancelJob(service=queue.service, queue=queue.name, job=job)
        result = await self._call_holder(call, _WRITE_TIMEOUT_S)
        if result.reply is not None and result.reply.status is calls.Status.DONE:
            return
        try:
            row = await self._rows.read(jobs.job_key(queue.service, job))
            stored_job = rowcodec.decode(row, jobs.Job) if row.version else None
            if stored_job is None:
                raise exceptions.RequestError(exceptions.ErrorKind.UNKNOWN_JOB)
            await self._rows.commit(jobs.build_cancellation(stored_job, row.version))
        except exceptions.TableError as error:
            kind = exceptions.ErrorKind.JOB_UNSETTLED
            raise exceptions.RequestError(kind, str(error)) from error
        _log.info("A job's cancellation is stored for its holder.", job=job)

    async def count_pending(self, queue: queues.Queue) -> int:
        """Return the number of jobs of a queue that have not started; raises RequestError."""
        call = calls.CountPendingJobs(service=queue.service, queue=queue.name)
        result = await self._call_holder(call, _READ_TIMEOUT_S)
        if result.reply is None:
            raise exceptions.RequestError(exceptions.ErrorKind.JOB_UNREADABLE)
        return result.reply.count
