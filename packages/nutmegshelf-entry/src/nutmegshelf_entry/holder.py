"""Run the jobs of one service while this entry holds its lease."""

import asyncio
import collections.abc
import contextlib
import time

from nutmegshelf import (
    calls,
    codecs,
    exceptions,
    fleetview,
    ids,
    jobs,
    leaselimits,
    leases,
    orders,
    platform,
    policy,
    progressrows,
    scheduler,
    submissions,
    views,
)

from nutmegshelf_entry import (
    admissions,
    histograms,
    inbox,
    inspection,
    loading,
    logs,
    notelog,
    ports,
    rowcodec,
    sender,
    worker_link,
    writer,
)

_MIN_PASS_INTERVAL_S = 0.008
# Scheduling takes no more than this share of a processor, which leaves time to send the orders.
_MAX_PASS_SHARE = 0.25
_MAX_PASS_INTERVAL_S = 0.1
_TICK_S = 0.1
_RETRY_DELAY_S = 0.2
# Jobs stored by other entries are read concurrently, as the table may be slow.
_MAX_CONCURRENT_READS = 16
# A job that is not stored within this time is returned to the entry that received it.
_ACCEPT_TIMEOUT_S = 0.7
# How often the hosts are listed after a takeover while workers have not reported.
_HOST_LIST_INTERVAL_S = 0.4

_MAX_SUBMITTED_JOBS = 4_096

_log = logs.get_logger("holder")


class Holder:
    """The scheduler of one service, with its writer and the links to its workers."""

    def __init__(
        self,
        pool: ids.PoolName,
        rows: ports.RowStore,
        workers: ports.WorkerClient,
        hosts: ports.HostClient,
        lease_set: leases.Leases,
        *,
        lease_s: float,
        max_lease_s: float,
        max_lease_age_s: float,
        ended_retention_s: float,
        max_row_bytes: int,
        acquired_s: float,
        has_left_starts: bool,
        timings: histograms.Histograms,
        transport: sender.Transport,
        queue_admissions: admissions.Admissions,
    ) -> None:
        held = lease_set.held[pool]
        self.pool = pool
        self.epoch: ids.Epoch = held.lease.epoch
        self._entry = lease_set.entry
        self._rows = rows
        self._workers = workers
        self._hosts = hosts
        self._lease_s = lease_s
        self._max_lease_age_s = max_lease_age_s
        self._ended_retention_s = ended_retention_s
        self._transport = transport
        self._admissions = queue_admissions
        self._loop = asyncio.get_running_loop()
        handover_s = lease_set.duration_s if has_left_starts else 0.0
        self.scheduler = scheduler.Scheduler(
            self.epoch,
            lease_expiry_s=leaselimits.get_takeover_s(max_lease_s, handover_s=handover_s),
            now_s=acquired_s,
            is_takeover=True,
            max_lease_s=max_lease_s,
            records_incarnations=True,
            router=transport.router,
        )
        self.writer = writer.Writer(rows, lease_set, pool, acquired_s, max_row_bytes=max_row_bytes)
        self.writer.on_stored = self.wake
        self.writer.on_accepted = self._handle_accepted
        self.writer.on_admission_changed = queue_admissions.forget
        self._arrived_s: dict[ids.JobId, float] = {}
        self._submitters = submissions.SubmitterIndex(_MAX_SUBMITTED_JOBS)
        # Stored jobs that don't run, as it can't be told which of their tasks have ended.
        self._unusable: set[ids.JobId] = set()
        self._links: dict[fleetview.Incarnation, worker_link.WorkerLink] = {}
        self._sender = sender.OrderSender(
            self.scheduler, self._links, transport, pool=pool, wake=self.wake
        )
        # What the row is known to hold, and None while that is not known.
        self._stored_incarnations: loading.IncarnationHosts | None = None
        self._latest_incarnations: loading.IncarnationHosts | None = None
        self._storing_incarnations: asyncio.Task[None] | None = None
        # Set when workers answered that may not be stored as used yet.
        self._workers_identified = asyncio.Event()
        self._inbox = inbox.Inbox()
        # Their notices tell a later holder of them until the ends of their jobs are stored.
        self._applied_cancellations: dict[ids.JobId, jobs.Notice] = {}
        self._wake_event = asyncio.Event()
        self._orders_allowed = asyncio.Event()
        self.is_loaded = False
        self._listed: list[fleetview.WorkerFacts] = []
        self._group: asyncio.TaskGroup | None = None
        self.stages = self.writer.stages
        self.stages.histograms = timings
        self.notes = notelog.NoteLog("holder", pool, self.stages)
        self._acquired_s = acquired_s
        # Whether the former holder left starts without an answer.
        self._has_left_starts = has_left_starts
        self._was_reconciled = False

    def wake(self) -> None:
        """Have the next scheduling pass run without delay."""
        self._wake_event.set()

    # --- calls from entries

    async def handle_call(self, call: calls.AnyCall) -> calls.Reply:
        """Answer a call about a job, a queue or a host of the service."""
        if isinstance(call, calls.Inspect) and self.is_loaded:
            return self._inspect(call)
        if isinstance(call, calls.ReportRejections) and self.is_loaded:
            self.scheduler.rejections.report(call, self._loop.time())
            return calls.Reply(status=calls.Status.DONE)
        if isinstance(call, calls.SubmitJob):
            return await self._handle_submission(call)
        if not self.is_loaded or not self._is_lease_fresh():
            return calls.Reply(status=calls.Status.NOT_HOLDER)
        match call:
            case calls.GetJob():
                reply = self._get_state(call.job)
            case calls.CancelJob():
                reply = await self._cancel(call.job)
            case calls.CountPendingJobs():
                reply = self._count_pending(call)
            case calls.EvacuateHost():
                reply = await self._evacuate(call)
            case _:
                reply = calls.Reply(status=calls.Status.NOT_HOLDER)
        return reply

    def _is_stored(self, job: ids.JobId) -> bool:
        # The row of a forgotten job stays until its deletion is stored.
        is_deleted = self.writer.is_writing(jobs.job_key(self.pool, job))
        return job in self.scheduler.registry.records or job in self._unusable or is_deleted

    async def _evacuate(self, call: calls.EvacuateHost) -> calls.Reply:
        is_cleared = self.scheduler.evacuate_host(
            call.host, self._loop.time(), only_idle=call.only_idle
        )
        self.wake()
        if not is_cleared:
            return calls.Reply(status=calls.Status.IN_PROGRESS)
        # A later holder must not wait for the workers of a host that was handed over.
        try:
            await self._store_incarnations()
        except exceptions.TableError as error:
            _log.warning("A host is kept.", host=call.host, pool=self.pool, why=str(error))
            return calls.Reply(status=calls.Status.IN_PROGRESS)
        return calls.Reply(status=calls.Status.DONE)

    def has_unanswered_starts(self) -> bool:
        """Return whether starts may be carried out of which the next holder doesn't know."""
        if self._has_left_starts and not self._was_reconciled:
            return True
        return self.scheduler.has_unanswered_starts(self._loop.time())

    def has_unfinished_jobs(self) -> bool:
        """Return whether stored jobs have not ended, as far as is known."""
        return not self.is_loaded or bool(self.scheduler.registry.live)

    def get_advice_timeout_s(self, question: policy.Question) -> float:
        """Return how long the policy service may take to answer a question."""
        key = jobs.parse_task_name(f"{question.step}.0")
        record = self.scheduler.registry.records.get(key.job) if key else None
        limits = record.job.queue.advised if record else None
        if limits is None:
            return 0.0
        return (limits.decide_ms + limits.per_worker_ms * len(question.incarnations)) / 1000

    def count_live_jobs(self) -> int:
        """Return the number of jobs that have not ended."""
        return len(self.scheduler.registry.live)

    def _is_lease_fresh(self) -> bool:
        return self.writer.lease_age_s < self._max_lease_age_s

    def _may_send_orders(self) -> bool:
        return self._is_lease_fresh() and self._orders_allowed.is_set()

    def get_demand(self) -> calls.DemandReport | None:
        """Return the service's demand for hosts, or None while loading or with a stale lease."""
        if not self.is_loaded or not self._is_lease_fresh():
            return None
        return self.scheduler.get_demand(self._loop.time())

    async def _handle_submission(self, call: calls.SubmitJob) -> calls.Reply:
        job = call.job.job
        if self._is_stored(job):
            return calls.Reply(status=calls.Status.DONE)
        self._submitters.add(job, call.submitter, self._loop.time())
        status = await self._submit(call)
        # Another entry may have stored the job in the meantime.
        if status is calls.Status.DONE or self._is_stored(job):
            return calls.Reply(status=calls.Status.DONE)
        others = self._submitters.get_others(job, call.submitter)
        return calls.Reply(
            status=status,
            other_submitters=others,
            knows_submitters=self._submitters.knows_recent(self._loop.time()),
        )

    async def _submit(self, call: calls.SubmitJob) -> calls.Status:
        job = call.job
        if self.is_loaded and self._is_lease_fresh() and not self.writer.is_stalled:
            self._arrived_s.setdefault(job.job, self._loop.time())
            try:
                return await self._admit_and_store(job, call.version)
            finally:
                if not self.writer.may_store(job.job):
                    self._arrived_s.pop(job.job, None)
        if self.writer.may_store(job.job):
            return calls.Status.UNSETTLED
        if not self.is_loaded:
            return calls.Status.NOT_HOLDER
        if not self._admissions.is_only_service(job.queue):
            return calls.Status.UNSETTLED
        is_stalled = self.writer.is_stalled
        return calls.Status.TABLE_UNAVAILABLE if is_stalled else calls.Status.NOT_STORED

    async def _admit_and_store(self, job: jobs.Job, version: ids.Version) -> calls.Status:
        """Store a job that no service of its queue has."""
        until_s = self._loop.time() + _ACCEPT_TIMEOUT_S
        while True:
            try:
                async with asyncio.timeout_at(until_s):
                    admission = await self._admissions.admit(job, version)
            except admissions.QueueMoved as error:
                _log.info("A job's queue has moved.", job=job.job, pool=self.pool, why=str(error))
                return calls.Status.NOT_ROUTED
            except (exceptions.TableError, TimeoutError) as error:
                # Another service may have it.
                _log.info("A job is not admitted yet.", job=job.job, why=repr(error))
                return calls.Status.UNSETTLED
            if admission is None:
                _log.info("Another service of its queue has a job.", job=job.job, pool=self.pool)
                self._submitters.discard(job.job)
                return calls.Status.DONE
            left_s = until_s - self._loop.time()
            match await self.writer.accept(job, admission.condition, left_s):
                case submissions.Outcome.STORED:
                    return calls.Status.DONE
                case submissions.Outcome.UNKNOWN:
                    return calls.Status.UNSETTLED
            if self._admissions.is_current(admission):
                return calls.Status.NOT_STORED

    def _handle_accepted(self, job: jobs.Job, version: int) -> None:
        arrived_s = self._arrived_s.pop(job.job, self._loop.time())
        self._add(job, arrived_s, version)
        self.wake()

    def _get_state(self, job: ids.JobId) -> calls.Reply:
        record = self.scheduler.registry.records.get(job)
        if record is None:
            return self._make_unknown_reply(job)
        return calls.Reply(status=calls.Status.DONE, state=record.published_state)

    def _make_unknown_reply(self, job: ids.JobId) -> calls.Reply:
        may_appear = self.writer.may_store(job)
        return calls.Reply(
            status=calls.Status.UNSETTLED if may_appear else calls.Status.UNKNOWN_JOB,
            other_submitters=self._submitters.get_recent(job, self._loop.time()),
        )

    async def _cancel(self, job: ids.JobId) -> calls.Reply:
        job_registry = self.scheduler.registry
        record = job_registry.records.get(job)
        if record is None:
            return self._make_unknown_reply(job)
        if record.is_live:
            job_registry.end_job(
                record, jobs.JobState.CANCELLED, "its caller cancelled it", self._loop.time()
            )
            _log.info("A caller cancelled a job.", job=job, pool=self.pool)
            self.wake()
        while record.published_state not in jobs.ENDED_STATES:
            if not self.is_loaded:
                # The holder has ended; the entry that called stores the cancellation itself.
                return calls.Reply(status=calls.Status.UNSETTLED)
            self.writer.schedule_store()
            await asyncio.sleep(_MIN_PASS_INTERVAL_S)
        return calls.Reply(status=calls.Status.DONE, state=record.published_state)

    def _inspect(self, call: calls.Inspect) -> calls.Reply:
        now_s, age_s = self._loop.time(), self.writer.lease_age_s
        own_view = views.make_holder_view(
            call.service, self._entry, self.epoch, age_s, self.scheduler
        )
        return inspection.inspect_service(
            call, self.scheduler, self.notes.decisions, own_view, now_s
        )

    def _count_pending(self, call: calls.CountPendingJobs) -> calls.Reply:
        pending = sum(
            record.progress.state is jobs.JobState.QUEUED
            and (record.job.queue.name == call.queue or record.job.queue.address == call.address)
            for record in self.scheduler.registry.live.values()
        )
        return calls.Reply(status=calls.Status.DONE, count=pending)

    def _add(self, job: jobs.Job, arrived_s: float, version: int = 0) -> None:
        """Add a job whose row was stored, with this version, in this epoch."""
        self._submitters.discard(job.job)
        if job.job in self._unusable or job.job in self.scheduler.registry.records:
            return
        with self._leave_out_unusable(job):
            self.scheduler.add_job(job, arrived_s, self._loop.time(), _now_ms())
            _log.info(
                "A job is taken in.",
                job=job.job,
                queue=job.queue.name,
                pool=self.pool,
                tasks=sum(step.count for step in job.steps),
                chain_s=round(self.scheduler.registry.records[job.job].critical_path_s, 3),
                waited_s=round(self._loop.time() - arrived_s, 3),
                accepted_ms=job.accepted_ms,
                epoch=self.epoch,
                row_version=version,
            )

    @contextlib.contextmanager
    def _leave_out_unusable(self, job: jobs.Job) -> collections.abc.Iterator[None]:
        """Leave a job out that can't be added; the others must run, here and at later holders."""
        try:
            yield
        except Exception as error:
            _log.error("A stored job can't be used.", job=job.job, pool=self.pool, exc_info=error)
            self.scheduler.registry.discard(job.job)
            self._unusable.add(job.job)

    # --- notices from the table, and the fleet's list

    def notify(self, notice: jobs.Notice) -> None:
        """Apply a notice of a loaded job, or queue the notice until the job's row can be read."""
        if self.is_loaded and notice.job in self.scheduler.registry.records:
            self._apply_notice(notice)
            self.wake()
        else:
            self._inbox.put(notice)

    async def _process_inbox(self) -> None:
        while True:
            batches = await self._inbox.pop(_MAX_CONCURRENT_READS)
            await asyncio.gather(*(self._apply_notices(notices) for notices in batches))

    async def _apply_notices(self, notices: list[jobs.Notice]) -> None:
        """Apply the notices of one job, after reading its row if the job is unknown."""
        name = notices[0].job
        if name not in self.scheduler.registry.records:
            try:
                row = await self._rows.read(jobs.job_key(self.pool, name))
            except exceptions.TableError as error:
                _log.warning("Failed to read the job of a notice.", job=name, why=str(error))
                await asyncio.sleep(_RETRY_DELAY_S)
                for notice in notices:
                    self._inbox.put(notice)
                return
            job = rowcodec.decode(row, jobs.Job) if row.version else None
            if job is not None:
                self._add(job, self._loop.time(), row.version)
        # More notices may have arrived during the read, and a cancelled job must not start.
        for notice in [*notices, *self._inbox.pop_job(name)]:
            self._apply_notice(notice)
        self.wake()

    def _apply_notice(self, notice: jobs.Notice) -> None:
        record = self.scheduler.registry.records.get(notice.job)
        if notice.cancels and record is not None:
            if record.is_live:
                self.scheduler.registry.end_job(
                    record, jobs.JobState.CANCELLED, "its caller cancelled it", self._loop.time()
                )
            self._applied_cancellations[notice.job] = notice
        elif not notice.cancels or notice.job not in self._unusable:
            # Any other one stays, as a later holder may be able to use the job.
            self.writer.write(platform.Write(jobs.notice_key(notice), None))

    def _delete_applied_cancellations(self) -> None:
        for job, notice in list(self._applied_cancellations.items()):
            record = self.scheduler.registry.records.get(job)
            if record is None or record.published_state in jobs.ENDED_STATES:
                del self._applied_cancellations[job]
                self.writer.write(platform.Write(jobs.notice_key(notice), None))

    def update_workers(self, listed: collections.abc.Iterable[fleetview.WorkerFacts]) -> None:
        """Apply the fleet's list of this service's workers."""
        self._listed = list(listed)
        if not self.is_loaded or self._group is None:
            return
        self.scheduler.update_workers(self._listed, self._loop.time())
        self._update_links()
        self.wake()

    def _update_links(self) -> None:
        """Create the missing links of known workers, including any that were briefly unlisted."""
        for incarnation, worker in self.scheduler.workers.items():
            if incarnation not in self._links:
                self._create_link(worker)

    def _create_link(self, worker: fleetview.Worker) -> None:
        assert self._group is not None
        incarnation = worker.facts.incarnation
        link = worker_link.WorkerLink(
            self.scheduler,
            incarnation,
            self._workers,
            lease_s=self._lease_s,
            wake=self.wake,
            orders_allowed=self._orders_allowed,
            may_send=self._may_send_orders,
            stages=self.stages,
            send_window=self._transport.router.window,
        )
        self._links[incarnation] = link
        task = self._group.create_task(link.run())
        task.add_done_callback(lambda _: self._remove_link(worker.facts))

    def _remove_link(self, facts: fleetview.WorkerFacts) -> None:
        del self._links[facts.incarnation]
        # Entries of other incarnations, or false ones, may give the same address.
        if all(each.facts.address != facts.address for each in self.scheduler.workers.values()):
            self._workers.disconnect(facts)

    # --- the run of the holder

    async def run(self) -> None:
        """Load the stored rows, then serve until the lease is lost; raises LeaseLost."""
        try:
            async with asyncio.TaskGroup() as group:
                self._group = group
                # Loading may take longer than the lease lasts, so it is renewed meanwhile.
                group.create_task(self.writer.run(self.scheduler.registry))
                await self._load()
                self.update_workers(self._listed)
                group.create_task(self._run_passes())
                group.create_task(self._process_inbox())
                group.create_task(self._track_incarnations())
                group.create_task(self._drop_ended_incarnations())
                group.create_task(self._watch_lease())
        finally:
            self.is_loaded = False
            self.writer.end()

    async def _load(self) -> None:
        stored = await loading.read_with_retries(
            self.pool, lambda: loading.load_service(self._rows, self.pool)
        )
        await self._expect_runs(stored)
        now_ms, now_s = _now_ms(), self._loop.time()
        self._unusable = stored.unreadable
        for job in stored.submitted:
            age_s = max(0, now_ms - job.accepted_ms) / 1000
            progress = stored.progress.get(job.job)
            with self._leave_out_unusable(job):
                record = self.scheduler.load_job(job, progress, now_s - age_s, now_s, now_ms)
                if (rows := stored.progress_rows.get(job.job)) is not None:
                    record.stored_rows = rows
        # A cancelled job must not start, so notices are applied before the first order.
        for notice in stored.notices:
            self._apply_notice(notice)
        self.is_loaded = True
        self._submitters.begin(self._loop.time())
        _log.info(
            "A service is held.",
            pool=self.pool,
            epoch=self.epoch,
            jobs=len(stored.submitted),
            live=self.count_live_jobs(),
        )
        for notices in self._inbox.pop_all():
            for notice in notices:
                self.notify(notice)

    async def _expect_runs(self, stored: loading.StoredService) -> None:
        """Tell the scheduler which workers may run tasks that an earlier holder started."""
        if self.epoch == 1 and not stored.has_incarnation_row:
            self.scheduler.expect_no_runs()
        elif stored.incarnations is None:
            self.scheduler.expect_unknown_incarnations()
        else:
            self._stored_incarnations = sorted(stored.incarnations)
            recorded = [incarnation for incarnation, _ in stored.incarnations]
            self.scheduler.set_recorded(recorded, is_stored=True)
            self.scheduler.expect_incarnations(
                await loading.filter_live(self._hosts, self.pool, stored.incarnations)
            )

    async def _store_incarnations(self) -> None:
        """Store which workers a later holder has to poll, before any of them gets a start."""
        in_use = self.scheduler.get_incarnations_in_use(self._loop.time())
        if in_use is None or in_use == self._stored_incarnations:
            return
        storing = self._storing_incarnations
        if storing is None or storing.done() or in_use != self._latest_incarnations:
            assert self._group is not None
            self._latest_incarnations = in_use
            storing = self._group.create_task(self._write_incarnations(in_use))
            self._storing_incarnations = storing
        # The write goes on if the call that began it ends, and others may wait for it.
        await asyncio.wait([storing])
        if storing.cancelled():
            raise exceptions.TableAnswerLost("the holder has ended")
        storing.result()

    async def _write_incarnations(self, in_use: loading.IncarnationHosts) -> None:
        # Until the write is confirmed, the row may hold either value.
        self._stored_incarnations = None
        incarnations = [incarnation for incarnation, _ in in_use]
        self.scheduler.set_recorded(incarnations, is_stored=False)
        key = f"{loading.INCARNATIONS}/{self.pool}/lives"
        await self.writer.write_and_wait(platform.Write(key, codecs.pack(in_use)))
        if self._latest_incarnations is in_use:
            self._stored_incarnations = in_use
            self.scheduler.set_recorded(incarnations, is_stored=True)
            self.wake()

    async def _track_incarnations(self) -> None:
        while True:
            self._workers_identified.clear()
            await self._store_incarnations()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_TICK_S):
                    await self._workers_identified.wait()

    async def _drop_ended_incarnations(self) -> None:
        """Drop the unreported incarnations whose host was moved, until none is left unreported."""
        while incarnations := self.scheduler.get_unreported_incarnations():
            try:
                views = await self._hosts.list_hosts()
            except exceptions.HostsError as error:
                _log.warning("Failed to list the hosts.", pool=self.pool, why=str(error))
            else:
                pool = ids.ServiceName(self.pool)
                self.scheduler.drop_ended(incarnations, views, pool, self._loop.time())
                self.wake()
            await asyncio.sleep(_HOST_LIST_INTERVAL_S)

    async def _watch_lease(self) -> None:
        # Orders wait while the lease can't be renewed, as another entry may acquire it.
        while True:
            is_fresh = self._is_lease_fresh()
            if is_fresh and not self._orders_allowed.is_set():
                _log.info("Orders to workers are enabled.", pool=self.pool, epoch=self.epoch)
                self._orders_allowed.set()
                self.wake()
            if not is_fresh and self._orders_allowed.is_set():
                _log.warning("Orders wait, as the lease can't be renewed.", pool=self.pool)
                self._orders_allowed.clear()
            self._submitters.observe_clock(self._loop.time())
            await asyncio.sleep(_TICK_S)

    async def _run_passes(self) -> None:
        while True:
            try:
                async with asyncio.timeout(_TICK_S):
                    await self._wake_event.wait()
            except TimeoutError:
                pass  # Some decisions become due by the passage of time.
            self._wake_event.clear()
            began_s = self._loop.time()
            self._update_links()
            self._run_pass()
            await asyncio.sleep(get_pass_interval_s(self._loop.time() - began_s))

    def _choose_orders(self, now_s: float) -> list[orders.Order]:
        self.scheduler.evacuate_draining(now_s)
        return [
            *self.scheduler.choose_stops(now_s),
            *self.scheduler.choose_paces(now_s),
            *self.scheduler.choose_starts(now_s),
        ]

    def _run_pass(self) -> None:
        now_s = self._loop.time()
        self.scheduler.tick(now_s, _now_ms())
        if self.scheduler.is_reconciled and not self._was_reconciled:
            self._was_reconciled = True
            self.stages.observe("takeover", now_s - self._acquired_s)
        if self.scheduler.take_newly_identified():
            self._workers_identified.set()
        if self._may_send_orders():
            self._transport.router.update_entries(self._transport.list_entries())
            if self._group is not None:
                self._sender.send(self._choose_orders(now_s), self._group)
        self._delete_applied_cancellations()
        self._delete_ended(now_s)
        if self.scheduler.registry.dirty:
            self.writer.schedule_store()
        self.notes.write(self.scheduler.notes)

    def _delete_ended(self, now_s: float) -> None:
        for record in self.scheduler.evict_ended(now_s - self._ended_retention_s):
            job = record.job.job
            names = [
                progressrows.RowName(job, group, number)
                for group, number in record.stored_rows.names
            ]
            # Together: a job under the same id must not find the progress of this one.
            self.writer.write(
                platform.Write(jobs.job_key(self.pool, job), None),
                *(platform.Write(jobs.progress_key(self.pool, each.text), None) for each in names),
            )


def _now_ms() -> int:
    return int(time.time() * 1000)


def get_pass_interval_s(took_s: float) -> float:
    """Return the pause after a pass, in proportion to the pass's duration."""
    return min(_MAX_PASS_INTERVAL_S, max(_MIN_PASS_INTERVAL_S, took_s * (1 / _MAX_PASS_SHARE - 1)))
