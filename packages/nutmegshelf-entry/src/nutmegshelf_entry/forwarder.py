"""Forward starts to workers on behalf of holders at other entries."""

import asyncio
import collections
import collections.abc
import typing

from nutmegshelf import calls, exceptions, fleetview, ids, jobs, orders, window

from nutmegshelf_entry import logs, ports

# Concurrent starts per worker; further ones wait.
_MAX_STARTS_PER_WORKER = 3
# Holders already limit what they forward by the window, so starts are refused only beyond this
# multiple of it.
_MAX_WINDOW_SHARE = 2.0
# A start that waited longer for its turn is not sent, as its holder no longer waits for it.
_MAX_WAIT_S = 0.8

_log = logs.get_logger("carrier")


class _Answer(typing.NamedTuple):
    outcome: orders.Outcome
    worker_clock_ms: int | None = None


class Forwarder:
    """The starts that this entry sends over its link for other entries."""

    def __init__(self, workers: ports.WorkerClient, send_window: window.Window) -> None:
        self._workers = workers
        self._window = send_window
        self._facts: dict[fleetview.Incarnation, fleetview.WorkerFacts] = {}
        # Specifications of the most recent jobs; a holder sends each one once.
        self._specs_by_job: dict[ids.JobId, str] = {}
        self._slots: collections.defaultdict[fleetview.Incarnation, asyncio.Semaphore]
        self._slots = collections.defaultdict(lambda: asyncio.Semaphore(_MAX_STARTS_PER_WORKER))

    def update_workers(self, listed: collections.abc.Iterable[fleetview.WorkerFacts]) -> None:
        """Apply the fleet's list of workers, and close the connections to removed ones."""
        previous, self._facts = self._facts, {facts.incarnation: facts for facts in listed}
        for incarnation in [key for key in self._slots if key not in self._facts]:
            del self._slots[incarnation]
            if incarnation in previous:
                self._workers.disconnect(previous[incarnation])

    async def forward(self, call: calls.ForwardStarts) -> calls.Reply:
        """Send starts to their workers, and reply with the outcome of each."""
        self._cache_specs(call.specs)
        answers = await asyncio.gather(*(self._start(call, start) for start in call.starts))
        return calls.Reply(
            status=calls.Status.DONE,
            outcomes=tuple(answer.outcome for answer in answers),
            worker_clocks_ms=tuple(answer.worker_clock_ms for answer in answers),
        )

    def _cache_specs(self, specs: dict[ids.JobId, str]) -> None:
        for job, spec in specs.items():
            self._specs_by_job.pop(job, None)
            self._specs_by_job[job] = spec
        while len(self._specs_by_job) > window.MAX_CACHED_SPECS:
            del self._specs_by_job[next(iter(self._specs_by_job))]

    async def _start(self, call: calls.ForwardStarts, start: calls.ForwardedStart) -> _Answer:
        facts = self._facts.get(fleetview.Incarnation(start.worker, start.born_ms))
        key = jobs.parse_task_name(start.task)
        spec = self._specs_by_job.get(key.job) if key is not None else None
        if facts is None:
            return _Answer(orders.Outcome.UNKNOWN_WORKER)
        if key is None or spec is None:
            # The call that includes the specification may arrive after this one.
            return _Answer(orders.Outcome.UNKNOWN_SPEC)
        size_bytes = orders.CALL_BYTES + len(spec) + len(start.checkpoint)
        now_s = asyncio.get_running_loop().time()
        if not self._window.has_capacity(now_s, _MAX_WINDOW_SHARE):
            return _Answer(orders.Outcome.FULL)
        order = orders.StartRun(
            facts.incarnation, key, start.run, spec, start.checkpoint, ticket=start.ticket
        )
        self._window.reserve(size_bytes, now_s)
        try:
            async with self._slots[facts.incarnation]:
                if asyncio.get_running_loop().time() - now_s > _MAX_WAIT_S:
                    return _Answer(orders.Outcome.FULL)
                # An entry of an earlier version sends no token for each start.
                fencing_token = start.fencing_token or call.epoch
                return await self._send(facts, order, fencing_token, start.valid_until_ms)
        finally:
            self._window.release()

    async def _send(
        self,
        facts: fleetview.WorkerFacts,
        order: orders.StartRun,
        fencing_token: int,
        until_ms: int,
    ) -> _Answer:
        try:
            answer = await self._workers.start(
                facts, order, fencing_token=fencing_token, valid_until_ms=until_ms
            )
        except (exceptions.OrderNotDone, exceptions.WrongWorker, exceptions.Fenced) as error:
            _log.info("A forwarded start was not executed.", task=order.key.name, why=str(error))
            return _Answer(orders.Outcome.NOT_DONE)
        except exceptions.WorkerError as error:
            _log.info("A carried start got no answer.", task=order.key.name, why=str(error))
            return _Answer(orders.Outcome.LOST)
        if answer.refusal is None:
            return _Answer(orders.Outcome.TAKEN, answer.clock_ms)
        return _Answer(orders.Outcome(answer.refusal.value), answer.clock_ms)
