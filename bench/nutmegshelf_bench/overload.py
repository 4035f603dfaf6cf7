"""Measure goodput and p99 under bursts, against first-come queues without limits."""

import collections
import collections.abc
import dataclasses
import functools
import math
import random

from nutmegshelf import declarations, dispatch, exceptions, ids, platform

from nutmegshelf_bench import _replay, figures

_SERVICES = ("bursting", "steady")
_MINIONS = 2
_MEAN_S = 0.05
_PATIENCE_S = 1.0
_QUEUE_LIMIT = 256
_LENGTH_S = 20.0
_BURST_S = (4.0, 12.0)
# The mean demand, as a part of the slots; five times the mean is more than there are.
_MEAN_DEMAND = 0.3
_LOADS = (1, 2, 5)
_TRIES = 3
_CLASSES = {
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
    came_s: float
    deadline_s: float
    tries: int = 1


@dataclasses.dataclass(slots=True)
class _Result:
    """Count by service and class what callers got; good is whole and in time."""

    offered: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    good: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    attempts: int = 0
    times_s: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    def get_goodput(self, service: str, name: str = "all") -> float:
        """Give the part of the calls that got a whole answer in time."""
        return self.good[service, name] / max(1, self.offered[service, name])

    def get_p99_ms(self, service: str) -> float:
        """Give the 99th percentile of the time to the final answer, good or not."""
        times_s = sorted(self.times_s[service])
        return times_s[int(0.99 * (len(times_s) - 1))] * 1000


class _Queues:
    """Be the base of the policies: run calls at slots and judge what callers got."""

    def __init__(self, clock: _replay.Simulator, result: _Result, rng: random.Random) -> None:
        self.clock = clock
        self.result = result
        self.rng = rng

    def call(self, call: _Call) -> None:
        """Take a call."""
        raise NotImplementedError

    def count(self, call: _Call, *, good: bool) -> None:
        """Count a final answer."""
        self.result.times_s[call.service].append(self.clock.now_s - call.came_s)
        for name in (call.request_class.value, "all"):
            self.result.good[call.service, name] += good

    def again(self, call: _Call, after_s: float) -> None:
        """Let the caller try again, with a new deadline, up to its last try."""
        if call.tries == _TRIES:
            self.count(call, good=False)
            return
        start_s = self.clock.now_s + after_s
        following = dataclasses.replace(
            call, tries=call.tries + 1, deadline_s=start_s + _PATIENCE_S
        )
        self.clock.schedule(after_s, functools.partial(self.call, following))


class _Dispatched(_Queues):
    """Decide by the product's dispatchers; refused callers come back when they were told to."""

    def __init__(self, clock: _replay.Simulator, result: _Result, rng: random.Random) -> None:
        super().__init__(clock, result, rng)
        self._calls: dict[ids.RequestId, _Call] = {}
        self._dispatchers = {name: self._build(name) for name in _SERVICES}

    def _build(self, service: str) -> dispatch.Dispatcher:
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
            for number in range(_MINIONS)
        ]
        dispatcher.set_targets(
            records, lambda minion: _replay.SLOTS_PER_MINION, _replay.SLOTS_PER_MINION, 0.0
        )
        return dispatcher

    def call(self, call: _Call) -> None:
        """Offer a call to its service's dispatcher."""
        self.result.attempts += 1
        request = ids.RequestId(f"{call.number}.{call.tries}")
        self._calls[request] = call
        dispatcher = self._dispatchers[call.service]
        ticket = dispatch.Ticket(request, call.request_class, call.deadline_s)
        self._act(dispatcher.offer(ticket, self.clock.now_s))
        self.clock.schedule(
            call.deadline_s - self.clock.now_s,
            lambda: self._act(dispatcher.dispatch_waiting(self.clock.now_s)),
        )

    def _act(self, decisions: list[dispatch.Decision]) -> None:
        for decision in decisions:
            call = self._calls.pop(decision.request)
            match decision:
                case dispatch.Grant():
                    ended = functools.partial(self._end, call, decision.minion.minion)
                    self.clock.schedule(call.work_s, ended)
                case dispatch.Refusal():
                    assert decision.kind is not exceptions.ErrorKind.NO_MINION
                    self.again(call, math.ceil(decision.retry_after_s))

    def _end(self, call: _Call, minion: ids.MinionId) -> None:
        self.count(call, good=self.clock.now_s <= call.deadline_s)
        dispatcher = self._dispatchers[call.service]
        self._act(dispatcher.release(minion, self.clock.now_s, call.work_s))


class _FirstCome(_Queues):
    """Serve in the order of arrival, without limits; callers give up and try again at once."""

    one_queue = False

    def __init__(self, clock: _replay.Simulator, result: _Result, rng: random.Random) -> None:
        super().__init__(clock, result, rng)
        self._free = dict.fromkeys(_SERVICES, _MINIONS * _replay.SLOTS_PER_MINION)
        self._queues: dict[str, collections.deque[_Call]] = collections.defaultdict(
            collections.deque
        )
        self._done: set[int] = set()

    def call(self, call: _Call) -> None:
        """Let a call wait behind all that came before."""
        self.result.attempts += 1
        self._queues["" if self.one_queue else call.service].append(call)
        self.clock.schedule(_PATIENCE_S, functools.partial(self._give_up, call))
        self._pump()

    def _give_up(self, call: _Call) -> None:
        if call.number not in self._done:
            if call.tries == _TRIES:
                self._done.add(call.number)
            self.again(call, 0.0)

    def _pump(self) -> None:
        for queue in self._queues.values():
            while queue and self._free[queue[0].service]:
                call = queue.popleft()
                self._free[call.service] -= 1
                self.clock.schedule(call.work_s, functools.partial(self._end, call))

    def _end(self, call: _Call) -> None:
        self._free[call.service] += 1
        if self.clock.now_s <= call.deadline_s and call.number not in self._done:
            self._done.add(call.number)
            self.count(call, good=True)
        self._pump()


class _OneQueue(_FirstCome):
    """Serve all services from one queue in the order of arrival."""

    one_queue = True


_POLICIES: dict[str, type[_Queues]] = {
    "dispatched": _Dispatched,
    "first_come": _FirstCome,
    "one_queue": _OneQueue,
}


def replay(policy: str, load: int, seed: int) -> _Result:
    """Replay one policy under a burst of some times the mean demand."""
    rng = random.Random(f"{seed}:{load}")
    clock = _replay.Simulator()
    result = _Result()
    queues = _POLICIES[policy](clock, result, random.Random(seed))
    number = 0
    for service in _SERVICES:
        at_s = 0.0
        while at_s < _LENGTH_S:
            burst = service == "bursting" and _BURST_S[0] <= at_s < _BURST_S[1]
            rate_per_s = (
                _MEAN_DEMAND
                * _MINIONS
                * _replay.SLOTS_PER_MINION
                / _MEAN_S
                * (load if burst else 1)
            )
            at_s += rng.expovariate(rate_per_s)
            (name,) = rng.choices(list(_CLASSES), list(_CLASSES.values()))
            work_s = rng.expovariate(1 / _MEAN_S)
            call = _Call(number, service, name, work_s, at_s, at_s + _PATIENCE_S)
            for key in (name.value, "all"):
                result.offered[service, key] += 1
            clock.schedule(at_s, functools.partial(queues.call, call))
            number += 1
    clock.run(math.inf, lambda passed_s: None)
    return result


@figures.register("overload")
def measure_overload(seed: int) -> None:
    """Print overload.POLICY.LOAD.SERVICE.figure for every policy and load."""
    for load in _LOADS:
        for policy in _POLICIES:
            result = replay(policy, load, seed)
            name = f"overload.{policy}.{load}x"
            for service in _SERVICES:
                figures.report(f"{name}.{service}.goodput", result.get_goodput(service), "fraction")
                figures.report(f"{name}.{service}.p99", result.get_p99_ms(service), "ms")
            for one in _CLASSES:
                goodput = result.get_goodput("bursting", one.value)
                figures.report(f"{name}.bursting.{one.value}.goodput", goodput, "fraction")
            calls = sum(result.offered[service, "all"] for service in _SERVICES)
            figures.report(f"{name}.attempts", result.attempts / calls, "attempts/call")
