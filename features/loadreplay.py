"""Replay loads over the schedulers of several pools and the planner of their hosts.

Every order is carried out and answered at once, so that only the decisions are tested.
"""

import collections
import dataclasses
import itertools
import random

from nutmegshelf import fleetview, jobs, orders, rebalancing, registry, scheduler

from features import jobsite

LEASE_S = 5.0
STEP_S = 0.05
PLAN_INTERVAL_S = 0.15
MOVE_S = 1.5
SPARE = "spare"
CORES = 64
TARGET_S = 0.6
STRETCH = 1.6


@dataclasses.dataclass(frozen=True)
class Load:
    """Jobs of one pool that arrive from a time to another, as a multiple of `hosts` hosts' work."""

    pool: str
    hosts: float
    begins_s: float
    ends_s: float
    steps: int = 2
    width: int = 8
    task_cores: int = 8
    task_s: float = 0.7
    # The estimate is the real run time times this, and varies by the spread besides.
    estimate_factor: float = 1.0
    estimate_spread: float = 0.3


@dataclasses.dataclass
class _Host:
    name: str
    pool: str
    incarnation: fleetview.Incarnation | None = None
    returns_s: float = 0.0
    state: rebalancing.HostState = rebalancing.HostState.UP
    # Each run with its number and its end.
    runs: dict[str, tuple[int, float]] = dataclasses.field(default_factory=dict)
    ends: list[fleetview.RunEnd] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class _Submission:
    pool: str
    arrives_s: float
    steps: tuple[jobs.Step, ...]
    task_s: tuple[float, ...]
    record: registry.JobRecord | None = None
    ended_s: float | None = None

    @property
    def objective_s(self):
        return STRETCH * sum(self.task_s) + TARGET_S

    @property
    def is_in_time(self):
        return self.ended_s is not None and self.ended_s - self.arrives_s <= self.objective_s


class LoadReplay:
    """Hosts that the planner moves among pools, and the jobs that the pools were given."""

    def __init__(self, hosts_by_pool, loads, seed):
        self.random = random.Random(seed)
        self.now_s = 10.0
        self.numbers = itertools.count(1)
        self.planner = rebalancing.Planner()
        self.schedulers = {
            pool: scheduler.Scheduler(1, lease_expiry_s=LEASE_S, now_s=0.0, is_takeover=False)
            for pool in hosts_by_pool
            if pool != SPARE
        }
        self.hosts = [
            _Host(f"{pool}{number}", pool)
            for pool, count in hosts_by_pool.items()
            for number in range(count)
        ]
        for host in self.hosts:
            if host.pool != SPARE:
                self._restart_worker(host)
        submissions = [each for load in loads for each in self._make_submissions(load)]
        self.submissions = sorted(submissions, key=lambda each: each.arrives_s)
        self._arriving = collections.deque(self.submissions)
        self._by_job = {}
        self._plan_s = 0.0

    def _make_submissions(self, load):
        core_s = load.steps * load.width * load.task_cores * load.task_s
        interval_s = core_s / (load.hosts * CORES)
        arrives_s = load.begins_s + interval_s * self.random.random()
        while arrives_s < load.ends_s:
            task_s = tuple(
                load.task_s * self.random.lognormvariate(-0.08, 0.4) for _ in range(load.steps)
            )
            steps = tuple(
                jobs.Step(
                    count=load.width,
                    cpu_millis=load.task_cores * 1000,
                    memory_mb=1000,
                    estimate_ms=round(
                        took_s
                        * load.estimate_factor
                        * self.random.lognormvariate(0.0, load.estimate_spread)
                        * 1000
                    ),
                    after=(index - 1,) if index else (),
                )
                for index, took_s in enumerate(task_s)
            )
            yield _Submission(load.pool, self.now_s + arrives_s, steps, task_s)
            arrives_s += interval_s * self.random.expovariate(1.0)

    def _restart_worker(self, host):
        number = next(self.numbers)
        host.incarnation, host.runs, host.ends = fleetview.Incarnation(f"w{number}", number), {}, []
        host.state = rebalancing.HostState.UP

    def run(self, seconds):
        """Replay the loads for some seconds."""
        for _ in range(round(seconds / STEP_S)):
            self._step()

    def _step(self):
        self.now_s += STEP_S
        for host in self.hosts:
            if host.state is not rebalancing.HostState.UP and self.now_s >= host.returns_s:
                host.state = rebalancing.HostState.UP
                if host.pool != SPARE:
                    self._restart_worker(host)
        self._submit()
        for pool, pool_scheduler in self.schedulers.items():
            self._report(pool, pool_scheduler)
            pool_scheduler.tick(self.now_s, int(self.now_s * 1000))
            for order in [
                *pool_scheduler.choose_stops(self.now_s),
                *pool_scheduler.choose_starts(self.now_s),
            ]:
                self._carry_out(pool_scheduler, order)
        if self.now_s >= self._plan_s + PLAN_INTERVAL_S:
            self._plan_s = self.now_s
            self._plan()

    def _submit(self):
        while self._arriving and self._arriving[0].arrives_s <= self.now_s:
            submission = self._arriving.popleft()
            queue = jobsite.queue(
                name=submission.pool, target_latency_ms=int(TARGET_S * 1000), stretch=STRETCH
            )
            job = jobsite.job(next(self.numbers), submission.steps, queue=queue)
            pool_scheduler = self.schedulers[submission.pool]
            submission.record = pool_scheduler.registry.add(
                job, None, self.now_s, int(self.now_s * 1000), may_run=False
            )
            pool_scheduler.record_arrival(job)
            self._by_job[job.job] = submission

    def _report(self, pool, pool_scheduler):
        hosts = [host for host in self.hosts if host.pool == pool and host.incarnation is not None]
        pool_scheduler.update_workers([self._make_facts(host) for host in hosts], self.now_s)
        for host in hosts:
            for name, (run, ends_s) in list(host.runs.items()):
                if self.now_s >= ends_s:
                    self._end(host, name, run, fleetview.RunOutcome.DONE)
            running = tuple(
                fleetview.ReportedRun(name, run, "", 100, 0.0)
                for name, (run, _) in host.runs.items()
            )
            pool_scheduler.workers[host.incarnation].extend_lease(
                self.now_s, LEASE_S, fleetview.LeaseCall.POLL
            )
            pool_scheduler.apply_report(
                fleetview.WorkerReport(
                    host.incarnation, 0, self.now_s - 0.01, self.now_s, running, tuple(host.ends)
                )
            )
            host.ends.clear()
        for submission in self._by_job.values():
            if submission.ended_s is None and not submission.record.is_live:
                submission.ended_s = self.now_s

    def _make_facts(self, host):
        facts = jobsite.worker_facts(0, cpu_millis=CORES * 1000, memory_mb=128_000)
        return dataclasses.replace(facts, incarnation=host.incarnation, host=host.name)

    def _end(self, host, name, run, outcome):
        del host.runs[name]
        number = next(self.numbers)
        host.ends.append(fleetview.RunEnd(number, name, run, outcome, ""))

    def _carry_out(self, pool_scheduler, order):
        host = next(host for host in self.hosts if host.incarnation == order.incarnation)
        match order:
            case orders.StartRun():
                took_s = self._by_job[order.key.job].task_s[order.key.step]
                host.runs[order.key.name] = order.run, self.now_s + took_s
                pool_scheduler.record_started(order, self.now_s)
            case orders.StopRun():
                pool_scheduler.record_stop_acknowledged(order, self.now_s)
                if order.task in host.runs:
                    self._end(host, order.task, order.run, fleetview.RunOutcome.STOPPED)

    def _plan(self):
        views = [
            rebalancing.HostView(host.name, host.pool, host.state, "z", "r", CORES * 1000)
            for host in self.hosts
        ]
        demands = {
            pool: pool_scheduler.get_demand(self.now_s)
            for pool, pool_scheduler in self.schedulers.items()
        }
        by_name = {host.name: host for host in self.hosts}
        for move in self.planner.plan(views, demands, set(), SPARE, self.now_s):
            host = by_name[move.host]
            if host.pool != SPARE and not self.schedulers[host.pool].evacuate_host(
                host.name, self.now_s, only_idle=True
            ):
                continue
            host.pool, host.incarnation = move.target, None
            host.state, host.returns_s = rebalancing.HostState.MOVING, self.now_s + MOVE_S

    def get_shares(self):
        """Return the share of each pool's jobs that ended in time."""
        by_pool = collections.defaultdict(list)
        for submission in self.submissions:
            by_pool[submission.pool].append(submission.is_in_time)
        return {pool: sum(in_time) / len(in_time) for pool, in_time in by_pool.items()}

    def count_unfinished(self):
        """Return how many accepted jobs have not ended."""
        return sum(submission.ended_s is None for submission in self.submissions)
