"""Send starts to workers for the holders of services at other entries."""

import asyncio
import collections
import collections.abc

from nutmegshelf import calls, exceptions, fleetview, ids, jobs, orders, window

from nutmegshelf_entry import logs, ports

# Connections to one worker; the others wait.
_STARTS_AT_ONCE = 3
# Holders ask for as much as fits; more than that is refused only beyond this part of the window.
_WINDOW_PART = 2.0

_log = logs.get_logger("carrier")


class Forwarder:
    """Own the starts that go over this entry's link for others."""

    def __init__(self, workers: ports.WorkerClient, under_way: window.Window) -> None:
        self._workers = workers
        self._under_way = under_way
        self._facts: dict[fleetview.Incarnation, fleetview.WorkerFacts] = {}
        # The newest jobs' specifications, which holders tell once.
        self._specs: dict[ids.JobId, str] = {}
        self._slots: collections.defaultdict[fleetview.Incarnation, asyncio.Semaphore]
        self._slots = collections.defaultdict(lambda: asyncio.Semaphore(_STARTS_AT_ONCE))

    def update_workers(self, listed: collections.abc.Iterable[fleetview.WorkerFacts]) -> None:
        """Take the fleet's list."""
        before, self._facts = self._facts, {facts.incarnation: facts for facts in listed}
        for life in [life for life in self._slots if life not in self._facts]:
            del self._slots[life]
            if life in before:
                self._workers.disconnect(before[life])

    async def forward(self, call: calls.ForwardStarts) -> calls.Reply:
        """Send starts to their workers and give what became of each."""
        self._remember(call.specs)
        outcomes = await asyncio.gather(*(self._start(call, one) for one in call.starts))
        return calls.Reply(status=calls.Status.DONE, outcomes=tuple(outcomes))

    def _remember(self, specs: dict[ids.JobId, str]) -> None:
        for job, spec in specs.items():
            self._specs.pop(job, None)
            self._specs[job] = spec
        while len(self._specs) > window.MAX_CACHED_SPECS:
            del self._specs[next(iter(self._specs))]

    async def _start(
        self, call: calls.ForwardStarts, carried: calls.ForwardedStart
    ) -> orders.Outcome:
        facts = self._facts.get(fleetview.Incarnation(carried.worker, carried.born_ms))
        key = jobs.parse_task_name(carried.task)
        spec = self._specs.get(key.job) if key is not None else None
        if facts is None:
            return orders.Outcome.UNKNOWN_WORKER
        if key is None or spec is None:
            # The call that tells it may be later than this one.
            return orders.Outcome.UNKNOWN_SPEC
        size_bytes = orders.CALL_BYTES + len(spec) + len(carried.checkpoint)
        now_s = asyncio.get_running_loop().time()
        if not self._under_way.has_capacity(now_s, _WINDOW_PART):
            return orders.Outcome.FULL
        order = orders.StartRun(
            facts.incarnation, key, carried.run, spec, carried.checkpoint, ticket=carried.ticket
        )
        self._under_way.reserve(size_bytes, now_s)
        try:
            async with self._slots[facts.incarnation]:
                return await self._send(facts, order, call.epoch, carried.valid_until_ms)
        finally:
            self._under_way.release()

    async def _send(
        self, facts: fleetview.WorkerFacts, order: orders.StartRun, fence: int, until_ms: int
    ) -> orders.Outcome:
        try:
            refusal = await self._workers.start(
                facts, order, fencing_token=fence, valid_until_ms=until_ms
            )
        except (exceptions.OrderNotDone, exceptions.WrongWorker, exceptions.Fenced) as error:
            _log.info("A carried start was not done.", task=order.key.name, why=str(error))
            return orders.Outcome.NOT_DONE
        except exceptions.WorkerError as error:
            _log.info("A carried start got no answer.", task=order.key.name, why=str(error))
            return orders.Outcome.LOST
        return orders.Outcome.TAKEN if refusal is None else orders.Outcome(refusal.value)
