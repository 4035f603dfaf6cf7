"""Play a pool of workers around one scheduler, second by second, without entries or sockets.

The workers carry orders out as real ones do: a start takes a while to arrive, a stop takes a while
to end the run, what is listed is what runs. Each order meets a fate: it is told or not.
"""

import dataclasses
import functools
import itertools

from nutmegshelf import (
    calls,
    fitting,
    fleetview,
    ids,
    jobs,
    orders,
    pooling,
    registry,
    scheduler,
    upkeep,
)

from features import jobsite

STEP_S = 0.1
LOOK_S = 0.4
LIST_S = 0.2
CALL_S = 0.05
STOP_S = 0.1
LEASE_S = 2.5
AT_WORK_S = 0.5
PLAN_S = 0.15
MOVE_S = 1.5
UPKEEP_S = 2.0
ASK_S = 0.15
CLEARING_LIMIT_S = 12.0
POOL, SPARE = "a", "spare"
GB = 1024

# What becomes of an order: carried out or not, and what the holder hears of it.
TOLD, MUTE, LOST, LATE, UNTOLD, DROPPED = "told", "mute", "lost", "late", "untold", "dropped"
LATE_S = 1.0


@dataclasses.dataclass
class Run:
    """Hold one run at a played worker."""

    key: jobs.TaskKey
    number: int
    began_s: float
    ends_s: float
    how: fleetview.How = fleetview.How.DONE


@dataclasses.dataclass
class Played:
    """Be one life of a worker at a host."""

    facts: fleetview.WorkerFacts
    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    barred: dict[str, int] = dataclasses.field(default_factory=dict)
    ends: list[fleetview.End] = dataclasses.field(default_factory=list)
    is_dark: bool = False
    unlisted_until_s: float = 0.0
    until_s: float = 0.0
    looked_s: float = -1.0
    fence: int = 0
    numbers: itertools.count = dataclasses.field(default_factory=lambda: itertools.count(1))

    def end(self, name, how):
        """End a run and keep its end to be listed."""
        run = self.runs.pop(name)
        self.barred[name] = max(self.barred.get(name, 0), run.number)
        self.ends.append(fleetview.End(next(self.numbers), name, run.number, how, ""))


class Pool:
    """Own the played hosts of one service, its scheduler and the time."""

    def __init__(self, hosts, cores=32, memory_gb=128, spare=0, epoch=1):
        self.now_s = 10.0
        self.epoch = epoch
        self.shape = {"cpu_millis": int(cores * 1000), "memory_mb": memory_gb * GB}
        self.scheduler = scheduler.Scheduler(
            epoch, lease_expiry_s=5.0, now_s=10.0, is_takeover=epoch > 1
        )
        self.births = itertools.count(1)
        self.hosts = [f"h{number}" for number in range(hosts)]
        self.workers = {}
        for host in self.hosts:
            self.begin_life(host)
        self.spares = [f"s{number}" for number in range(spare)]
        self.views = {}
        self.coming = {}
        self.calls = []
        self.numbers = itertools.count(1)
        self.jobs = {}
        # The fate of the next orders, by kind, and hosts that are asked for until a time.
        self.fates = {orders.StartRun: [], orders.StopRun: []}
        self.asked = {}
        self.log = []
        self.planner = None
        self.wave = None
        self.moves = []
        self.upkeeps = []
        # Lives that a later holder has to ask, as the last settled one stored them.
        self.used = []
        # Since when each task to last waits beside room for it, and the longest such wait.
        self.waits = {}
        self.longest = 0.0, None

    def note(self, text):
        """Keep a line of what happened, for failures."""
        self.log.append(f"{self.now_s - 10:6.2f} {text}")

    # --- the world

    def begin_life_again(self, host):
        """Have a host run a new life of its worker, unless it has left the pool or runs one."""
        if host in self.hosts:
            self.begin_life(host)

    def begin_life(self, host):
        """Have a host run a new life of its worker."""
        facts = jobsite.worker_facts(host[1:], **self.shape)
        life = fleetview.Life(f"w-{host}", next(self.births))
        self.workers[host] = Played(dataclasses.replace(facts, life=life, host=host))
        return self.workers[host]

    def submit(self, *steps, **fields):
        """Have the service take a job in."""
        made = jobsite.job(next(self.numbers), steps, **fields)
        self.jobs[made.job] = made
        record = self.scheduler.registry.add(made, None, self.now_s, 0, may_run=False)
        self.scheduler.record_arrival(made)
        return record

    def running(self, task):
        """Give the hosts where a task really runs."""
        name = task.key.name
        return [host for host, one in self.workers.items() if name in one.runs]

    def room(self, worker):
        """Give what is really free at a worker."""
        free = fleetview.Room(worker.facts.cpu_millis, worker.facts.memory_mb, 0)
        for run in worker.runs.values():
            free.count(self.step_of(run.key), -1)
        return free

    def step_of(self, key):
        return self.jobs[key.job].steps[key.step]

    def lost(self):
        """Give the tasks to last that don't run, though a sound worker has room for them."""
        found = []
        for record in self.scheduler.registry.live.values():
            for task in record.iterate_tasks():
                if task.step.lasting and not self.running(task) and self._has_home(task):
                    found.append(task)
        return found

    def idle(self):
        """Give the tasks to last that don't run."""
        return [
            task
            for record in self.scheduler.registry.live.values()
            for task in record.iterate_tasks()
            if task.step.lasting and not self.running(task)
        ]

    def _has_home(self, task):
        for worker in self.workers.values():
            like = [one for one in worker.runs.values() if one.key[:3] == task.key[:3]]
            most = task.step.max_per_worker
            if worker.is_dark or worker.facts.is_draining or (most and len(like) >= most):
                continue
            if self.room(worker).fits(task.step):
                return True
        return False

    # --- time

    def play(self, seconds):
        """Let time pass."""
        until_s = self.now_s + seconds - 1e-6
        while self.now_s < until_s:
            self._tick()

    def _tick(self):
        self.now_s = round(self.now_s + STEP_S, 3)
        for due in [one for one in self.calls if one[0] <= self.now_s]:
            self.calls.remove(due)
            due[1]()
        for worker in self.workers.values():
            self._run_worker(worker)
        if self._is_time(LIST_S):
            listed = [one.facts for one in self.workers.values() if self._is_listed(one)]
            self.scheduler.update_workers(listed, self.now_s)
        for worker in list(self.workers.values()):
            self._look(worker)
        for host, until_s in list(self.asked.items()):
            if self.now_s > until_s:
                del self.asked[host]
            elif self._is_time(ASK_S):
                self.scheduler.evacuate_host(host, self.now_s)
        if self.planner is not None and self._is_time(PLAN_S):
            self._plan()
        self.scheduler.tick(self.now_s, 0)
        self.scheduler.evacuate_draining(self.now_s)
        for order in [
            *self.scheduler.choose_stops(self.now_s),
            *self.scheduler.choose_starts(self.now_s),
        ]:
            self._send(order)
        self.scheduler.registry.dirty.clear()
        self._judge()

    def _judge(self):
        self.waits = {task: self.waits.get(task, self.now_s) for task in self.lost()}
        for task, since_s in self.waits.items():
            self.longest = max(self.longest, (self.now_s - since_s, task), key=lambda one: one[0])

    def explain(self, task):
        """Tell of a task what the scheduler believes, and what each worker is passed over for."""
        part = self.scheduler.registry.records[task.key.job].occurrences[0][task.key.step]
        here, found = registry.count_runs_by_worker(part), {}
        for life, worker in self.scheduler.workers.items():
            why = self.scheduler._get_unavailability(worker, self.now_s)
            why = why or fitting.obstacle(task.step, worker, here[life])
            found[worker.facts.host] = why.value if why is not None else "takes it"
        return "\n".join([f"{task.key.name} {task.phase.value}: {found}", *self.log[-30:]])

    def _is_time(self, pace_s):
        return int(self.now_s / pace_s) != int((self.now_s - STEP_S) / pace_s)

    def _is_listed(self, worker):
        return self.now_s >= worker.unlisted_until_s

    def later(self, after_s, call):
        """Have something happen after a time."""
        self.calls.append((self.now_s + after_s, call))

    def _run_worker(self, worker):
        for name, run in list(worker.runs.items()):
            if self.now_s > worker.until_s:
                worker.end(name, fleetview.How.LAPSED)
            elif self.now_s >= run.ends_s:
                worker.end(name, run.how)

    def _look(self, played):
        known = self.scheduler.workers.get(played.facts.life)
        if known is None:
            return
        waits = any(end.number > known.last_end for end in played.ends)
        if not waits and self.now_s - played.looked_s < LOOK_S:
            return
        played.looked_s = self.now_s
        played.fence = max(played.fence, self.scheduler.registry.epoch)
        if played.is_dark:
            if known.unheard_since_s is None:
                known.unheard_since_s = self.now_s
            return
        if known.unheard_since_s is None:
            known.note_lease(self.now_s - CALL_S, LEASE_S)
            played.until_s = max(played.until_s, self.now_s + LEASE_S)
        running = tuple(
            fleetview.Listed(name, run.number, "", self._percent(run), 0.0)
            for name, run in played.runs.items()
        )
        life = played.facts.life
        ends = tuple(played.ends)
        self.scheduler.apply_report(
            fleetview.Report(life, 0, self.now_s - CALL_S, self.now_s, running, ends)
        )
        settled = self.scheduler.take_stored_end(life) or 0
        played.ends = [one for one in played.ends if one.number > settled]

    def _percent(self, run):
        return 100 if self.now_s - run.began_s >= AT_WORK_S else 0

    # --- orders

    def _send(self, order):
        if isinstance(order, orders.SetPace):
            return
        fates = self.fates[type(order)]
        fate = fates.pop(0) if fates else TOLD
        is_start = isinstance(order, orders.StartRun)
        name = order.key.name if is_start else order.task
        kind = "start" if is_start else "stop"
        self.note(f"{kind} {name[-5:]} run {order.run} at {order.life.worker}: {fate}")
        played = next((w for w in self.workers.values() if w.facts.life == order.life), None)
        if played is None or played.is_dark:
            fate = LOST
        carry = functools.partial(self._start if is_start else self._stop, self.epoch)
        if fate in (LOST, DROPPED):
            outcome = None
        elif fate == LATE:
            self.later(LATE_S, lambda: carry(played, order))
            outcome = None
        else:
            outcome = carry(played, order)
        if fate in (UNTOLD, DROPPED):
            return
        if is_start:
            known = self.scheduler.workers.get(order.life)
            until_s = known.note_lease(self.now_s, 1.5) if known is not None else 0.0
            tell = functools.partial(self._tell_start, self.scheduler)
            self.later(CALL_S, lambda: tell(order, fate, outcome, until_s))
        else:
            tell = functools.partial(self._tell_stop, self.scheduler)
            self.later(CALL_S, lambda: tell(order, fate))

    def _tell_start(self, holder, order, fate, outcome, until_s):
        if fate != TOLD:
            holder.record_unanswered(order, self.now_s, may_start_until_s=until_s, why=fate)
        elif outcome is None:
            holder.record_started(order, self.now_s)
        else:
            holder.record_refused(order, outcome.value, self.now_s)

    def _tell_stop(self, holder, order, fate):
        if fate == TOLD:
            holder.record_stop_acknowledged(order, self.now_s)
        else:
            holder.record_stop_unanswered(order)

    def take_over(self):
        """Have a later holder load the jobs and take over what runs."""
        before = self.scheduler
        self.epoch += 1
        self.scheduler = scheduler.Scheduler(
            self.epoch, lease_expiry_s=LEASE_S + 1, now_s=self.now_s, is_takeover=True
        )
        for record in before.registry.records.values():
            self.scheduler.registry.add(
                record.job, record.progress, record.accepted_s, 0, may_run=True, now_s=self.now_s
            )
        if before.is_reconciled:
            self.used = before.get_incarnations_in_use(self.now_s)
        self.scheduler.expect_incarnations(self.used)
        self.waits = {}
        self.note(f"epoch {self.epoch} takes over")

    def _start(self, epoch, played, order):
        gone = self.workers.get(played.facts.host) is not played
        if gone or played.is_dark or epoch < played.fence:
            return orders.Refusal.LATE
        name = order.key.name
        known = played.runs.get(name)
        if known is not None and known.number == order.run:
            return None
        if known is not None or order.run <= played.barred.get(name, 0):
            return orders.Refusal.OLD
        step = self.step_of(order.key)
        if not self.room(played).fits(step):
            return orders.Refusal.ROOM
        played.until_s = max(played.until_s, self.now_s + 1.5)
        ends_s = self.now_s + (1e9 if step.lasting else step.estimate_ms / 1000)
        played.runs[name] = Run(order.key, order.run, self.now_s, ends_s)
        return None

    def _stop(self, epoch, played, order):
        if epoch < played.fence:
            return
        played.barred[order.task] = max(played.barred.get(order.task, 0), order.run)
        run = played.runs.get(order.task)
        if run is not None and run.number <= order.run:
            run.ends_s, run.how = self.now_s + STOP_S, fleetview.How.STOPPED

    # --- the planner of the pools and waves

    def plan_hosts(self, wave=None):
        """Have the planner move hosts, and a wave take its hosts down."""
        self.planner = pooling.Planner()
        self.working = {}
        if wave is not None:
            row = upkeep.WaveRow(number=wave.number, began_ms=int(self.now_s * 1000))
            self.wave = upkeep.WavePlan(wave, row)

    def _views(self):
        cpu = self.shape["cpu_millis"]
        found = []
        for host in self.hosts:
            found.append((host, POOL, pooling.HostState.UP))
        for host, (pool, state) in self.coming.items():
            found.append((host, pool, state))
        for host in self.spares:
            found.append((host, SPARE, pooling.HostState.UP))
        return [pooling.HostView(host, pool, state, "z", "r", cpu) for host, pool, state in found]

    def _plan(self):
        if self.wave is not None:
            self._advance_wave()
        demands = {ids.ServiceName(POOL): self.scheduler.get_demand(self.now_s)}
        held = set(self.working) | (self.wave.down.keys() if self.wave else set())
        for move in self.planner.plan(self._views(), demands, held, SPARE, self.now_s):
            self._move(move)

    def _move(self, move):
        if move.pool == POOL:
            if not self.scheduler.evacuate_host(move.host, self.now_s, only_idle=True):
                return
            self._take_away(move.host)
        else:
            self.spares.remove(move.host)
        self.note(f"move {move.host} to {move.target}: {move.reason}")
        self.moves.append(move)
        self.coming[move.host] = move.target, pooling.HostState.MOVING
        self.later(MOVE_S, lambda: self._arrive(move.host, move.target))

    def _take_away(self, host):
        self.hosts.remove(host)
        self.workers.pop(host, None)

    def _arrive(self, host, pool):
        del self.coming[host]
        if pool == SPARE:
            self.spares.append(host)
        else:
            self.hosts.append(host)
            self.begin_life(host)

    def _advance_wave(self):
        plan, now_ms = self.wave, int(self.now_s * 1000)
        for host in list(plan.down):
            if host not in self.coming:
                del plan.down[host]
        for host, (pool, since_s) in list(self.working.items()):
            self._clear_for_wave(host, pool, since_s)
        report: calls.DemandReport = self.scheduler.get_demand(self.now_s)
        present = {view.host for view in self._views()}
        candidates = []
        for host in plan.left(present):
            if host in self.working or host in self.coming:
                continue
            load = report.hosts.get(host)
            candidates.append(
                upkeep.Candidate(
                    host=host,
                    is_off=host in self.spares,
                    idle_s=load.idle_s if load else None,
                    lasting=load.lasting if load else 0,
                    cpu_millis=load.cpu_millis if load else 0,
                )
            )
        for host in plan.choose(candidates, self._away(), now_ms, UPKEEP_S):
            self.note(f"upkeep asks for {host}")
            plan.asked_s[host] = self.now_s
            self.working[host] = (SPARE if host in self.spares else POOL, self.now_s)

    def _away(self):
        return {
            host for host, (_, state) in self.coming.items() if state is pooling.HostState.UPKEEP
        }

    def _clear_for_wave(self, host, pool, since_s):
        plan = self.wave
        if pool == POOL and not self.scheduler.evacuate_host(host, self.now_s):
            if self.now_s - since_s > CLEARING_LIMIT_S:
                self.note(f"{host} was not cleared in time")
                del self.working[host], plan.asked_s[host]
            return
        if not plan.begin(host, self._away(), self.now_s):
            return
        self.note(f"upkeep of {host}")
        if pool == POOL:
            self._take_away(host)
        else:
            self.spares.remove(host)
        del self.working[host], plan.asked_s[host]
        plan.row.done.add(host)
        self.upkeeps.append(host)
        self.coming[host] = pool, pooling.HostState.UPKEEP
        self.later(UPKEEP_S, lambda: self._arrive(host, pool))
