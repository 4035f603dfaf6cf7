"""Simulate a pool of workers around one scheduler in steps of 0.1 s, without entries or sockets.

The workers execute orders like real ones: orders and stops take time, and reports list what runs. A
fate is set for each order: whether it is executed, and whether its outcome is reported.
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
    rebalancing,
    registry,
    scheduler,
    upkeep,
)

from features import jobsite

STEP_S = 0.1
POLL_S = 0.4
LIST_INTERVAL_S = 0.2
CALL_DURATION_S = 0.05
STOP_DURATION_S = 0.1
LEASE_S = 2.5
READY_S = 0.5
PLAN_INTERVAL_S = 0.15
MOVE_DURATION_S = 1.5
MAINTENANCE_S = 2.0
EVACUATION_INTERVAL_S = 0.15
EVACUATION_LIMIT_S = 12.0
POOL, SPARE = "a", "spare"
GB = 1024

# Fates of orders. TOLD: executed and answered; MUTE: executed, reported as unanswered; LOST: not
# executed, reported as unanswered; LATE: executed after LATE_S, reported as unanswered; UNTOLD:
# executed, nothing reported; DROPPED: not executed, nothing reported.
TOLD, MUTE, LOST, LATE, UNTOLD, DROPPED = "told", "mute", "lost", "late", "untold", "dropped"
LATE_S = 1.0


@dataclasses.dataclass
class Run:
    """One run at a simulated worker."""

    key: jobs.TaskKey
    number: int
    began_s: float
    ends_s: float
    how: fleetview.RunOutcome = fleetview.RunOutcome.DONE


@dataclasses.dataclass
class SimulatedWorker:
    """One simulated incarnation of a worker at a host."""

    facts: fleetview.WorkerFacts
    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    barred_runs: dict[str, int] = dataclasses.field(default_factory=dict)
    ends: list[fleetview.RunEnd] = dataclasses.field(default_factory=list)
    is_unresponsive: bool = False
    unlisted_until_s: float = 0.0
    until_s: float = 0.0
    polled_s: float = -1.0
    fence: int = 0
    numbers: itertools.count = dataclasses.field(default_factory=lambda: itertools.count(1))

    def end(self, name, how):
        """End a run and keep its end for the next reports."""
        run = self.runs.pop(name)
        self.barred_runs[name] = max(self.barred_runs.get(name, 0), run.number)
        self.ends.append(fleetview.RunEnd(next(self.numbers), name, run.number, how, ""))


class Pool:
    """The simulated hosts of one service, its scheduler and its clock."""

    def __init__(self, hosts, cores=32, memory_gb=128, spare=0, epoch=1):
        self.now_s = 10.0
        self.epoch = epoch
        self.shape = {"cpu_millis": int(cores * 1000), "memory_mb": memory_gb * GB}
        self.scheduler = scheduler.Scheduler(
            epoch, lease_expiry_s=5.0, now_s=10.0, is_takeover=epoch > 1
        )
        self.incarnation_numbers = itertools.count(1)
        self.hosts = [f"h{number}" for number in range(hosts)]
        self.workers = {}
        for host in self.hosts:
            self.start_worker(host)
        self.spares = [f"s{number}" for number in range(spare)]
        self.views = {}
        self.arriving = {}
        self.calls = []
        self.numbers = itertools.count(1)
        self.jobs = {}
        # The fates of the next orders by type, and until when hosts are to be evacuated.
        self.fates = {orders.StartRun: [], orders.StopRun: []}
        self.evacuations = {}
        self.events = []
        self.planner = None
        self.wave = None
        self.moves = []
        self.maintained = []
        # Incarnations that a later holder has to poll, as the last holder stored them.
        self.used_incarnations = []
        # Since when long-running tasks wait while a worker has room, and the longest such wait.
        self.waiting_since_s = {}
        self.longest_wait = 0.0, None

    def log_event(self, text):
        """Log an event for the messages of failed checks."""
        self.events.append(f"{self.now_s - 10:6.2f} {text}")

    # --- workers and jobs

    def restart_worker(self, host):
        """Start a new incarnation of a host's worker if the host is still in the pool."""
        if host in self.hosts:
            self.start_worker(host)

    def start_worker(self, host):
        """Start a new incarnation of a host's worker."""
        facts = jobsite.worker_facts(host[1:], **self.shape)
        incarnation = fleetview.Incarnation(f"w-{host}", next(self.incarnation_numbers))
        self.workers[host] = SimulatedWorker(
            dataclasses.replace(facts, incarnation=incarnation, host=host)
        )
        return self.workers[host]

    def submit(self, *steps, **fields):
        """Submit a job to the scheduler and return its record."""
        job = jobsite.job(next(self.numbers), steps, **fields)
        self.jobs[job.job] = job
        record = self.scheduler.registry.add(job, None, self.now_s, 0, may_run=False)
        self.scheduler.record_arrival(job)
        return record

    def get_running_hosts(self, task):
        """Return the hosts where a task actually runs."""
        name = task.key.name
        return [host for host, worker in self.workers.items() if name in worker.runs]

    def get_free(self, worker):
        """Return the resources that are actually free at a worker."""
        free = fleetview.Resources(worker.facts.cpu_millis, worker.facts.memory_mb, 0)
        for run in worker.runs.values():
            free.add(self.get_step(run.key), -1)
        return free

    def get_step(self, key):
        return self.jobs[key.job].steps[key.step]

    def get_blocked(self):
        """Return the long-running tasks that don't run although a healthy worker has room."""
        blocked = []
        for record in self.scheduler.registry.live.values():
            for task in record.iterate_tasks():
                if (
                    task.step.long_running
                    and not self.get_running_hosts(task)
                    and self._has_room(task)
                ):
                    blocked.append(task)
        return blocked

    def get_idle(self):
        """Return the long-running tasks that don't run."""
        return [
            task
            for record in self.scheduler.registry.live.values()
            for task in record.iterate_tasks()
            if task.step.long_running and not self.get_running_hosts(task)
        ]

    def _has_room(self, task):
        for worker in self.workers.values():
            same_step = [run for run in worker.runs.values() if run.key[:3] == task.key[:3]]
            max_per_worker = task.step.max_per_worker
            if (
                worker.is_unresponsive
                or worker.facts.is_draining
                or (max_per_worker and len(same_step) >= max_per_worker)
            ):
                continue
            if self.get_free(worker).fits(task.step):
                return True
        return False

    # --- time

    def advance(self, seconds):
        """Advance the simulation."""
        until_s = self.now_s + seconds - 1e-6
        while self.now_s < until_s:
            self._tick()

    def _tick(self):
        self.now_s = round(self.now_s + STEP_S, 3)
        for call in [each for each in self.calls if each[0] <= self.now_s]:
            self.calls.remove(call)
            call[1]()
        for worker in self.workers.values():
            self._end_due_runs(worker)
        if self._is_due(LIST_INTERVAL_S):
            listed = [each.facts for each in self.workers.values() if self._is_listed(each)]
            self.scheduler.update_workers(listed, self.now_s)
        for worker in list(self.workers.values()):
            self._poll(worker)
        self._poll_ended()
        for host, until_s in list(self.evacuations.items()):
            if self.now_s > until_s:
                del self.evacuations[host]
            elif self._is_due(EVACUATION_INTERVAL_S):
                self.scheduler.evacuate_host(host, self.now_s)
        if self.planner is not None and self._is_due(PLAN_INTERVAL_S):
            self._plan()
        self.scheduler.tick(self.now_s, 0)
        self.scheduler.evacuate_draining(self.now_s)
        for order in [
            *self.scheduler.choose_stops(self.now_s),
            *self.scheduler.choose_starts(self.now_s),
        ]:
            self._send(order)
        self.scheduler.registry.dirty.clear()
        self._check_recovering()
        self._record_waits()

    def _check_recovering(self):
        """Check that no task recovers once every incarnation is accounted for."""
        recovering = self.scheduler.registry.recovering
        assert not (self.scheduler.is_reconciled and recovering), recovering
        for record in self.scheduler.registry.live.values():
            for task in record.iterate_tasks():
                is_recovering = task.phase is fleetview.Phase.RECOVERING
                assert is_recovering == (task in recovering), self.describe(task)

    def _record_waits(self):
        self.waiting_since_s = {
            task: self.waiting_since_s.get(task, self.now_s) for task in self.get_blocked()
        }
        for task, since_s in self.waiting_since_s.items():
            self.longest_wait = max(
                self.longest_wait, (self.now_s - since_s, task), key=lambda wait: wait[0]
            )

    def describe(self, task):
        """Describe a task's phase, why each worker is skipped, and the last events."""
        task_set = self.scheduler.registry.records[task.key.job].occurrences[0][task.key.step]
        run_counts, constraints = registry.count_runs_by_worker(task_set), {}
        for incarnation, worker in self.scheduler.workers.items():
            constraint = self.scheduler._get_unavailability(worker, self.now_s)
            constraint = constraint or fitting.find_unmet_constraint(
                task.step,
                worker.free,
                worker.facts.labels,
                run_counts[incarnation],
                fitting.get_max_per_worker(task.step),
            )
            constraints[worker.facts.host] = (
                constraint.value if constraint is not None else "has room"
            )
        return "\n".join([f"{task.key.name} {task.phase.value}: {constraints}", *self.events[-30:]])

    def _is_due(self, interval_s):
        return int(self.now_s / interval_s) != int((self.now_s - STEP_S) / interval_s)

    def _is_listed(self, worker):
        return self.now_s >= worker.unlisted_until_s

    def call_later(self, after_s, call):
        """Schedule a call after a delay."""
        self.calls.append((self.now_s + after_s, call))

    def _end_due_runs(self, worker):
        for name, run in list(worker.runs.items()):
            if self.now_s > worker.until_s:
                worker.end(name, fleetview.RunOutcome.LEASE_EXPIRED)
            elif self.now_s >= run.ends_s:
                worker.end(name, run.how)

    def _poll(self, simulated):
        worker = self.scheduler.workers.get(simulated.facts.incarnation)
        if worker is None:
            return
        has_new_ends = any(end.number > worker.last_end for end in simulated.ends)
        if not has_new_ends and self.now_s - simulated.polled_s < POLL_S:
            return
        simulated.polled_s = self.now_s
        simulated.fence = max(simulated.fence, self.scheduler.registry.epoch)
        if simulated.is_unresponsive:
            if worker.unresponsive_since_s is None:
                worker.unresponsive_since_s = self.now_s
            return
        if worker.unresponsive_since_s is None:
            worker.extend_lease(self.now_s - CALL_DURATION_S, LEASE_S, fleetview.LeaseCall.POLL)
            simulated.until_s = max(simulated.until_s, self.now_s + LEASE_S)
        running = tuple(
            fleetview.ReportedRun(name, run.number, "", self._percent(run), 0.0)
            for name, run in simulated.runs.items()
        )
        incarnation = simulated.facts.incarnation
        ends = tuple(simulated.ends)
        self.scheduler.apply_report(
            fleetview.WorkerReport(
                incarnation, 0, self.now_s - CALL_DURATION_S, self.now_s, running, ends
            )
        )
        stored_end = self.scheduler.take_stored_end(incarnation) or 0
        simulated.ends = [each for each in simulated.ends if each.number > stored_end]

    def _poll_ended(self):
        """Poll the workers that have ended: the next one under the id answers, or nobody."""
        present = {worker.facts.incarnation: worker for worker in self.workers.values()}
        by_id = {incarnation.worker: worker for incarnation, worker in present.items()}
        for incarnation in self.scheduler.workers.keys() - present.keys():
            other = by_id.get(incarnation.worker)
            if other is None or other.is_unresponsive:
                self.scheduler.record_silence(incarnation, self.now_s)
            else:
                born_ms = other.facts.incarnation.born_ms
                self.scheduler.record_restart(incarnation, born_ms, self.now_s)

    def _percent(self, run):
        return 100 if self.now_s - run.began_s >= READY_S else 0

    # --- orders

    def _send(self, order):
        if isinstance(order, orders.SetPace):
            return
        fates = self.fates[type(order)]
        fate = fates.pop(0) if fates else TOLD
        is_start = isinstance(order, orders.StartRun)
        name = order.key.name if is_start else order.task
        kind = "start" if is_start else "stop"
        self.log_event(f"{kind} {name[-5:]} run {order.run} at {order.incarnation.worker}: {fate}")
        simulated = next(
            (each for each in self.workers.values() if each.facts.incarnation == order.incarnation),
            None,
        )
        if simulated is None or simulated.is_unresponsive:
            fate = LOST
        execute = functools.partial(self._start if is_start else self._stop, self.epoch)
        if fate in (LOST, DROPPED):
            outcome = None
        elif fate == LATE:
            self.call_later(LATE_S, lambda: execute(simulated, order))
            outcome = None
        else:
            outcome = execute(simulated, order)
        if fate in (UNTOLD, DROPPED):
            return
        if is_start:
            worker = self.scheduler.workers.get(order.incarnation)
            until_s = (
                worker.extend_lease(self.now_s, 1.5, fleetview.LeaseCall.START)
                if worker is not None
                else 0.0
            )
            report = functools.partial(self._report_start, self.scheduler)
            self.call_later(CALL_DURATION_S, lambda: report(order, fate, outcome, until_s))
        else:
            report = functools.partial(self._report_stop, self.scheduler)
            self.call_later(CALL_DURATION_S, lambda: report(order, fate))

    def _report_start(self, holder, order, fate, outcome, until_s):
        if fate != TOLD:
            holder.record_unanswered(order, self.now_s, may_start_until_s=until_s, why=fate)
        elif outcome is None:
            holder.record_started(order, self.now_s)
        else:
            holder.record_refused(order, outcome.value, self.now_s)

    def _report_stop(self, holder, order, fate):
        if fate == TOLD:
            holder.record_stop_acknowledged(order, self.now_s)
        else:
            holder.record_stop_unanswered(order)

    def start_next_epoch(self):
        """Replace the scheduler by one of the next epoch, which takes over the runs."""
        previous = self.scheduler
        self.epoch += 1
        self.scheduler = scheduler.Scheduler(
            self.epoch, lease_expiry_s=LEASE_S + 1, now_s=self.now_s, is_takeover=True
        )
        for record in previous.registry.records.values():
            self.scheduler.registry.add(
                record.job, record.progress, record.accepted_s, 0, may_run=True, now_s=self.now_s
            )
        self.used_incarnations = previous.get_incarnations_in_use(self.now_s)
        self.scheduler.expect_incarnations(self.used_incarnations)
        self.waiting_since_s = {}
        self.log_event(f"epoch {self.epoch} takes over")

    def _start(self, epoch, simulated, order):
        gone = self.workers.get(simulated.facts.host) is not simulated
        if gone or simulated.is_unresponsive or epoch < simulated.fence:
            return orders.Refusal.LATE
        name = order.key.name
        current = simulated.runs.get(name)
        if current is not None and current.number == order.run:
            return None
        if current is not None or order.run <= simulated.barred_runs.get(name, 0):
            return orders.Refusal.OLD
        step = self.get_step(order.key)
        if not self.get_free(simulated).fits(step):
            return orders.Refusal.ROOM
        simulated.until_s = max(simulated.until_s, self.now_s + 1.5)
        ends_s = self.now_s + (1e9 if step.long_running else step.estimate_ms / 1000)
        simulated.runs[name] = Run(order.key, order.run, self.now_s, ends_s)
        return None

    def _stop(self, epoch, simulated, order):
        if epoch < simulated.fence:
            return
        simulated.barred_runs[order.task] = max(simulated.barred_runs.get(order.task, 0), order.run)
        run = simulated.runs.get(order.task)
        if run is not None and run.number <= order.run:
            run.ends_s, run.how = self.now_s + STOP_DURATION_S, fleetview.RunOutcome.STOPPED

    # --- the planner of the pools and maintenance waves

    def start_planning(self, wave=None):
        """Run the planner from now on, and a maintenance wave if one is given."""
        self.planner = rebalancing.Planner()
        self.evacuating = {}
        if wave is not None:
            row = upkeep.WaveRow(number=wave.number, began_ms=int(self.now_s * 1000))
            self.wave = upkeep.WavePlan(wave, row)

    def _get_views(self):
        cpu = self.shape["cpu_millis"]
        located = []
        for host in self.hosts:
            located.append((host, POOL, rebalancing.HostState.UP))
        for host, (pool, state) in self.arriving.items():
            located.append((host, pool, state))
        for host in self.spares:
            located.append((host, SPARE, rebalancing.HostState.UP))
        return [
            rebalancing.HostView(host, pool, state, "z", "r", cpu) for host, pool, state in located
        ]

    def _plan(self):
        if self.wave is not None:
            self._advance_wave()
        demands = {ids.ServiceName(POOL): self.scheduler.get_demand(self.now_s)}
        held = set(self.evacuating) | (self.wave.down_since_s.keys() if self.wave else set())
        for move in self.planner.plan(self._get_views(), demands, held, SPARE, self.now_s):
            self._move(move)

    def _move(self, move):
        if move.pool == POOL:
            if not self.scheduler.evacuate_host(move.host, self.now_s, only_idle=True):
                return
            self._remove_host(move.host)
        else:
            self.spares.remove(move.host)
        self.log_event(f"move {move.host} to {move.target}: {move.reason}")
        self.moves.append(move)
        self.arriving[move.host] = move.target, rebalancing.HostState.MOVING
        self.call_later(MOVE_DURATION_S, lambda: self._arrive(move.host, move.target))

    def _remove_host(self, host):
        self.hosts.remove(host)
        self.workers.pop(host, None)

    def _arrive(self, host, pool):
        del self.arriving[host]
        if pool == SPARE:
            self.spares.append(host)
        else:
            self.hosts.append(host)
            self.start_worker(host)

    def _advance_wave(self):
        plan, now_ms = self.wave, int(self.now_s * 1000)
        for host in list(plan.down_since_s):
            if host not in self.arriving:
                del plan.down_since_s[host]
        for host, (pool, since_s) in list(self.evacuating.items()):
            self._evacuate_for_wave(host, pool, since_s)
        report: calls.DemandReport = self.scheduler.get_demand(self.now_s)
        present = {view.host for view in self._get_views()}
        candidates = []
        for host in plan.get_remaining(present):
            if host in self.evacuating or host in self.arriving:
                continue
            load = report.hosts.get(host)
            candidates.append(
                upkeep.Candidate(
                    host=host,
                    is_off=host in self.spares,
                    idle_s=load.idle_s if load else None,
                    long_running_count=load.long_running_count if load else 0,
                    cpu_millis=load.cpu_millis if load else 0,
                )
            )
        for host in plan.choose(candidates, self._get_hosts_down(), now_ms, MAINTENANCE_S):
            self.log_event(f"the maintenance wave requests {host}")
            plan.clearing_since_s[host] = self.now_s
            self.evacuating[host] = (SPARE if host in self.spares else POOL, self.now_s)

    def _get_hosts_down(self):
        return {
            host
            for host, (_, state) in self.arriving.items()
            if state is rebalancing.HostState.UPKEEP
        }

    def _evacuate_for_wave(self, host, pool, since_s):
        plan = self.wave
        if pool == POOL and not self.scheduler.evacuate_host(host, self.now_s):
            if self.now_s - since_s > EVACUATION_LIMIT_S:
                self.log_event(f"{host} was not evacuated in time")
                del self.evacuating[host], plan.clearing_since_s[host]
            return
        if not plan.try_begin(host, self._get_hosts_down(), self.now_s):
            return
        self.log_event(f"maintenance of {host}")
        if pool == POOL:
            self._remove_host(host)
        else:
            self.spares.remove(host)
        del self.evacuating[host], plan.clearing_since_s[host]
        plan.row.done.add(host)
        self.maintained.append(host)
        self.arriving[host] = pool, rebalancing.HostState.UPKEEP
        self.call_later(MAINTENANCE_S, lambda: self._arrive(host, pool))
