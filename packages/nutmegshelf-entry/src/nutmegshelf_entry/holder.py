"""Run the jobs of one service while this entry holds its lease."""

import asyncio
import collections.abc
import time

from nutmegshelf import (
    calls,
    codecs,
    exceptions,
    fleetview,
    ids,
    jobs,
    leases,
    orders,
    platform,
    policy,
    scheduler,
    views,
)

from nutmegshelf_entry import (
    histograms,
    inbox,
    inspection,
    loading,
    logs,
    notelog,
    ports,
    sender,
    worker_link,
    writer,
)

_PASS_GAP_S = 0.008
# Choosing takes no more than this part of the processor, so that what is chosen can be sent.
_MOST_PASS_PART = 0.25
_MOST_PASS_GAP_S = 0.1
_TICK_S = 0.1
_RETRY_S = 0.2
# Jobs that others stored are read together, as the table may be slow.
_NOTICES_AT_ONCE = 16
# A job that is not stored within this time is given back to the entry that took it.
_ACCEPT_LIMIT_S = 0.7
# How often the hosts are listed while the word of workers is missing after a takeover.
_RULE_OUT_S = 0.4

_log = logs.get_logger("holder")


class Holder:
    """Own the scheduler of one service, its writer and its workers' links."""

    def __init__(
        self,
        pool: ids.PoolName,
        rows: ports.RowStore,
        workers: ports.WorkerClient,
        hosts: ports.HostClient,
        lease_set: leases.Leases,
        *,
        lease_s: float,
        max_lease_age_s: float,
        ended_kept_s: float,
        acquired_s: float,
        timings: histograms.Histograms,
        transport: sender.Transport,
    ) -> None:
        held = lease_set.held[pool]
        self.pool = pool
        self.epoch = held.lease.epoch
        self._entry = lease_set.entry
        self._rows = rows
        self._workers = workers
        self._hosts = hosts
        self._lease_s = lease_s
        self._max_lease_age_s = max_lease_age_s
        self._ended_kept_s = ended_kept_s
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        lapse_s = lease_s / (1 - fleetview.SLOW_CLOCK_FRACTION) + lease_set.duration_s / 4
        self.scheduler = scheduler.Scheduler(
            self.epoch,
            lease_expiry_s=lapse_s,
            now_s=self._loop.time(),
            is_takeover=self.epoch > 1,
            router=transport.router,
        )
        self.writer = writer.Writer(rows, lease_set, pool, acquired_s)
        self.writer.on_stored = self.wake
        self.writer.on_accepted = self._accepted
        self._arrived_s: dict[ids.JobId, float] = {}
        self._links: dict[fleetview.Incarnation, worker_link.WorkerLink] = {}
        self._sender = sender.OrderSender(
            self.scheduler, self._links, transport, pool=pool, wake=self.wake
        )
        self._used: loading.IncarnationHosts | None = None
        self._inbox = inbox.Inbox()
        self._woken = asyncio.Event()
        self._may_order = asyncio.Event()
        self.is_loaded = False
        self._listed: list[fleetview.WorkerFacts] = []
        self._group: asyncio.TaskGroup | None = None
        self.stages = self.writer.stages
        self.stages.histograms = timings
        self.notes = notelog.NoteLog("holder", pool, self.stages)
        self._acquired_s = acquired_s
        self._was_settled = False

    def wake(self) -> None:
        """Have the next pass run soon."""
        self._woken.set()

    # --- what entries ask

    async def handle_call(self, call: calls.AnyCall) -> calls.Reply:
        """Answer a call about a job or a host of the service."""
        if isinstance(call, calls.Inspect) and self.is_loaded:
            return self._inspect(call)
        if isinstance(call, calls.SubmitJob) and self.is_loaded and self.writer.is_stalled:
            known = call.job.job in self.scheduler.registry.records
            verdict = calls.Status.DONE if known else calls.Status.TABLE_UNAVAILABLE
            return calls.Reply(status=verdict)
        if not self.is_loaded or not self._is_fresh():
            return calls.Reply(status=calls.Status.NOT_HOLDER)
        match call:
            case calls.SubmitJob():
                reply = await self._submit(call.job)
            case calls.GetJob():
                reply = self._show(call.job)
            case calls.CancelJob():
                reply = await self._cancel(call.job)
            case calls.CountPendingJobs():
                reply = self._count(call.queue)
            case calls.EvacuateHost():
                reply = await self._give(call)
            case _:
                reply = calls.Reply(status=calls.Status.NOT_HOLDER)
        return reply

    async def _give(self, call: calls.EvacuateHost) -> calls.Reply:
        cleared = self.scheduler.evacuate_host(
            call.host, self._loop.time(), only_idle=call.only_idle
        )
        self.wake()
        if not cleared:
            return calls.Reply(status=calls.Status.IN_PROGRESS)
        # A later holder must not wait for a host that was given away.
        await self._store_used()
        return calls.Reply(status=calls.Status.DONE)

    def get_advice_timeout_s(self, question: policy.Question) -> float:
        """Give how long the policy service may take for a question."""
        key = jobs.parse_task_name(f"{question.step}.0")
        record = self.scheduler.registry.records.get(key.job) if key else None
        terms = record.job.queue.advised if record else None
        if terms is None:
            return 0.0
        return (terms.decide_ms + terms.per_worker_ms * len(question.incarnations)) / 1000

    def count_live_jobs(self) -> int:
        """Count the jobs that have not ended."""
        return len(self.scheduler.registry.live)

    def _is_fresh(self) -> bool:
        return self.writer.lease_age_s < self._max_lease_age_s

    def get_demand(self) -> calls.DemandReport | None:
        """Say what the service needs of hosts, once that is known."""
        if not self.is_loaded or not self._is_fresh():
            return None
        return self.scheduler.get_demand(self._loop.time())

    async def _submit(self, job: jobs.Job) -> calls.Reply:
        book = self.scheduler.registry
        if job.job in book.records:
            return calls.Reply(status=calls.Status.DONE)
        self._arrived_s.setdefault(job.job, self._loop.time())
        try:
            await self.writer.accept(job, _ACCEPT_LIMIT_S)
        except exceptions.TableUnavailable:
            self._arrived_s.pop(job.job, None)
            return calls.Reply(status=calls.Status.NOT_HOLDER)
        except exceptions.TableAnswerLost:
            return calls.Reply(status=calls.Status.UNSETTLED)
        return calls.Reply(status=calls.Status.DONE)

    def _accepted(self, job: jobs.Job) -> None:
        arrived_s = self._arrived_s.pop(job.job, self._loop.time())
        self._add(job, None, arrived_s, may_run=False)
        self.wake()

    def _show(self, job: ids.JobId) -> calls.Reply:
        record = self.scheduler.registry.records.get(job)
        if record is None:
            return calls.Reply(status=calls.Status.UNKNOWN_JOB)
        return calls.Reply(status=calls.Status.DONE, state=record.published_state)

    async def _cancel(self, job: ids.JobId) -> calls.Reply:
        book = self.scheduler.registry
        record = book.records.get(job)
        if record is None:
            return calls.Reply(status=calls.Status.UNKNOWN_JOB)
        if record.is_live:
            book.end_job(
                record, jobs.JobState.CANCELLED, "its caller cancelled it", self._loop.time()
            )
            _log.info("A job is cancelled.", job=job, pool=self.pool)
            self.wake()
        while record.published_state not in jobs.ENDED_STATES:
            self.writer.schedule_store()
            await asyncio.sleep(_PASS_GAP_S)
        return calls.Reply(status=calls.Status.DONE, state=record.published_state)

    def _inspect(self, call: calls.Inspect) -> calls.Reply:
        now_s, age_s = self._loop.time(), self.writer.lease_age_s
        own = views.make_holder_view(call.service, self._entry, self.epoch, age_s, self.scheduler)
        return inspection.inspect_service(call, self.scheduler, self.notes.decisions, own, now_s)

    def _count(self, queue: ids.QueueName) -> calls.Reply:
        pending = sum(
            record.progress.state is jobs.JobState.QUEUED and record.job.queue.name == queue
            for record in self.scheduler.registry.live.values()
        )
        return calls.Reply(status=calls.Status.DONE, count=pending)

    def _add(
        self,
        job: jobs.Job,
        progress: jobs.Progress | None,
        arrived_s: float,
        *,
        may_run: bool,
    ) -> None:
        known = job.job in self.scheduler.registry.records
        record = self.scheduler.registry.add(
            job, progress, arrived_s, _now_ms(), may_run=may_run, now_s=self._loop.time()
        )
        if not known and not may_run:
            self.scheduler.record_arrival(job)
            _log.info(
                "A job is taken in.",
                job=job.job,
                queue=job.queue.name,
                pool=self.pool,
                tasks=sum(step.count for step in job.steps),
                chain_s=round(record.critical_path_s, 3),
            )

    # --- what the store and the fleet's list say

    def notify(self, notice: jobs.Notice) -> None:
        """Take note of a job that another entry stored or cancelled, also while loading."""
        if self.is_loaded and notice.job in self.scheduler.registry.records:
            self._settle_notice(notice)
            self.wake()
        else:
            self._inbox.put(notice)

    async def _follow_notices(self) -> None:
        while True:
            found = await self._inbox.pop(_NOTICES_AT_ONCE)
            await asyncio.gather(*(self._take_notices(notices) for notices in found))

    async def _take_notices(self, notices: list[jobs.Notice]) -> None:
        """Take in what is noted of one job."""
        name = notices[0].job
        if name not in self.scheduler.registry.records:
            try:
                row = await self._rows.read(jobs.job_key(self.pool, name))
            except exceptions.TableError as error:
                _log.warning("A notice waits for the table.", job=name, why=str(error))
                await asyncio.sleep(_RETRY_S)
                for notice in notices:
                    self._inbox.put(notice)
                return
            job = writer.decode_job(row) if row.version else None
            if job is not None:
                self._add(job, None, self._loop.time(), may_run=False)
        # More may have come during the read, and what is cancelled must not start.
        for notice in [*notices, *self._inbox.pop_job(name)]:
            self._settle_notice(notice)
        self.wake()

    def _settle_notice(self, notice: jobs.Notice) -> None:
        record = self.scheduler.registry.records.get(notice.job)
        if notice.cancels and record is not None and record.is_live:
            self.scheduler.registry.end_job(
                record, jobs.JobState.CANCELLED, "its caller cancelled it", self._loop.time()
            )
        self.writer.write(platform.Write(jobs.notice_key(notice), None))

    def update_workers(self, listed: collections.abc.Iterable[fleetview.WorkerFacts]) -> None:
        """Take the fleet's list of this service."""
        self._listed = list(listed)
        if not self.is_loaded or self._group is None:
            return
        self.scheduler.update_workers(self._listed, self._loop.time())
        self._keep_links()
        self.wake()

    def _keep_links(self) -> None:
        """Have one link for each worker that is known, also where it was unlisted for a moment."""
        for life, worker in self.scheduler.workers.items():
            if life not in self._links:
                self._link(worker)

    def _link(self, worker: fleetview.Worker) -> None:
        assert self._group is not None
        life = worker.facts.incarnation
        link = worker_link.WorkerLink(
            self.scheduler,
            life,
            self._workers,
            fence=self.epoch,
            lease_s=self._lease_s,
            wake=self.wake,
            may_order=self._may_order,
            stages=self.stages,
            under_way=self._transport.router.window,
        )
        self._links[life] = link
        task = self._group.create_task(link.run())
        facts = worker.facts
        task.add_done_callback(lambda _: self._unlink(facts))

    def _unlink(self, facts: fleetview.WorkerFacts) -> None:
        del self._links[facts.incarnation]
        self._workers.disconnect(facts)

    # --- the daemon's side

    async def run(self) -> None:
        """Load what is stored, then serve until the lease is lost; raises LeaseLost."""
        try:
            async with asyncio.TaskGroup() as group:
                self._group = group
                # Loading may take longer than the lease lasts, so it is renewed meanwhile.
                group.create_task(self.writer.run(self.scheduler.registry))
                await self._load()
                self.update_workers(self._listed)
                group.create_task(self._passes())
                group.create_task(self._follow_notices())
                group.create_task(self._keep_used())
                group.create_task(self._rule_out())
                group.create_task(self._guard())
        finally:
            self.is_loaded = False
            self.writer.abort_pending()

    async def _load(self) -> None:
        stored = await loading.read_with_retries(
            self.pool, lambda: loading.load_service(self._rows, self.pool)
        )
        now_ms, now_s = _now_ms(), self._loop.time()
        for job in stored.submitted:
            age_s = max(0, now_ms - job.accepted_ms) / 1000
            self._add(job, stored.progress.get(job.job), now_s - age_s, may_run=True)
        # What is cancelled must not start, so notices are settled before the first order.
        for notice in stored.notices:
            self._settle_notice(notice)
        expected: loading.IncarnationHosts = []
        if self.epoch > 1:
            expected = await loading.filter_live(self._hosts, self.pool, stored.incarnations)
        self.scheduler.expect_incarnations(expected)
        self.is_loaded = True
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

    async def _store_used(self) -> None:
        incarnations = self.scheduler.get_incarnations_in_use(self._loop.time())
        # Until all is settled, the incarnations that an earlier holder used have to be kept.
        if incarnations == self._used or not self.scheduler.is_reconciled:
            return
        self._used = incarnations
        key = f"{loading.INCARNATIONS}/{self.pool}/lives"
        await self.writer.write_and_wait(platform.Write(key, codecs.pack(incarnations)))

    async def _keep_used(self) -> None:
        while True:
            await self._store_used()
            await asyncio.sleep(_TICK_S)

    async def _rule_out(self) -> None:
        """Look for incarnations that ended with their host's move while their word is missing."""
        while incarnations := self.scheduler.get_unreported_incarnations():
            try:
                views = await self._hosts.list_hosts()
            except exceptions.HostsError as error:
                _log.warning("The hosts can't be listed.", pool=self.pool, why=str(error))
            else:
                pool = ids.ServiceName(self.pool)
                self.scheduler.drop_ended(incarnations, views, pool, self._loop.time())
                self.wake()
            await asyncio.sleep(_RULE_OUT_S)

    async def _guard(self) -> None:
        # Orders wait while the lease can't be renewed: another entry may take it over.
        while True:
            fresh = self._is_fresh()
            if fresh and not self._may_order.is_set():
                _log.info("Orders go out.", pool=self.pool, epoch=self.epoch)
                self._may_order.set()
                self.wake()
            if not fresh and self._may_order.is_set():
                _log.warning("Orders wait, as the lease can't be renewed.", pool=self.pool)
                self._may_order.clear()
            await asyncio.sleep(_TICK_S)

    async def _passes(self) -> None:
        while True:
            try:
                async with asyncio.timeout(_TICK_S):
                    await self._woken.wait()
            except TimeoutError:
                pass  # Time alone may have made something due.
            self._woken.clear()
            began_s = self._loop.time()
            self._keep_links()
            self._pass()
            await asyncio.sleep(get_pass_interval_s(self._loop.time() - began_s))

    def _orders(self, now_s: float) -> list[orders.Order]:
        self.scheduler.evacuate_draining(now_s)
        return [
            *self.scheduler.choose_stops(now_s),
            *self.scheduler.choose_paces(now_s),
            *self.scheduler.choose_starts(now_s),
        ]

    def _pass(self) -> None:
        now_s = self._loop.time()
        self.scheduler.tick(now_s, _now_ms())
        if self.scheduler.is_reconciled and not self._was_settled:
            self._was_settled = True
            self.stages.observe("takeover", now_s - self._acquired_s)
        if self._is_fresh() and self._may_order.is_set():
            self._transport.router.update_entries(self._transport.list_entries())
            if self._group is not None:
                self._sender.send(self._orders(now_s), self._group)
        self._tidy(now_s)
        if self.scheduler.registry.dirty:
            self.writer.schedule_store()
        self.notes.write(self.scheduler.notes)

    def _tidy(self, now_s: float) -> None:
        for record in self.scheduler.evict_ended(now_s - self._ended_kept_s):
            job = record.job.job
            self.writer.write(platform.Write(jobs.job_key(self.pool, job), None))
            self.writer.write(platform.Write(jobs.progress_key(self.pool, job), None))


def _now_ms() -> int:
    return int(time.time() * 1000)


def get_pass_interval_s(took_s: float) -> float:
    """Give how long to wait after a pass that took some time."""
    return min(_MOST_PASS_GAP_S, max(_PASS_GAP_S, took_s * (1 / _MOST_PASS_PART - 1)))
