"""Compare goodput and p99 latency under bursts with unlimited first-come queues."""

import collections
import collections.abc
import dataclasses
import functools
import math
import random

from nutmegshelf import declarations, dispatch, exceptions, ids, platform

from nutmegshelf_bench import _replay, figures

_SERVICES = ("bursting", "steady")
_MINIONS_PER_SERVICE = 2
_MEAN_SERVICE_TIME_S = 0.05
_CALL_TIMEOUT_S = 1.0
_QUEUE_LIMIT = 256
_DURATION_S = 20.0
_BURST_WINDOW_S = (4.0, 12.0)
# The mean demand as a fraction of the slots; five times the mean exceeds the capacity.
_MEAN_DEMAND_FRACTION = 0.3
_LOAD_FACTORS = (1, 2, 5)
_MAX_ATTEMPTS = 3
_REQUEST_CLASS_WEIGHTS = {
    declarations.RequestClass.URGENT: 0.2,
    declarations.RequestClass.NORMAL: 0.6,
    declarations.RequestClass.BATCH: 0.2,
}


@dataclasses.dataclass(slots=True)
class _Call:
    number: int
    service: str
    request_class: declarations.RequestClass
    work_s: float
    arrived_s: float
    deadline_s: float
    attempt: int = 1


@dataclasses.dataclass(slots=True)
class _Result:
    """Calls by service and class; a good call got a whole answer before its deadline."""

    offered: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    good: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    attempts: int = 0
    latencies_s: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    def get_goodput(self, service: str, name: str = "all") -> float:
        """Return the fraction of the calls that got a whole answer before their deadline."""
        return self.good[service, name] / max(1, self.offered[service, name])

    def get_p99_ms(self, service: str) -> float:
        """Return the 99th percentile of the time to the final answer, good or not."""
        latencies_s = sorted(self.latencies_s[service])
        return latencies_s[int(0.99 * (len(latencies_s) - 1))] * 1000


class _Policy:
    """Base class of the policies: retries calls and records their final answers."""

    def __init__(self, simulator: _replay.Simulator, result: _Result, rng: random.Random) -> None:
        self.simulator = simulator
        self.result = result
        self.rng = rng

    def submit(self, call: _Call) -> None:
        """Accept a call."""
        raise NotImplementedError

    def record_answer(self, call: _Call, *, good: bool) -> None:
        """Record the final answer of a call."""
        self.result.latencies_s[call.service].append(self.simulator.now_s - call.arrived_s)
        for name in (call.request_class.value, "all"):
            self.result.good[call.service, name] += good

    def retry(self, call: _Call, delay_s: float) -> None:
        """Schedule a retry with a new deadline, or record a failure after the last attempt."""
        if call.attempt == _MAX_ATTEMPTS:
            self.record_answer(call, good=False)
            return
        start_s = self.simulator.now_s + delay_s
        next_call = dataclasses.replace(
            call, attempt=call.attempt + 1, deadline_s=start_s + _CALL_TIMEOUT_S
        )
        self.simulator.schedule(delay_s, functools.partial(self.submit, next_call))


class _DispatcherPolicy(_Policy):
    """The product's dispatchers; refused callers retry after the delay in the refusal."""

    def __init__(self, simulator: _replay.Simulator, result: _Result, rng: random.Random) -> None:
        super().__init__(simulator, result, rng)
        self._pending_calls: dict[ids.RequestId, _Call] = {}
        self._dispatchers = {name: self._build_dispatcher(name) for name in _SERVICES}

    def _build_dispatcher(self, service: str) -> dispatch.Dispatcher:
        dispatcher = dispatch.Dispatcher(_QUEUE_LIMIT, ids.ZoneName("z"), self.rng)
        records = [
            platform.MinionRecord(
                minion=ids.MinionId(f"{service}-{number}"),
                service=ids.ServiceName(service),
                host="127.0.0.1",
                port=1,
                zone=ids.ZoneName("z"),
                rack=ids.RackName("r"),
                worker=ids.WorkerId(f"w{number}"),
            )
            for number in range(_MINIONS_PER_SERVICE)
        ]
        dispatcher.set_targets(
            records, lambda minion: _replay.SLOTS_PER_MINION, _replay.SLOTS_PER_MINION, 0.0
        )
        return dispatcher

    def submit(self, call: _Call) -> None:
        """Offer a call to the dispatcher of its service."""
        self.result.attempts += 1
        request = ids.RequestId(f"{call.number}.{call.attempt}")
        self._pending_calls[request] = call
        dispatcher = self._dispatchers[call.service]
        ticket = dispatch.Ticket(request, call.request_class, call.deadline_s)
        self._apply(dispatcher.offer(ticket, self.simulator.now_s))
        self.simulator.schedule(
            call.deadline_s - self.simulator.now_s,
            lambda: self._apply(dispatcher.dispatch_waiting(self.simulator.now_s)),
        )

    def _apply(self, decisions: list[dispatch.Decision]) -> None:
        for decision in decisions:
            call = self._pending_calls.pop(decision.request)
            match decision:
                case dispatch.Grant():
                    finish = functools.partial(self._finish, call, decision.minion.minion)
                    self.simulator.schedule(call.work_s, finish)
                case dispatch.Refusal():
                    assert decision.kind is not exceptions.ErrorKind.NO_MINION
                    self.retry(call, math.ceil(decision.retry_after_s))

    def _finish(self, call: _Call, minion: ids.MinionId) -> None:
        self.record_answer(call, good=self.simulator.now_s <= call.deadline_s)
        dispatcher = self._dispatchers[call.service]
        self._apply(dispatcher.release(minion, self.simulator.now_s, call.work_s))


class _FirstComePolicy(_Policy):
    """Unlimited queues in order of arrival; callers that time out retry at once."""

    has_single_queue = False

    def __init__(self, simulator: _replay.Simulator, result: _Result, rng: random.Random) -> None:
        super().__init__(simulator, result, rng)
        self._free_slots = dict.fromkeys(_SERVICES, _MINIONS_PER_SERVICE * _replay.SLOTS_PER_MINION)
        self._queues: dict[str, collections.deque[_Call]] = collections.defaultdict(
            collections.deque
        )
        self._finished_calls: set[int] = set()

    def submit(self, call: _Call) -> None:
        """Add a call to the end of its queue."""
        self.result.attempts += 1
        self._queues["" if self.has_single_queue else call.service].append(call)
        self.simulator.schedule(_CALL_TIMEOUT_S, functools.partial(self._time_out, call))
        self._start_waiting()

    def _time_out(self, call: _Call) -> None:
        if call.number not in self._finished_calls:
            if call.attempt == _MAX_ATTEMPTS:
                self._finished_calls.add(call.number)
            self.retry(call, 0.0)

    def _start_waiting(self) -> None:
        for queue in self._queues.values():
            while queue and self._free_slots[queue[0].service]:
                call = queue.popleft()
                self._free_slots[call.service] -= 1
                self.simulator.schedule(call.work_s, functools.partial(self._finish, call))

    def _finish(self, call: _Call) -> None:
        self._free_slots[call.service] += 1
        if self.simulator.now_s <= call.deadline_s and call.number not in self._finished_calls:
            self._finished_calls.add(call.number)
            self.record_answer(call, good=True)
        self._start_waiting()


class _SingleQueuePolicy(_FirstComePolicy):
    """A single queue for all services, in order of arrival."""

    has_single_queue = True


_POLICIES: dict[str, type[_Policy]] = {
    "dispatched": _DispatcherPolicy,
    "first_come": _FirstComePolicy,
    "one_queue": _SingleQueuePolicy,
}


def simulate(policy: str, load: int, seed: int) -> _Result:
    """Simulate one policy under a burst of a multiple of the mean demand."""
    rng = random.Random(f"{seed}:{load}")
    simulator = _replay.Simulator()
    result = _Result()
    simulated_policy = _POLICIES[policy](simulator, result, random.Random(seed))
    number = 0
    for service in _SERVICES:
        at_s = 0.0
        while at_s < _DURATION_S:
            is_burst = service == "bursting" and _BURST_WINDOW_S[0] <= at_s < _BURST_WINDOW_S[1]
            rate_per_s = (
                _MEAN_DEMAND_FRACTION
                * _MINIONS_PER_SERVICE
                * _replay.SLOTS_PER_MINION
                / _MEAN_SERVICE_TIME_S
                * (load if is_burst else 1)
            )
            at_s += rng.expovariate(rate_per_s)
            (request_class,) = rng.choices(
                list(_REQUEST_CLASS_WEIGHTS), list(_REQUEST_CLASS_WEIGHTS.values())
            )
            work_s = rng.expovariate(1 / _MEAN_SERVICE_TIME_S)
            call = _Call(number, service, request_class, work_s, at_s, at_s + _CALL_TIMEOUT_S)
            for key in (request_class.value, "all"):
                result.offered[service, key] += 1
            simulator.schedule(at_s, functools.partial(simulated_policy.submit, call))
            number += 1
    simulator.run(math.inf, lambda elapsed_s: None)
    return result


@figures.register("overload")
def measure_overload(seed: int) -> None:
    """Print overload.POLICY.LOADx.SERVICE results for every policy and load."""
    for load in _LOAD_FACTORS:
        for policy in _POLICIES:
            result = simulate(policy, load, seed)
            name = f"overload.{policy}.{load}x"
            for service in _SERVICES:
                figures.report(f"{name}.{service}.goodput", result.get_goodput(service), "fraction")
                figures.report(f"{name}.{service}.p99", result.get_p99_ms(service), "ms")
            for request_class in _REQUEST_CLASS_WEIGHTS:
                goodput = result.get_goodput("bursting", request_class.value)
                figures.report(
                    f"{name}.bursting.{request_class.value}.goodput", goodput, "fraction"
                )
            calls = sum(result.offered[service, "all"] for service in _SERVICES)
            figures.report(f"{name}.attempts", result.attempts / calls, "attempts/call")
