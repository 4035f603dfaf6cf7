"""Look at one worker again and again, and carry orders to it."""

import asyncio
import typing

from nutmegshelf import exceptions, fleetview, orders, scheduler, window

from nutmegshelf_entry import histograms, logs, ports

# Ends that come close together are taken in one look.
_LOOK_GAP_S = 0.025
_IDLE_WAIT_S = 2.0
_BUSY_WAIT_S = 1.0
# After a stop was taken, its effect is looked for this often.
_PROOF_WAIT_S = 0.05
# Whether a start without an answer was carried out is looked for this often.
_UNSURE_WAIT_S = 0.2
# Where tasks share a worker with filling ones, their response times are watched closely.
_SHARED_WAIT_S = 0.4
_FIRST_BACKOFF_S = 0.05
_MOST_BACKOFF_S = 0.5
_ORDERS_AT_ONCE = 6

_log = logs.get_logger("worker")


class StartValidity(typing.NamedTuple):
    """Hold until when a start is valid, by the worker's clock and by the own one."""

    valid_until_ms: int
    may_start_until_s: float
    sent_s: float


class WorkerLink:
    """Own the calls to one life of a worker."""

    def __init__(
        self,
        service: scheduler.Scheduler,
        life: fleetview.Incarnation,
        calls: ports.WorkerClient,
        *,
        fence: int,
        lease_s: float,
        wake: ports.Wake,
        may_order: asyncio.Event,
        stages: histograms.StageDurations,
        under_way: window.Window,
    ) -> None:
        self._scheduler = service
        self._life = life
        self._calls = calls
        self._fence = fence
        self._lease_s = lease_s
        self._wake = wake
        self._may_order = may_order
        self._stages = stages
        self._under_way = under_way
        self._seen = 0
        self._waiting: asyncio.Timeout | None = None
        self._slots = asyncio.Semaphore(_ORDERS_AT_ONCE)
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Look until the worker is no longer known."""
        backoff_s = _FIRST_BACKOFF_S
        while (worker := self._scheduler.workers.get(self._life)) is not None:
            await self._may_order.wait()
            try:
                await self._look_unless_poked(worker)
                backoff_s = _FIRST_BACKOFF_S
                await asyncio.sleep(_LOOK_GAP_S)
            except TimeoutError:
                continue  # Another look is wanted at once.
            except exceptions.WorkerError as error:
                if worker.unresponsive_since_s is None:
                    worker.unresponsive_since_s = self._loop.time()
                    _log.warning(
                        "A worker doesn't answer.", worker=self._life.worker, why=str(error)
                    )
                await asyncio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, _MOST_BACKOFF_S)
        _log.info("A worker is gone.", worker=self._life.worker)

    async def _look_unless_poked(self, worker: fleetview.Worker) -> None:
        try:
            async with asyncio.timeout(None) as self._waiting:
                await self._look(worker)
        finally:
            self._waiting = None

    async def _look(self, worker: fleetview.Worker) -> None:
        sent_s = self._loop.time()
        if (settled := self._scheduler.take_stored_end(self._life)) is not None:
            self._seen = settled
        # A worker that may be gone gets no longer lease: what ran there can start elsewhere when
        # the lease that it has ends.
        is_heard = worker.unresponsive_since_s is None
        until_ms = self._until_ms(worker, self._lease_s) if is_heard else None
        if until_ms is not None:
            worker.extend_lease(sent_s, self._lease_s)
        looked = await self._calls.poll(
            worker.facts,
            fencing_token=self._fence,
            last_seen=self._seen,
            lease_until_ms=until_ms,
            wait_s=_wait_s(worker) if until_ms is not None else 0.0,
        )
        received_s = self._loop.time()
        if looked.born_ms != self._life.born_ms:
            self._scheduler.record_restart(self._life, looked.born_ms, received_s)
            self._wake()
            return
        self._note_clock(worker, looked.clock_ms, received_s)
        if worker.unresponsive_since_s is not None:
            _log.info("A worker answers again.", worker=self._life.worker)
        self._scheduler.apply_report(
            fleetview.WorkerReport(
                self._life, looked.clock_ms, sent_s, received_s, looked.running, looked.ends
            )
        )
        self._wake()

    def _note_clock(self, worker: fleetview.Worker, clock_ms: int, received_s: float) -> None:
        # An answer that took long makes the worker's clock look slow, so the largest value counts,
        # lowered with time as far as clocks may drift.
        ahead_ms = clock_ms - received_s * 1000
        if worker.clock_offset_ms is not None:
            drift_ms = (received_s - worker.clock_read_s) * 1000 * fleetview.SLOW_CLOCK_FRACTION
            ahead_ms = max(ahead_ms, worker.clock_offset_ms - drift_ms)
        worker.clock_offset_ms, worker.clock_read_s = ahead_ms, received_s

    def _until_ms(self, worker: fleetview.Worker, lease_s: float) -> int | None:
        if worker.clock_offset_ms is None:
            return None
        return int(worker.clock_offset_ms + (self._loop.time() + lease_s) * 1000)

    async def send(self, order: orders.Order) -> None:
        """Carry one order and report its outcome to the scheduler."""
        worker = self._scheduler.workers.get(self._life)
        if worker is None:
            self._scheduler.record_not_sent(order, "its worker is gone", self._loop.time())
            return
        self._under_way.waiting_orders += 1
        try:
            await self._slots.acquire()
        finally:
            self._under_way.waiting_orders -= 1
        try:
            await self._carry(worker, order)
        finally:
            self._slots.release()

    async def _carry(self, worker: fleetview.Worker, order: orders.Order) -> None:
        match order:
            case orders.StartRun():
                await self._start(worker, order)
            case orders.StopRun():
                await self._stop(worker, order)
            case orders.SetPace():
                await self._pace(worker, order)

    def prepare(self, order: orders.StartRun) -> StartValidity | None:
        """Note the lease that a start asks for, or refuse the start where it may not go out."""
        worker = self._scheduler.workers.get(self._life)
        if not self._scheduler.is_needed(order):
            return None
        valid_s = (
            orders.LONG_RUNNING_START_VALID_S if order.is_long_running else orders.START_VALID_S
        )
        until_ms = self._until_ms(worker, valid_s) if worker is not None else None
        if worker is None or until_ms is None or not self._may_order.is_set():
            self._scheduler.record_refused(order, "not ordered", self._loop.time())
            return None
        sent_s = self._loop.time()
        return StartValidity(until_ms, worker.extend_lease(sent_s, valid_s), sent_s)

    def record_answer(
        self, order: orders.StartRun, validity: StartValidity, refusal: orders.Refusal | None
    ) -> None:
        """Take the worker's answer to a start."""
        self._stages.observe("start", self._loop.time() - validity.sent_s)
        if refusal is None:
            self._scheduler.record_started(order, self._loop.time())
        else:
            self._scheduler.record_refused(order, refusal.value, self._loop.time())

    def record_not_done(self, order: orders.StartRun, why: str) -> None:
        """Note that a start did not reach the worker, or was not for this life or epoch."""
        worker = self._scheduler.workers.get(self._life)
        self._scheduler.record_refused(order, why, self._loop.time())
        if worker is not None and worker.unresponsive_since_s is None:
            worker.unresponsive_since_s = self._loop.time()

    def record_answer_lost(self, order: orders.StartRun, validity: StartValidity, why: str) -> None:
        """Note that a start got no answer, and look whether it was carried out."""
        until_s = validity.may_start_until_s
        now_s = self._loop.time()
        if self._scheduler.record_unanswered(order, now_s, may_start_until_s=until_s, why=why):
            self._look_now()

    async def _start(self, worker: fleetview.Worker, order: orders.StartRun) -> None:
        validity = self.prepare(order)
        if validity is None:
            return
        try:
            refusal = await self._calls.start(
                worker.facts,
                order,
                fencing_token=self._fence,
                valid_until_ms=validity.valid_until_ms,
            )
        except (exceptions.OrderNotDone, exceptions.WrongWorker, exceptions.Fenced) as error:
            self.record_not_done(order, str(error) or type(error).__name__)
        except exceptions.WorkerError as error:
            self.record_answer_lost(order, validity, str(error))
        else:
            self.record_answer(order, validity, refusal)

    async def _stop(self, worker: fleetview.Worker, order: orders.StopRun) -> None:
        try:
            await self._calls.stop(worker.facts, order, fencing_token=self._fence)
        except exceptions.WorkerError as error:
            _log.info("A stop got no answer.", task=order.task, run=order.run, why=str(error))
            self._scheduler.record_stop_unanswered(order)
        else:
            if self._scheduler.record_stop_acknowledged(order, self._loop.time()):
                self._look_now()

    def _look_now(self) -> None:
        # A look that is being broken off can't be rescheduled again.
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            waiting.reschedule(self._loop.time())

    async def _pace(self, worker: fleetview.Worker, order: orders.SetPace) -> None:
        try:
            await self._calls.set_pace(worker.facts, order, fencing_token=self._fence)
        except exceptions.WorkerError as error:
            _log.info("A pace got no answer.", task=order.task, run=order.run, why=str(error))


def _wait_s(worker: fleetview.Worker) -> float:
    if not worker.tasks:
        return _IDLE_WAIT_S
    if any(task.stop_acked_s is not None for task in worker.tasks.values()):
        # A run that never began has no end to wait for, and only an answer frees its task.
        return _PROOF_WAIT_S
    if any(task.phase is fleetview.Phase.UNCONFIRMED for task in worker.tasks.values()):
        return _UNSURE_WAIT_S
    shared = {task.step.fills for task in worker.tasks.values() if task.step.long_running}
    return _SHARED_WAIT_S if len(shared) > 1 else _BUSY_WAIT_S
