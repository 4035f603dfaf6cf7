"""Answer callers about jobs: through the holder of the service, else through the table."""

import asyncio
import dataclasses

import msgspec
from nutmegshelf import calls, exceptions, ids, jobs, queues

from nutmegshelf_entry import forwarder, lease_manager, logs, ports, writer

# A holder that does not answer within this time is passed over.
_HOLDER_LIMIT_S = 0.8
# The holder may wait for the table, which is slow at times; its answer then goes on to the caller.
_STORING_LIMIT_S = 0.9

_MOST_UNSETTLED = 4_096

_log = logs.get_logger("desk")


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """Say whether a call to the holder may have had an effect, and what it answered."""

    reply: calls.Reply | None
    may_have_taken_effect: bool


class JobRouter:
    """Own the choice of the way for each caller's request."""

    def __init__(
        self,
        rows: ports.RowStore,
        held: lease_manager.LeaseManager,
        peers: ports.PeerClient,
        in_force: queues.ActiveQueues,
        carrying: forwarder.Forwarder,
    ) -> None:
        self._in_force = in_force
        self._rows = rows
        self._shards = held
        self._mesh = peers
        self._carrier = carrying
        # Jobs that may be stored though their callers were not told so, the oldest first.
        self._unsettled: dict[ids.JobId, None] = {}

    async def handle_call(self, call: calls.AnyCall) -> calls.Reply:
        """Answer another entry's call, which is mostly for a service that is held here."""
        self._in_force.observe_version(call.version)
        reply = await self._answer(call)
        return msgspec.structs.replace(reply, version=self._in_force.version)

    async def _answer(self, call: calls.AnyCall) -> calls.Reply:
        if isinstance(call, calls.QueueCall) and not self._is_routed(call):
            return calls.Reply(status=calls.Status.NOT_ROUTED)
        match call:
            case calls.CheckTableAccess():
                is_reached = await self._shards.can_read_table(call.service)
                done, lost = calls.Status.DONE, calls.Status.UNSETTLED
                return calls.Reply(status=done if is_reached else lost)
            case calls.ForwardStarts():
                return await self._carrier.forward(call)
            case calls.LeaseRelinquished():
                self._shards.record_relinquished(call.service, call.epoch)
                return calls.Reply(status=calls.Status.DONE)
        held = self._shards.get_holder(call.service)
        if held is None:
            return calls.Reply(status=calls.Status.NOT_HOLDER)
        return await held.handle_call(call)

    def _is_routed(self, call: calls.QueueCall) -> bool:
        routes = self._in_force.routes
        if routes is None or routes.declared.version <= call.version:
            return True
        queue = routes.by_name.get(call.queue)
        return queue is not None and queue.service == call.service

    async def call_holder(self, call: calls.AnyCall, timeout_s: float) -> calls.Reply | None:
        """Call the holder of a service; gives none where there is no answer."""
        return (await self._ask(call, timeout_s)).reply

    async def _ask(self, call: calls.AnyCall, limit_s: float) -> CallResult:
        held = self._shards.get_holder(call.service)
        try:
            if held is not None:
                async with asyncio.timeout(limit_s):
                    reply = await held.handle_call(call)
            elif (address := self._shards.get_holder_address(call.service)) is not None:
                stamped = msgspec.structs.replace(call, version=self._in_force.version)
                reply = await self._mesh.call(address, stamped, limit_s)
                self._in_force.observe_version(reply.version)
            else:
                return CallResult(None, may_have_taken_effect=False)
        except exceptions.PeerUnreachable as error:
            _log.info("The holder can't be reached.", service=call.service, why=str(error))
            return CallResult(None, may_have_taken_effect=False)
        except (exceptions.PeerAnswerLost, TimeoutError) as error:
            _log.info("The holder gave no answer.", service=call.service, why=repr(error))
            return CallResult(None, may_have_taken_effect=True)
        if reply.status is calls.Status.NOT_ROUTED:
            kind = exceptions.ErrorKind.CONFIGURATION_STALE
            raise exceptions.RequestError(kind, f"version {reply.version} is in force elsewhere")
        if reply.status is calls.Status.NOT_HOLDER:
            return CallResult(None, may_have_taken_effect=False)
        return CallResult(reply, may_have_taken_effect=reply.status is calls.Status.UNSETTLED)

    async def submit(self, job: jobs.Job) -> None:
        """Have a job stored and run; raises RequestError."""
        call = calls.SubmitJob(service=job.service, queue=job.queue.name, job=job)
        try:
            found = await self._ask(call, _STORING_LIMIT_S)
        except exceptions.RequestError as error:
            if job.job in self._unsettled:
                raise self._refusal(job, True, error.detail) from error
            raise
        if found.reply is not None and found.reply.status is calls.Status.DONE:
            return
        may_be_done = found.may_have_taken_effect or job.job in self._unsettled
        if found.reply is not None and found.reply.status is calls.Status.TABLE_UNAVAILABLE:
            raise self._refusal(job, may_be_done, "the table is silent for the service")
        if not self._rows.is_available:
            # Nothing is sent that could be carried out later, so this refusal stays true.
            raise self._refusal(job, may_be_done, "the table does not answer")
        try:
            committed = await self._rows.commit(jobs.build_submission(job))
        except exceptions.TableUnavailable as error:
            raise self._refusal(job, may_be_done, str(error)) from error
        except exceptions.TableAnswerLost as error:
            raise self._refusal(job, True, str(error)) from error
        self._unsettled.pop(job.job, None)
        _log.info("A job is stored for its holder.", job=job.job, is_new=committed.ok)

    def _refusal(self, job: jobs.Job, may_be_done: bool, why: str) -> exceptions.RequestError:
        if not may_be_done:
            return exceptions.RequestError(exceptions.ErrorKind.TABLE_UNAVAILABLE, why)
        # The same job may come again, and must not be called not run then either.
        self._unsettled[job.job] = None
        while len(self._unsettled) > _MOST_UNSETTLED:
            del self._unsettled[next(iter(self._unsettled))]
        return exceptions.RequestError(exceptions.ErrorKind.JOB_UNSETTLED, why)

    async def get_state(self, queue: queues.Queue, job: ids.JobId) -> jobs.JobState:
        """Give a job's state; raises RequestError."""
        call = calls.GetJob(service=queue.service, queue=queue.name, job=job)
        found = await self._ask(call, _HOLDER_LIMIT_S)
        if found.reply is not None and found.reply.status is calls.Status.DONE:
            return found.reply.state
        try:
            stored = await self._rows.read(jobs.job_key(queue.service, job))
            if not stored.version:
                raise exceptions.RequestError(exceptions.ErrorKind.UNKNOWN_JOB)
            row = await self._rows.read(jobs.progress_key(queue.service, job))
        except exceptions.TableError as error:
            kind = exceptions.ErrorKind.JOB_UNREADABLE
            raise exceptions.RequestError(kind, str(error)) from error
        return writer.decode_progress(row).state if row.version else jobs.JobState.QUEUED

    async def cancel(self, queue: queues.Queue, job: ids.JobId) -> None:
        """Have a job cancelled; raises RequestError."""
        call = calls.CancelJob(service=queue.service, queue=queue.name, job=job)
        found = await self._ask(call, _STORING_LIMIT_S)
        if found.reply is not None and found.reply.status is calls.Status.DONE:
            return
        try:
            row = await self._rows.read(jobs.job_key(queue.service, job))
            known = writer.decode_job(row) if row.version else None
            if known is None:
                raise exceptions.RequestError(exceptions.ErrorKind.UNKNOWN_JOB)
            await self._rows.commit(jobs.build_cancellation(known, row.version))
        except exceptions.TableError as error:
            kind = exceptions.ErrorKind.JOB_UNSETTLED
            raise exceptions.RequestError(kind, str(error)) from error
        _log.info("A job's cancelling is stored for its holder.", job=job)

    async def count_pending(self, queue: queues.Queue) -> int:
        """Give how many jobs of a queue have not begun; raises RequestError."""
        call = calls.CountPendingJobs(service=queue.service, queue=queue.name)
        found = await self._ask(call, _HOLDER_LIMIT_S)
        if found.reply is None:
            raise exceptions.RequestError(exceptions.ErrorKind.JOB_UNREADABLE)
        return found.reply.count
