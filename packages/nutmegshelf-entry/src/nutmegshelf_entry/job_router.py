"""Route job requests to the holder of their service, or fall back to the table."""

import asyncio
import collections.abc
import dataclasses

import msgspec
from nutmegshelf import (
    calls,
    doubt_coverage,
    exceptions,
    ids,
    jobs,
    progressrows,
    queues,
    rejections,
    submissions,
)

from nutmegshelf_entry import (
    admissions,
    doubt_reports,
    doubt_watch,
    forwarder,
    lease_manager,
    logs,
    ports,
    rowcodec,
)

# After this time without an answer of the holder, the table is read instead.
_READ_TIMEOUT_S = 0.8
# Longer than for reads, as the holder may wait for a slow table before it answers.
_WRITE_TIMEOUT_S = 0.9
_CHECK_TIMEOUT_S = 0.1
# How long an answer to a caller waits until the other entries know that it is in doubt.
_REPORT_WAIT_S = 0.15
# The same once the caller's time limit has ended; shorter than the reserve for the response.
_LATE_REPORT_WAIT_S = 0.06
_MAX_KNOWN_JOBS = 16_384
# How often the admission of a job's queue may change until the job is rejected.
_MAX_ADMISSIONS = 3
# An entry with a stale configuration usually has the latest one after this time.
_STALE_RETRY_AFTER_S = 1.0

_log = logs.get_logger("desk")


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """The holder's reply to a call, if any, and whether the call may have taken effect."""

    reply: calls.Reply | None
    may_have_taken_effect: bool
    # The holder has been missing for so short that it may have stored what nobody knows of yet.
    is_holder_lost: bool = False
    # Why there is no reply.
    why: str = ""

    @property
    def summary(self) -> str:
        """Return the status of the reply, or why there is none."""
        return self.reply.status.value if self.reply is not None else self.why


@dataclasses.dataclass(frozen=True, slots=True)
class _Missing:
    """A job that a service doesn't have, and whether it may still be stored there."""

    may_appear: bool

    def make_error(self, failure: exceptions.ErrorKind) -> exceptions.RequestError:
        """Return what a caller is told, with the given kind if the job may appear."""
        if self.may_appear:
            return exceptions.RequestError(failure, "its submission is in doubt")
        return exceptions.RequestError(exceptions.ErrorKind.UNKNOWN_JOB)


_Found = jobs.JobState | _Missing


@dataclasses.dataclass(frozen=True, slots=True)
class _StoreResult:
    """What became of one submission, what its caller is told, and who else submitted the job."""

    outcome: submissions.Outcome
    refusal: exceptions.RequestError | None = None
    other_submitters: tuple[calls.Submitter, ...] = ()
    # Whether a holder named them, and whether it knows all of the last seconds.
    has_holder: bool = False
    are_submitters_known: bool = False
    is_holder_lost: bool = False


class JobRouter:
    """The route of job requests: the holder here, the holder at a peer, or the table."""

    def __init__(
        self,
        rows: ports.RowStore,
        lease_manager: lease_manager.LeaseManager,
        peers: ports.PeerClient,
        active_queues: queues.ActiveQueues,
        start_forwarder: forwarder.Forwarder,
        *,
        queue_admissions: admissions.Admissions,
        doubt_reporter: doubt_reports.DoubtReporter,
        list_active_addresses: collections.abc.Callable[[], list[str]],
        submitter: calls.Submitter,
    ) -> None:
        self._active_queues = active_queues
        self._rows = rows
        self._lease_manager = lease_manager
        self._peers = peers
        self._forwarder = start_forwarder
        self._admissions = queue_admissions
        self._doubt_reporter = doubt_reporter
        self._submitter = submitter
        self._loop = asyncio.get_running_loop()
        self._ledger = submissions.Ledger(_MAX_KNOWN_JOBS)
        self.doubt_watch = doubt_watch.DoubtWatch(peers, list_active_addresses, self._ledger)
        lease_manager.on_predecessor_known = self.doubt_watch.coverage.record_predecessor
        self._absences = submissions.HolderAbsences()

    async def handle_call(self, call: calls.AnyCall) -> calls.Reply:
        """Handle another entry's call, usually for a service that this entry holds."""
        self._active_queues.observe_version(call.version)
        reply = await self._dispatch_call(call)
        return msgspec.structs.replace(reply, version=self._active_queues.version)

    async def _dispatch_call(self, call: calls.AnyCall) -> calls.Reply:
        if isinstance(call, calls.QueueCall) and not self._is_routed(call):
            return calls.Reply(status=calls.Status.NOT_ROUTED)
        match call:
            case calls.ForwardStarts():
                return await self._forwarder.forward(call)
            case calls.CheckTableAccess():
                is_reached = await self._lease_manager.can_read_table(call.service)
                status = calls.Status.DONE if is_reached else calls.Status.UNSETTLED
            case calls.CheckSubmission():
                can_rule_out = self._can_rule_out(call)
                status = calls.Status.NOT_STORED if can_rule_out else calls.Status.UNSETTLED
            case calls.LeaseRelinquished():
                self._lease_manager.record_relinquished(
                    call.service, call.epoch, leaves_starts=call.leaves_starts
                )
                status = calls.Status.DONE
            case calls.ReportDoubts():
                for job in call.jobs:
                    self._ledger.report_doubt(job, self._loop.time())
                status = calls.Status.DONE
            case calls.ListDoubts():
                return await self.doubt_watch.answer(call)
            case _:
                holder = self._lease_manager.get_holder(call.service)
                if holder is not None:
                    return await holder.handle_call(call)
                status = calls.Status.NOT_HOLDER
        return calls.Reply(status=status)

    def _can_rule_out(self, call: calls.CheckSubmission) -> bool:
        is_same_process = call.incarnation == self._submitter.incarnation
        return is_same_process and not self._ledger.may_be_stored(call.job, self._loop.time())

    def _is_routed(self, call: calls.QueueCall) -> bool:
        routes = self._active_queues.routes
        if routes is None or routes.declared.version <= call.version:
            return True
        queue = routes.by_name.get(call.queue)
        if queue is None or not isinstance(call, calls.SubmitJob):
            # Accepted jobs are served where they are, whatever service their queue has now.
            return queue is not None
        return queue.service == call.service

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
                version = call.version or self._active_queues.version
                versioned_call = msgspec.structs.replace(call, version=version)
                reply = await self._peers.call(address, versioned_call, timeout_s)
                self._active_queues.observe_version(reply.version)
            else:
                return self._make_missing_holder_result(call, "no holder is known")
        except exceptions.PeerUnreachable as error:
            _log.info("The holder can't be reached.", service=call.service, why=str(error))
            return self._make_missing_holder_result(call, str(error))
        except (exceptions.PeerAnswerLost, TimeoutError) as error:
            _log.info("The holder gave no answer.", service=call.service, why=repr(error))
            return CallResult(None, may_have_taken_effect=True, why=repr(error))
        if reply.status is calls.Status.NOT_ROUTED:
            kind = exceptions.ErrorKind.CONFIGURATION_STALE
            detail = f"version {reply.version} is in force elsewhere"
            raise exceptions.RequestError(kind, detail, _STALE_RETRY_AFTER_S)
        if reply.status is calls.Status.NOT_HOLDER:
            return self._make_missing_holder_result(call, reply.status.value)
        self._absences.end(call.service)
        return CallResult(reply, may_have_taken_effect=reply.status is calls.Status.UNSETTLED)

    def _make_missing_holder_result(self, call: calls.AnyCall, why: str) -> CallResult:
        """Return the result of a call that had no effect, as its service has no holder now."""
        lease_version = self._lease_manager.get_lease_version(call.service)
        is_recent = self._absences.notice(call.service, lease_version, self._loop.time())
        return CallResult(None, may_have_taken_effect=False, is_holder_lost=is_recent, why=why)

    async def submit(self, job: jobs.Job, version: ids.Version = ids.NO_VERSION) -> None:
        """Submit a job for storage and execution; raises RequestError.

        The version is that of the configuration by which its queue was found, by default the active
        one. Unless it is proven that neither this nor an earlier submission of the job is carried
        out, the error says that the job may run.
        """
        self._ledger.begin(job.job)
        result = _StoreResult(submissions.Outcome.UNKNOWN)
        try:
            result = await self._store(job, version or self._active_queues.version)
        finally:
            self._ledger.end(job.job, result.outcome, self._loop.time())
            if result.outcome is submissions.Outcome.UNKNOWN:
                reported = self._doubt_reporter.add(job)
                if result.refusal is None:
                    # The caller's time limit has ended, and its retry may follow at once.
                    await self._doubt_reporter.wait(job, reported, _LATE_REPORT_WAIT_S)
        if result.refusal is None or self._ledger.is_stored(job.job):
            return
        elsewhere = submissions.Outcome.NOT_STORED
        if rejections.is_rejection(result.refusal):
            elsewhere = await self._find_elsewhere(job)
        if elsewhere is submissions.Outcome.STORED:
            return
        if elsewhere is submissions.Outcome.UNKNOWN:
            self._ledger.report_doubt(job.job, self._loop.time())
        if result.outcome is submissions.Outcome.UNKNOWN:
            await self._doubt_reporter.wait(job, reported, _REPORT_WAIT_S)
        elif result.is_holder_lost or not await self._do_others_rule_out(
            job.service, job.job, result.other_submitters
        ):
            # Nothing of this submission is under way; others may be.
            self._ledger.report_doubt(job.job, self._loop.time())
        raise await self.qualify_refusal(
            job.job,
            result.refusal,
            are_submitters_known=result.are_submitters_known,
            has_holder=result.has_holder,
        )

    async def _find_elsewhere(self, job: jobs.Job) -> submissions.Outcome:
        """Return whether a job that would be rejected is stored at a service of its queue."""
        services = await self._admissions.list_recent_services(job.queue)
        if not {*services} - {job.service}:
            return submissions.Outcome.NOT_STORED
        try:
            is_stored = await self._admissions.is_stored(job, services)
        except exceptions.TableError as error:
            _log.info("It isn't known which service has a job.", job=job.job, why=str(error))
            return submissions.Outcome.UNKNOWN
        return submissions.Outcome.STORED if is_stored else submissions.Outcome.NOT_STORED

    async def _do_others_rule_out(
        self, service: ids.ServiceName, job: ids.JobId, submitters: tuple[calls.Submitter, ...]
    ) -> bool:
        """Return whether all other entries that submitted a job rule out that they stored it."""

        async def rules_out(submitter: calls.Submitter) -> bool:
            call = calls.CheckSubmission(
                service=service, job=job, incarnation=submitter.incarnation
            )
            try:
                reply = await self._peers.call(submitter.address, call, _CHECK_TIMEOUT_S)
            except exceptions.PeerError as error:
                _log.info(
                    "An entry did not say what became of a submission.",
                    job=job,
                    entry_address=submitter.address,
                    why=str(error),
                )
                return False
            return reply.status is calls.Status.NOT_STORED

        others = [submitter for submitter in submitters if submitter != self._submitter]
        return all(await asyncio.gather(*map(rules_out, others)))

    async def qualify_refusal(
        self,
        job: ids.JobId,
        refusal: exceptions.RequestError,
        *,
        are_submitters_known: bool = False,
        has_holder: bool = False,
    ) -> exceptions.RequestError:
        """Return a refusal of a job as it is, or one that says that the job may run."""
        if refusal.is_qualified or refusal.outcome is not exceptions.Outcome.NOT_RUN:
            return refusal
        refusal.is_qualified = True
        now_s = self._loop.time()
        if self._ledger.has_dropped_recent(now_s):
            _log.info("Too many jobs are in doubt to know each.", job=job)
        if not rejections.is_rejection(refusal):
            if self._ledger.may_be_stored(job, now_s):
                refusal.mark_sent()
            return refusal
        gaps = frozenset[doubt_coverage.Gap]()
        # An entry without a configuration says so, unless it was told of a doubt.
        is_ready = refusal.kind is not exceptions.ErrorKind.NOT_READY
        if is_ready and not self._ledger.may_be_stored(job, now_s):
            gaps = await self.doubt_watch.refresh(
                are_submitters_known=are_submitters_known, has_holder=has_holder
            )
            if gaps - {doubt_coverage.Gap.UNLISTED}:
                self._ledger.report_doubt(job, self._loop.time())
        may_be_stored = self._ledger.may_be_stored(job, self._loop.time())
        may_be_stored = may_be_stored or self._ledger.is_open_elsewhere(job)
        if not gaps and not may_be_stored:
            return refusal
        kind = exceptions.ErrorKind.JOB_UNSETTLED
        return exceptions.RequestError(kind, refusal.detail, refusal.retry_after_s)

    async def _store(self, job: jobs.Job, version: ids.Version) -> _StoreResult:
        """Store a job through its holder or without it."""
        began_s = self._loop.time()
        call = calls.SubmitJob(
            service=job.service,
            queue=job.queue.name,
            job=job,
            submitter=self._submitter,
            version=version,
        )
        try:
            result = await self._call_holder(call, _WRITE_TIMEOUT_S)
        except exceptions.RequestError as error:
            return _StoreResult(submissions.Outcome.NOT_STORED, error)
        status = result.reply.status if result.reply is not None else calls.Status.NOT_HOLDER
        if status is calls.Status.DONE:
            return _StoreResult(submissions.Outcome.STORED)
        try:
            if status is calls.Status.TABLE_UNAVAILABLE:
                raise exceptions.TableUnavailable("the table is silent for the service")
            if not self._rows.is_available:
                # Nothing is sent that could still take effect later.
                raise exceptions.TableUnavailable("the table does not answer")
            is_new = await self._store_without_holder(job, version)
        except admissions.QueueMoved as error:
            kind = exceptions.ErrorKind.CONFIGURATION_STALE
            refusal = exceptions.RequestError(kind, str(error), _STALE_RETRY_AFTER_S)
            may_be_stored = result.may_have_taken_effect
            outcome = (
                submissions.Outcome.UNKNOWN if may_be_stored else submissions.Outcome.NOT_STORED
            )
            return _StoreResult(outcome, refusal)
        except exceptions.TableError as error:
            _log.info(
                "A submitted job got no confirmation.",
                job=job.job,
                service=job.service,
                holder=result.summary,
                table=repr(error),
                holder_may_have_stored=result.may_have_taken_effect,
                is_holder_lost=result.is_holder_lost,
                has_doubt=self._ledger.has_doubt(job.job),
                took_s=round(self._loop.time() - began_s, 3),
            )
            return _make_failure(job, error, result)
        _log.info("A job is stored for its holder.", job=job.job, is_new=is_new)
        return _StoreResult(submissions.Outcome.STORED)

    async def _store_without_holder(self, job: jobs.Job, version: ids.Version) -> bool:
        """Store a job unless a service has it; return whether it is new.

        Raises TableError or QueueMoved.
        """
        for _ in range(_MAX_ADMISSIONS):
            admission = await self._admissions.admit(job, version)
            if admission is None:
                return False
            committed = await self._rows.commit(jobs.build_submission(job, admission.condition))
            if committed.ok:
                return True
            job_key = jobs.job_key(job.service, job.job)
            if any(row.key == job_key and row.version for row in committed.rows):
                return False
            self._admissions.forget(admission.condition)
        raise exceptions.TableUnavailable("other entries change the admission of the queue")

    async def get_state(self, queue: queues.Queue, job: ids.JobId) -> jobs.JobState:
        """Return a job's state from its holder or the table; raises RequestError."""
        return await self._look_up(
            queue,
            lambda service: calls.GetJob(service=service, queue=queue.name, job=job),
            lambda service, result: self._read_state(service, job, result),
            timeout_s=_READ_TIMEOUT_S,
            failure=exceptions.ErrorKind.JOB_UNREADABLE,
        )

    async def _read_state(
        self, service: ids.ServiceName, job: ids.JobId, holder_result: CallResult
    ) -> jobs.JobState | _Missing:
        job_row = await self._rows.read(jobs.job_key(service, job))
        if not job_row.version:
            return _Missing(await self._may_appear(service, job, holder_result))
        progress_row = await self._rows.read(jobs.progress_key(service, job))
        if not progress_row.version:
            return jobs.JobState.QUEUED
        state = rowcodec.decode_with(progress_row, progressrows.decode_state)
        if state is None:
            raise exceptions.RequestError(exceptions.ErrorKind.JOB_UNREADABLE, progress_row.key)
        return state

    async def cancel(self, queue: queues.Queue, job: ids.JobId) -> None:
        """Cancel a job, or store the request for its next holder; raises RequestError."""
        await self._look_up(
            queue,
            lambda service: calls.CancelJob(service=service, queue=queue.name, job=job),
            lambda service, result: self._store_cancellation(service, job, result),
            timeout_s=_WRITE_TIMEOUT_S,
            failure=exceptions.ErrorKind.JOB_UNSETTLED,
        )

    async def cancel_at(
        self, service: ids.ServiceName, queue: ids.QueueName, job: ids.JobId
    ) -> None:
        """Cancel a job of a service, whether or not its queue is declared; raises RequestError."""
        call = calls.CancelJob(service=service, queue=queue, job=job)
        result = await self._call_holder(call, _WRITE_TIMEOUT_S)
        if result.reply is not None and result.reply.status is calls.Status.DONE:
            return
        try:
            cancelled = await self._store_cancellation(service, job, result)
        except exceptions.TableError as error:
            kind = exceptions.ErrorKind.JOB_UNSETTLED
            raise exceptions.RequestError(kind, str(error)) from error
        if isinstance(cancelled, _Missing):
            raise cancelled.make_error(exceptions.ErrorKind.JOB_UNSETTLED)

    async def _store_cancellation(
        self, service: ids.ServiceName, job: ids.JobId, holder_result: CallResult
    ) -> jobs.JobState | _Missing:
        row = await self._rows.read(jobs.job_key(service, job))
        stored_job = rowcodec.decode(row, jobs.Job) if row.version else None
        if stored_job is None:
            return _Missing(await self._may_appear(service, job, holder_result))
        await self._rows.commit(jobs.build_cancellation(stored_job, row.version))
        _log.info("A job's cancellation is stored for its holder.", job=job, service=service)
        return jobs.JobState.CANCELLED

    async def _look_up(
        self,
        queue: queues.Queue,
        make_call: collections.abc.Callable[[ids.ServiceName], calls.GetJob | calls.CancelJob],
        read_table: collections.abc.Callable[
            [ids.ServiceName, CallResult], collections.abc.Awaitable[jobs.JobState | _Missing]
        ],
        *,
        timeout_s: float,
        failure: exceptions.ErrorKind,
    ) -> jobs.JobState:
        """Look a job up at its queue's service, then at the others that have had the queue.

        The holders are asked first, as they answer without the table. Raises RequestError, with the
        given kind if it isn't known whether there is such a job.
        """
        results: dict[ids.ServiceName, CallResult] = {}

        async def ask(services: collections.abc.Iterable[ids.ServiceName]) -> calls.Reply | None:
            asked = sorted({*services} - results.keys())
            answers = [self._call_holder(make_call(service), timeout_s) for service in asked]
            results.update(zip(asked, await asyncio.gather(*answers), strict=True))
            replies = [results[service].reply for service in asked]
            done = (each for each in replies if each and each.status is calls.Status.DONE)
            return next(done, None)

        async def read(services: collections.abc.Iterable[ids.ServiceName]) -> list[_Found]:
            return await asyncio.gather(*(read_table(each, results[each]) for each in services))

        reply = await ask([queue.service]) or await ask(self._admissions.get_services(queue))
        if reply is not None:
            return reply.state
        try:
            found = await read([*results])
            if all(isinstance(each, _Missing) for each in found):
                others = {*await self._admissions.list_services(queue)} - results.keys()
                reply = await ask(others)
                if reply is not None:
                    return reply.state
                found += await read(others)
        except exceptions.TableError as error:
            raise exceptions.RequestError(failure, str(error)) from error
        missing = [each for each in found if isinstance(each, _Missing)]
        states = [each for each in found if isinstance(each, jobs.JobState)]
        if states:
            return states[0]
        raise _Missing(any(each.may_appear for each in missing)).make_error(failure)

    async def _may_appear(
        self, service: ids.ServiceName, job: ids.JobId, holder_result: CallResult
    ) -> bool:
        """Return whether a job that is not in the table may still be stored."""
        if holder_result.is_holder_lost or self._ledger.may_appear(job, self._loop.time()):
            return True
        reply = holder_result.reply
        if reply is None:
            return False
        is_under_way = reply.status is calls.Status.UNSETTLED
        return is_under_way or not await self._do_others_rule_out(
            service, job, reply.other_submitters
        )

    def list_services(self) -> list[ids.ServiceName]:
        """Return the services that have a holder or should have one."""
        return [ids.ServiceName(pool) for pool in self._lease_manager.list_needed()]

    async def count_pending(self, queue: queues.Queue) -> int:
        """Return the number of jobs of a queue that have not started; raises RequestError."""
        former = {*await self._admissions.list_recent_services(queue)}
        # A service that needs no holder has no jobs that wait.
        counted = {queue.service} | (former & {*self.list_services()})
        return sum(await asyncio.gather(*(self._count_at(service, queue) for service in counted)))

    async def _count_at(self, service: ids.ServiceName, queue: queues.Queue) -> int:
        call = calls.CountPendingJobs(service=service, queue=queue.name, address=queue.address)
        result = await self._call_holder(call, _READ_TIMEOUT_S)
        if result.reply is None:
            raise exceptions.RequestError(exceptions.ErrorKind.JOB_UNREADABLE)
        return result.reply.count


def _make_failure(
    job: jobs.Job, error: exceptions.TableError, holder_result: CallResult
) -> _StoreResult:
    outcome = submissions.judge_failure(
        error, may_holder_have_stored=holder_result.may_have_taken_effect
    )
    reply = holder_result.reply
    return _StoreResult(
        outcome,
        submissions.make_refusal(error, outcome, job.queue.timeout_ms / 1000),
        other_submitters=reply.other_submitters if reply is not None else (),
        has_holder=reply is not None,
        are_submitters_known=reply is not None and reply.knows_submitters,
        is_holder_lost=holder_result.is_holder_lost,
    )
