"""Poll one worker, and send orders to it."""

import asyncio
import collections.abc
import random
import typing

from nutmegshelf import exceptions, fleetview, orders, scheduler, window

from nutmegshelf_entry import histograms, logs, ports

# Runs that end within this time are reported by one poll.
_MIN_POLL_INTERVAL_S = 0.025
# The same while a worker has ends left that it lists only once the others are acknowledged. Long
# lists are costly to read, and are repeated until the table has stored them.
_UNREAD_POLL_INTERVAL_S = 0.06
_IDLE_POLL_WAIT_S = 2.0
_BUSY_POLL_WAIT_S = 1.0
# Poll wait while the effect of an acknowledged stop is outstanding.
_STOPPING_POLL_WAIT_S = 0.05
# Poll wait until it is known whether a start without an answer was executed at once.
_UNCONFIRMED_POLL_WAIT_S = 0.2
# Poll wait during the trial of a task that may crash its worker.
_TRIAL_POLL_WAIT_S = 0.2
# Poll wait where long-running tasks share a worker with filler tasks, whose pace depends on the
# reported response times.
_SHARED_POLL_WAIT_S = 0.4
# Time for the answer to a poll beyond its wait.
_POLL_MARGIN_S = 0.8
# The same after a poll that got no answer, so that a worker that is only slow to answer is heard
# before the lease of its runs expires.
_UNRESPONSIVE_POLL_MARGIN_S = 2.4
_MIN_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.5
# Workers that have never answered together get one poll in this time on average.
_UNIDENTIFIED_INTERVAL_S = 0.05
_MAX_CONCURRENT_ORDERS = 6
# Orders carry the job's specification, which may be long.
_MAX_LOGGED = 300

_log = logs.get_logger("worker")


class StartValidity(typing.NamedTuple):
    """Until when a start is valid, by the worker's clock and by this entry's, and its token."""

    valid_until_ms: int
    may_start_until_s: float
    sent_s: float
    fencing_token: int


class WorkerLink:
    """The calls to one incarnation of a worker."""

    def __init__(
        self,
        service_scheduler: scheduler.Scheduler,
        incarnation: fleetview.Incarnation,
        client: ports.WorkerClient,
        *,
        lease_s: float,
        wake: ports.Wake,
        orders_allowed: asyncio.Event,
        may_send: collections.abc.Callable[[], bool],
        stages: histograms.StageDurations,
        send_window: window.Window,
    ) -> None:
        self._scheduler = service_scheduler
        self._incarnation = incarnation
        self._client = client
        self._lease_s = lease_s
        self._wake = wake
        self._orders_allowed = orders_allowed
        # The event may be outdated: a paused process resumes before it is cleared.
        self._may_send = may_send
        self._stages = stages
        self._window = send_window
        self._acknowledged = 0
        self._failures = 0
        self._poll_timeout: asyncio.Timeout | None = None
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT_ORDERS)
        self._loop = asyncio.get_running_loop()
        self._random = random.Random(str(incarnation))

    async def run(self) -> None:
        """Poll until the scheduler has dropped the worker."""
        backoff_s = _MIN_BACKOFF_S
        while (worker := self._scheduler.workers.get(self._incarnation)) is not None:
            await self._orders_allowed.wait()
            if not self._may_send():
                await asyncio.sleep(_MIN_BACKOFF_S)
                continue
            sent_s = self._loop.time()
            try:
                await self._poll_interruptibly(worker)
                backoff_s = _MIN_BACKOFF_S
                await asyncio.sleep(
                    _MIN_POLL_INTERVAL_S if worker.is_report_complete else _UNREAD_POLL_INTERVAL_S
                )
            except TimeoutError:
                continue  # An immediate poll was requested.
            except exceptions.WorkerError as error:
                worker.is_absent = isinstance(
                    error, (exceptions.WorkerAbsent, exceptions.WrongWorker)
                )
                if self._scheduler.record_silence(self._incarnation, self._loop.time()):
                    _log.warning(
                        "A worker doesn't answer.", worker=self._incarnation.worker, why=str(error)
                    )
                # The delay counts from the poll, so that one that timed out is repeated at once.
                self._failures += 1
                elapsed_s = self._loop.time() - sent_s
                delay_s = max(backoff_s, self._get_unidentified_delay_s(worker))
                await asyncio.sleep(max(_MIN_BACKOFF_S, delay_s - elapsed_s))
                backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)
            except Exception as error:
                # A report that can't be applied must not cost the service its holder.
                worker.unresponsive_since_s = worker.unresponsive_since_s or self._loop.time()
                _log.error(
                    "A report can't be applied.", worker=self._incarnation.worker, exc_info=error
                )
                await asyncio.sleep(_MAX_BACKOFF_S)
        _log.info("Polling of a dropped worker ended.", worker=self._incarnation.worker)

    def _get_unidentified_delay_s(self, worker: fleetview.Worker) -> float:
        """Return how long a worker that never answered waits, where there are many of them."""
        delay_s = _UNIDENTIFIED_INTERVAL_S * self._scheduler.count_unidentified()
        if worker.identified_s is not None or delay_s <= _MAX_BACKOFF_S:
            return 0.0
        return delay_s * self._random.uniform(0.5, 1.5)

    async def _poll_interruptibly(self, worker: fleetview.Worker) -> None:
        try:
            async with asyncio.timeout(None) as self._poll_timeout:
                await self._poll(worker)
        finally:
            self._poll_timeout = None

    async def _poll(self, worker: fleetview.Worker) -> None:
        sent_s = self._loop.time()
        if (settled := self._scheduler.take_stored_end(self._incarnation)) is not None:
            self._acknowledged = settled
        # The lease of a worker in doubt is not extended, so that its tasks can start elsewhere once
        # its current lease expires. A later incarnation would even grant a longer one.
        is_responsive = worker.unresponsive_since_s is None
        is_waiting = is_responsive and worker.clock_offset_ms is not None
        until_ms = None
        if not worker.is_in_doubt:
            until_ms = self._to_worker_clock_ms(worker, self._lease_s)
        if until_ms is not None:
            worker.extend_lease(sent_s, self._lease_s, fleetview.LeaseCall.POLL)
        wait_s = _get_poll_wait_s(worker) if is_waiting else 0.0
        margin_s = _POLL_MARGIN_S if is_responsive else _UNRESPONSIVE_POLL_MARGIN_S
        fencing_token = worker.fencing_token
        if worker.identified_s is None and worker.other_address and self._failures % 2:
            worker.set_address(worker.other_address)
        facts = worker.facts
        # A later incarnation numbers its ends anew, and would forget those that were not read yet.
        last_seen = 0 if worker.is_in_doubt else self._acknowledged
        result = await self._client.poll(
            facts,
            fencing_token=fencing_token,
            last_seen=last_seen,
            lease_until_ms=until_ms,
            wait_s=wait_s,
            timeout_s=wait_s + margin_s,
        )
        received_s = self._loop.time()
        if worker.identified_s is None:
            # Another entry may have come meanwhile.
            worker.set_address(facts.address)
        if result.born_ms != self._incarnation.born_ms:
            self._scheduler.record_restart(self._incarnation, result.born_ms, received_s)
            if self._incarnation in self._scheduler.workers:
                raise exceptions.OrderAnswerLost("the answer is that of an ended incarnation")
            self._wake()
            return
        self._update_clock_offset(worker, result.clock_ms, sent_s, received_s)
        if worker.unresponsive_since_s is not None:
            _log.info("A worker answers again.", worker=self._incarnation.worker)
        self._scheduler.apply_report(
            fleetview.WorkerReport(
                self._incarnation,
                result.clock_ms,
                sent_s,
                received_s,
                result.running,
                result.ends,
                result.is_complete,
                fencing_token,
            )
        )
        self._wake()

    def _update_clock_offset(
        self, worker: fleetview.Worker, clock_ms: int, sent_s: float, received_s: float
    ) -> None:
        # A slow answer makes the worker's clock seem behind, so the largest offset counts, lowered
        # over time by the greatest possible drift. A clock that stood still starts a new count.
        offset_ms = clock_ms - received_s * 1000
        if worker.clock_offset_ms is not None and worker.is_clock_plausible(clock_ms, sent_s):
            drift_ms = (received_s - worker.clock_read_s) * 1000 * fleetview.SLOW_CLOCK_FRACTION
            offset_ms = max(offset_ms, worker.clock_offset_ms - drift_ms)
        worker.clock_offset_ms, worker.clock_read_s = offset_ms, received_s

    def _to_worker_clock_ms(self, worker: fleetview.Worker, delay_s: float) -> int | None:
        if worker.clock_offset_ms is None:
            return None
        return int(worker.clock_offset_ms + (self._loop.time() + delay_s) * 1000)

    async def send(self, order: orders.Order) -> None:
        """Send one order, and record its outcome with the scheduler."""
        worker = self._scheduler.workers.get(self._incarnation)
        if worker is None:
            self._scheduler.record_not_sent(order, "its worker is gone", self._loop.time())
            return
        self._window.waiting_orders += 1
        try:
            await self._slots.acquire()
        finally:
            self._window.waiting_orders -= 1
        try:
            await self._dispatch(worker, order)
        except Exception as error:
            # The scheduler treats an order without an outcome like one without an answer.
            _log.error("An order failed.", order=repr(order)[:_MAX_LOGGED], exc_info=error)
        finally:
            self._slots.release()

    async def _dispatch(self, worker: fleetview.Worker, order: orders.Order) -> None:
        if not self._may_send():
            self._scheduler.record_not_sent(order, "the lease is not fresh", self._loop.time())
            return
        match order:
            case orders.StartRun():
                await self._start(worker, order)
            case orders.StopRun():
                await self._stop(worker, order)
            case orders.SetPace():
                await self._set_pace(worker, order)

    def prepare(self, order: orders.StartRun) -> StartValidity | None:
        """Extend the worker's lease for a start, or return None if the start must not be sent."""
        worker = self._scheduler.workers.get(self._incarnation)
        if not self._scheduler.is_needed(order):
            return None
        valid_s = (
            orders.LONG_RUNNING_START_VALID_S if order.is_long_running else orders.START_VALID_S
        )
        until_ms = self._to_worker_clock_ms(worker, valid_s) if worker is not None else None
        if worker is None or until_ms is None or not self._may_send():
            self._scheduler.record_refused(order, "not ordered", self._loop.time())
            return None
        if worker.is_in_doubt:
            self._scheduler.record_refused(order, "its worker is in doubt", self._loop.time())
            return None
        sent_s = self._loop.time()
        self._scheduler.record_sent(order)
        may_start_until_s = worker.extend_lease(sent_s, valid_s, fleetview.LeaseCall.START)
        return StartValidity(until_ms, may_start_until_s, sent_s, worker.fencing_token)

    def record_answer(
        self, order: orders.StartRun, validity: StartValidity, answer: orders.StartAnswer
    ) -> None:
        """Record the worker's answer to a start."""
        self._stages.observe("start", self._loop.time() - validity.sent_s)
        worker, refusal = self._scheduler.workers.get(self._incarnation), answer.refusal
        if worker is not None and not worker.is_clock_plausible(answer.clock_ms, validity.sent_s):
            self._record_other_clock(order, validity, answer)
        elif refusal is None:
            self._scheduler.record_started(order, self._loop.time())
            if worker is not None and worker.is_in_trial:
                self._poll_now()
        else:
            self._scheduler.record_refused(order, refusal.value, self._loop.time())

    def _record_other_clock(
        self, order: orders.StartRun, validity: StartValidity, answer: orders.StartAnswer
    ) -> None:
        """Record an answer that seems to come from a later incarnation, and poll at once."""
        _log.warning(
            "A worker's clock is behind, as after a restart.",
            worker=self._incarnation.worker,
            task=order.key.name,
            clock_ms=answer.clock_ms,
        )
        if answer.refusal is not None:
            self._scheduler.record_refused(order, answer.refusal.value, self._loop.time())
        else:
            self.record_answer_lost(order, validity, "another incarnation may have answered")
        self._scheduler.record_silence(self._incarnation, self._loop.time())
        self._poll_now()

    def record_not_done(self, order: orders.StartRun, why: str) -> None:
        """Record a start that did not reach the worker, or was for another incarnation or epoch."""
        self._scheduler.record_refused(order, why, self._loop.time())
        self._scheduler.record_silence(self._incarnation, self._loop.time())

    def record_answer_lost(self, order: orders.StartRun, validity: StartValidity, why: str) -> None:
        """Record a start without an answer, and poll to learn whether it was executed."""
        until_s = validity.may_start_until_s
        now_s = self._loop.time()
        if self._scheduler.record_unanswered(order, now_s, may_start_until_s=until_s, why=why):
            self._poll_now()

    async def _start(self, worker: fleetview.Worker, order: orders.StartRun) -> None:
        validity = self.prepare(order)
        if validity is None:
            return
        try:
            answer = await self._client.start(
                worker.facts,
                order,
                fencing_token=validity.fencing_token,
                valid_until_ms=validity.valid_until_ms,
            )
        except (exceptions.OrderNotDone, exceptions.WrongWorker, exceptions.Fenced) as error:
            self.record_not_done(order, str(error) or type(error).__name__)
        except exceptions.WorkerError as error:
            self.record_answer_lost(order, validity, str(error))
        else:
            self.record_answer(order, validity, answer)

    async def _stop(self, worker: fleetview.Worker, order: orders.StopRun) -> None:
        try:
            await self._client.stop(worker.facts, order, fencing_token=worker.fencing_token)
        except exceptions.WorkerError as error:
            _log.info("A stop order got no answer.", task=order.task, run=order.run, why=str(error))
            self._scheduler.record_stop_unanswered(order)
        else:
            if self._scheduler.record_stop_acknowledged(order, self._loop.time()):
                self._poll_now()

    def _poll_now(self) -> None:
        # The timeout of a poll that is already being cancelled can't be rescheduled again.
        poll_timeout, self._poll_timeout = self._poll_timeout, None
        if poll_timeout is not None:
            poll_timeout.reschedule(self._loop.time())

    async def _set_pace(self, worker: fleetview.Worker, order: orders.SetPace) -> None:
        try:
            await self._client.set_pace(worker.facts, order, fencing_token=worker.fencing_token)
        except exceptions.WorkerError as error:
            _log.info("A pace order got no answer.", task=order.task, run=order.run, why=str(error))


def _get_poll_wait_s(worker: fleetview.Worker) -> float:
    if not worker.is_report_complete:
        return 0.0
    if not worker.tasks:
        return _IDLE_POLL_WAIT_S
    if any(task.stop_acked_s is not None for task in worker.tasks.values()):
        # A run that never began reports no end, so only an answered poll frees its task.
        return _STOPPING_POLL_WAIT_S
    if any(
        task.phase is fleetview.Phase.UNCONFIRMED and not task.is_missing
        for task in worker.tasks.values()
    ):
        return _UNCONFIRMED_POLL_WAIT_S
    if worker.is_in_trial:
        return _TRIAL_POLL_WAIT_S
    filler_flags = {task.step.fills for task in worker.tasks.values() if task.step.long_running}
    return _SHARED_POLL_WAIT_S if len(filler_flags) > 1 else _BUSY_POLL_WAIT_S
