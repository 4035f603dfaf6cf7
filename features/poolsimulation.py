"""Simulate one service's scheduler and the rebalancing planner over fake hosts, in time steps.

Every order is carried out and answered at once, so that only the decisions are tested.
"""

import dataclasses
import itertools

from nutmegshelf import fleetview, jobs, orders, rebalancing, scheduler

from features import jobsite

STEP_S = 0.1
LEASE_S = 5.0
MOVE_S = 1.5
UPKEEP_S = 2.0
POOL, SPARE = "a", "spare"


@dataclasses.dataclass
class Host:
    """A host, with the incarnation of its worker if that runs."""

    name: str
    pool: str
    rack: str
    returns_s: float = 0.0
    state: rebalancing.HostState = rebalancing.HostState.UP
    incarnation: fleetview.Incarnation | None = None
    # Set while its worker drains.
    left_ms: int | None = None
    runs: dict = dataclasses.field(default_factory=dict)
    run_began_s: dict = dataclasses.field(default_factory=dict)
    ends: list = dataclasses.field(default_factory=list)


class PoolSimulation:
    """The hosts of a pool and the spare pool, with the remaining hosts of a wave."""

    def __init__(self, cpu_millis, memory_mb, hosts, spare):
        self.now_s = 10.0
        self.worker_size = {"cpu_millis": cpu_millis, "memory_mb": memory_mb}
        self.numbers = itertools.count(1)
        self.hosts = [Host(f"h{index}", POOL, f"r{index % 3}") for index in range(hosts)]
        self.hosts += [Host(f"s{index}", SPARE, f"r{index % 3}") for index in range(spare)]
        self.scheduler = scheduler.Scheduler(
            1, lease_expiry_s=LEASE_S, now_s=0.0, is_takeover=False
        )
        self.planner = rebalancing.Planner()
        # The step of the short tasks that keep arriving, and how long each of them runs.
        self.short_step = None
        self.short_run_s = 0.0
        self.wave = []
        self.upkeep_done = []
        # How long each long-running task has not run, and the most of them at once.
        self.unavailable_s = {}
        self.longest_unavailable_s = 0.0
        self.most_unavailable = 0
        for host in self.hosts[:hosts]:
            self._restart_worker(host)
        self.step()

    def _restart_worker(self, host):
        number = next(self.numbers)
        host.incarnation, host.runs, host.ends = fleetview.Incarnation(f"w{number}", number), {}, []
        host.state = rebalancing.HostState.UP

    def _facts(self, host):
        facts = jobsite.worker_facts(0, **self.worker_size)
        return dataclasses.replace(
            facts,
            incarnation=host.incarnation,
            host=host.name,
            rack=host.rack,
            is_draining=host.left_ms is not None,
            left_ms=host.left_ms,
        )

    def add(self, number, step):
        job = jobsite.job(number, (step,))
        job_registry = self.scheduler.registry
        return job_registry.add(job, None, self.now_s, int(self.now_s * 1000), may_run=False)

    def keep_adding(self, step, run_s):
        """Keep short tasks waiting from now on, each of which runs for some time."""
        self.short_step, self.short_run_s = step, run_s

    def _add_short(self):
        live = self.scheduler.registry.live.values()
        if (
            self.short_step is not None
            and sum(len(record.ready) for record in live) < 4 * self.short_step.count
        ):
            self.add(100 + next(self.numbers), self.short_step)

    def _end_short(self, host):
        for name, run in list(host.runs.items()):
            # Run times vary, so that capacity comes free gradually.
            run_s = self.short_run_s * (1 + run % 5 * 0.2 + int(name[-1], 16) % 7 * 0.1)
            if not self._is_long_running(name) and self.now_s >= host.run_began_s[name] + run_s:
                self._end(host, name, run, fleetview.RunOutcome.DONE)

    def _is_long_running(self, name):
        key = jobs.parse_task_name(name)
        return self.scheduler.registry.records[key.job].job.is_long_running

    def _end(self, host, name, run, outcome):
        del host.runs[name]
        host.ends.append(fleetview.RunEnd(len(host.ends) + 1, name, run, outcome, ""))

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self):
        """Advance the time: workers report, orders are carried out, hosts move and return."""
        self.now_s += STEP_S
        for host in self.hosts:
            if host.state is not rebalancing.HostState.UP and self.now_s >= host.returns_s:
                host.state = rebalancing.HostState.UP
                if host.pool == POOL:
                    self._restart_worker(host)
        listed = [self._facts(host) for host in self.hosts if host.incarnation is not None]
        self.scheduler.update_workers(listed, self.now_s)
        for host in self.hosts:
            if host.incarnation is not None:
                self._end_short(host)
                self._report(host)
        self._add_short()
        self.scheduler.tick(self.now_s, int(self.now_s * 1000))
        self._request_wave_host()
        for order in [
            *self.scheduler.choose_stops(self.now_s),
            *self.scheduler.choose_starts(self.now_s),
        ]:
            self._carry_out(order)
        self._plan()
        self._measure_availability()

    def _report(self, host):
        running = tuple(
            fleetview.ReportedRun(name, run, "", 100, 0.0) for name, run in host.runs.items()
        )
        report = fleetview.WorkerReport(
            host.incarnation, 0, self.now_s - 0.01, self.now_s, running, tuple(host.ends)
        )
        self.scheduler.workers[host.incarnation].extend_lease(
            report.sent_s, LEASE_S, fleetview.LeaseCall.POLL
        )
        self.scheduler.apply_report(report)

    def _carry_out(self, order):
        host = next(host for host in self.hosts if host.incarnation == order.incarnation)
        match order:
            case orders.StartRun():
                host.runs[order.key.name] = order.run
                host.run_began_s[order.key.name] = self.now_s
                self.scheduler.record_started(order, self.now_s)
            case orders.StopRun():
                self.scheduler.record_stop_acknowledged(order, self.now_s)
                if order.task in host.runs:
                    self._end(host, order.task, order.run, fleetview.RunOutcome.STOPPED)

    def _request_wave_host(self):
        """Request the next host of the wave, and take it down once it is evacuated."""
        host = next((host for host in self.hosts if host.name in self.wave[:1]), None)
        if host is None or host.state is not rebalancing.HostState.UP:
            return
        if host.pool == SPARE or self.scheduler.evacuate_host(host.name, self.now_s):
            self.wave.remove(host.name)
            self.upkeep_done.append(host.name)
            self._take_down(host, rebalancing.HostState.UPKEEP, UPKEEP_S)

    def _take_down(self, host, state, seconds):
        host.state, host.returns_s, host.incarnation = state, self.now_s + seconds, None

    def _plan(self):
        views = [
            rebalancing.HostView(
                host.name, host.pool, host.state, "z", host.rack, self.worker_size["cpu_millis"]
            )
            for host in self.hosts
        ]
        demands = {POOL: self.scheduler.get_demand(self.now_s)}
        reserved = set(self.wave[:1])
        for move in self.planner.plan(views, demands, reserved, SPARE, self.now_s):
            host = next(host for host in self.hosts if host.name == move.host)
            if host.pool == POOL and not self.scheduler.evacuate_host(
                host.name, self.now_s, only_idle=True
            ):
                continue
            host.pool = move.target
            self._take_down(host, rebalancing.HostState.MOVING, MOVE_S)

    def _measure_availability(self):
        running = {
            name for host in self.hosts for name in host.runs if host.incarnation is not None
        }
        unavailable = 0
        for record in self.scheduler.registry.live.values():
            for task in record.iterate_tasks():
                name = task.key.name
                if not task.step.long_running:
                    continue
                is_unavailable = name not in running
                unavailable += is_unavailable
                self.unavailable_s[name] = (
                    self.unavailable_s.get(name, 0.0) + STEP_S if is_unavailable else 0.0
                )
                self.longest_unavailable_s = max(
                    self.longest_unavailable_s, self.unavailable_s[name]
                )
        self.most_unavailable = max(self.most_unavailable, unavailable)
