"""Play one service's scheduler and the planner of the pools over fake hosts, in steps of time.

Every order is carried out and answered at once, so that only the decisions are on trial.
"""

import dataclasses
import itertools

from nutmegshelf import fleetview, jobs, orders, rebalancing, scheduler

from features import jobsite

STEP_S = 0.1
MOVE_S = 1.5
UPKEEP_S = 2.0
POOL, SPARE = "a", "spare"


@dataclasses.dataclass
class Host:
    """Hold one host; a worker that has ended is none."""

    name: str
    pool: str
    rack: str
    back_s: float = 0.0
    state: rebalancing.HostState = rebalancing.HostState.UP
    incarnation: fleetview.Incarnation | None = None
    # Set while its worker says that it leaves.
    left_ms: int | None = None
    runs: dict = dataclasses.field(default_factory=dict)
    began_s: dict = dataclasses.field(default_factory=dict)
    ends: list = dataclasses.field(default_factory=list)


class Play:
    """Own the hosts, and what the wave has left to do."""

    def __init__(self, cpu_millis, memory_mb, hosts, spare):
        self.now_s = 10.0
        self.room = {"cpu_millis": cpu_millis, "memory_mb": memory_mb}
        self.numbers = itertools.count(1)
        self.hosts = [Host(f"h{one}", POOL, f"r{one % 3}") for one in range(hosts)]
        self.hosts += [Host(f"s{one}", SPARE, f"r{one % 3}") for one in range(spare)]
        self.scheduler = scheduler.Scheduler(1, lease_expiry_s=5.0, now_s=0.0, is_takeover=False)
        self.planner = rebalancing.Planner()
        # What short tasks come all the time, and how long each of them runs.
        self.short = None
        self.took_s = 0.0
        self.wave = []
        self.upkept = []
        # How long each task that lasts has not run, and the most that were away at once.
        self.away_s = {}
        self.longest_away_s = 0.0
        self.most_away = 0
        for host in self.hosts[:hosts]:
            self._begin_life(host)
        self.step()

    def _begin_life(self, host):
        number = next(self.numbers)
        host.incarnation, host.runs, host.ends = fleetview.Incarnation(f"w{number}", number), {}, []
        host.state = rebalancing.HostState.UP

    def _facts(self, host):
        named = jobsite.worker_facts(0, **self.room)
        return dataclasses.replace(
            named,
            incarnation=host.incarnation,
            host=host.name,
            rack=host.rack,
            is_draining=host.left_ms is not None,
            left_ms=host.left_ms,
        )

    def add(self, number, step):
        made = jobsite.job(number, (step,))
        book = self.scheduler.registry
        return book.add(made, None, self.now_s, int(self.now_s * 1000), may_run=False)

    def flood(self, step, took_s):
        """Have short tasks wait all the time from now on, each of which runs for some time."""
        self.short, self.took_s = step, took_s

    def _add_short(self):
        live = self.scheduler.registry.live.values()
        if self.short is not None and sum(len(one.ready) for one in live) < 4 * self.short.count:
            self.add(100 + next(self.numbers), self.short)

    def _end_short(self, host):
        for name, run in list(host.runs.items()):
            # Some take longer than others, so that room comes free bit by bit.
            took_s = self.took_s * (1 + run % 5 * 0.2 + int(name[-1], 16) % 7 * 0.1)
            if not self._is_lasting(name) and self.now_s >= host.began_s[name] + took_s:
                self._end(host, name, run, fleetview.RunOutcome.DONE)

    def _is_lasting(self, name):
        key = jobs.parse_task_name(name)
        return self.scheduler.registry.records[key.job].job.is_long_running

    def _end(self, host, name, run, how):
        del host.runs[name]
        host.ends.append(fleetview.RunEnd(len(host.ends) + 1, name, run, how, ""))

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self):
        """Let some time pass: workers report, orders are carried out, hosts come and go."""
        self.now_s += STEP_S
        for host in self.hosts:
            if host.state is not rebalancing.HostState.UP and self.now_s >= host.back_s:
                host.state = rebalancing.HostState.UP
                if host.pool == POOL:
                    self._begin_life(host)
        listed = [self._facts(one) for one in self.hosts if one.incarnation is not None]
        self.scheduler.update_workers(listed, self.now_s)
        for host in self.hosts:
            if host.incarnation is not None:
                self._end_short(host)
                self._report(host)
        self._add_short()
        self.scheduler.tick(self.now_s, int(self.now_s * 1000))
        self._ask_for_hosts()
        for order in [
            *self.scheduler.choose_stops(self.now_s),
            *self.scheduler.choose_starts(self.now_s),
        ]:
            self._carry_out(order)
        self._plan()
        self._judge()

    def _report(self, host):
        running = tuple(
            fleetview.ReportedRun(name, run, "", 100, 0.0) for name, run in host.runs.items()
        )
        report = fleetview.WorkerReport(
            host.incarnation, 0, self.now_s - 0.01, self.now_s, running, tuple(host.ends)
        )
        self.scheduler.apply_report(report)

    def _carry_out(self, order):
        host = next(one for one in self.hosts if one.incarnation == order.incarnation)
        match order:
            case orders.StartRun():
                host.runs[order.key.name] = order.run
                host.began_s[order.key.name] = self.now_s
                self.scheduler.record_started(order, self.now_s)
            case orders.StopRun():
                self.scheduler.record_stop_acknowledged(order, self.now_s)
                if order.task in host.runs:
                    self._end(host, order.task, order.run, fleetview.RunOutcome.STOPPED)

    def _ask_for_hosts(self):
        """Ask for the next host of the wave, and take it down once it is clear."""
        host = next((one for one in self.hosts if one.name in self.wave[:1]), None)
        if host is None or host.state is not rebalancing.HostState.UP:
            return
        if host.pool == SPARE or self.scheduler.evacuate_host(host.name, self.now_s):
            self.wave.remove(host.name)
            self.upkept.append(host.name)
            self._take_down(host, rebalancing.HostState.UPKEEP, UPKEEP_S)

    def _take_down(self, host, state, seconds):
        host.state, host.back_s, host.incarnation = state, self.now_s + seconds, None

    def _plan(self):
        views = [
            rebalancing.HostView(
                host.name, host.pool, host.state, "z", host.rack, self.room["cpu_millis"]
            )
            for host in self.hosts
        ]
        demands = {POOL: self.scheduler.get_demand(self.now_s)}
        held = set(self.wave[:1])
        for move in self.planner.plan(views, demands, held, SPARE, self.now_s):
            host = next(one for one in self.hosts if one.name == move.host)
            if host.pool == POOL and not self.scheduler.evacuate_host(
                host.name, self.now_s, only_idle=True
            ):
                continue
            host.pool = move.target
            self._take_down(host, rebalancing.HostState.MOVING, MOVE_S)

    def _judge(self):
        running = {
            name for host in self.hosts for name in host.runs if host.incarnation is not None
        }
        away = 0
        for record in self.scheduler.registry.live.values():
            for task in record.iterate_tasks():
                name = task.key.name
                if not task.step.long_running:
                    continue
                is_away = name not in running
                away += is_away
                self.away_s[name] = self.away_s.get(name, 0.0) + STEP_S if is_away else 0.0
                self.longest_away_s = max(self.longest_away_s, self.away_s[name])
        self.most_away = max(self.most_away, away)
