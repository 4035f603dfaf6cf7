"""Choose which waiting tasks start at which workers, the most urgent first.

In a burst many tasks with the same resource request wait for few workers, so a request that fits no
worker is not tried again in the same pass.
"""

import collections

from nutmegshelf import (
    containment,
    estimates,
    fitting,
    fleetview,
    jobs,
    notes,
    orders,
    policy,
    registry,
    simulation,
    trials,
    urgency,
    window,
)


class Starter:
    """Assigns the waiting tasks of one service to its open workers."""

    def __init__(
        self,
        job_registry: registry.JobRegistry,
        advice: policy.Advice,
        decision_notes: notes.Notes,
        router: window.StartRouter,
        run_estimates: estimates.Estimates,
    ) -> None:
        self._registry = job_registry
        self._router = router
        self._advice = advice
        self._notes = decision_notes
        self._estimates = run_estimates
        self._containment = containment.ErrorContainment(job_registry, decision_notes)
        self._trials = trials.Trials(job_registry, decision_notes)
        # The open workers that are not reserved for the trial of a suspected task.
        self.usable: list[fleetview.Worker] = []
        # Jobs with a task that no open worker had room for in the last pass.
        self.unplaced: list[registry.JobRecord] = []
        self._reservations = simulation.Reservations([], advice, 0.0)
        # Whether a start waited for the send window in the last pass.
        self.is_throttled = False

    @property
    def unreserved(self) -> list[fleetview.Worker]:
        """Return the workers that short tasks may use according to the last pass."""
        return self._reservations.unreserved

    def choose(self, open_workers: list[fleetview.Worker], now_s: float) -> list[orders.StartRun]:
        """Assign waiting tasks to open workers and return their starts."""
        self.unplaced = []

        def get_allowed(
            record: registry.JobRecord,
            task_set: registry.TaskSet,
            workers: list[fleetview.Worker],
        ) -> list[fleetview.Worker]:
            return self._get_allowed(record, task_set.tasks[0].key, task_set, workers, now_s)

        self._trials.update(open_workers, get_allowed, now_s)
        open_workers = self.usable = self._trials.get_unreserved(open_workers)
        self._reservations = simulation.Reservations(open_workers, self._advice, now_s)
        self.is_throttled = not self._router.window.has_link_capacity(now_s)
        if self.is_throttled:
            return []
        chosen = self._start_trials(now_s)
        ready = self._registry.get_ready_records()
        if not ready or not open_workers or self.is_throttled:
            return chosen
        blocked = fitting.UnplaceableShapes()
        for record in sorted(
            ready, key=lambda record: urgency.compute(record, self._estimates, now_s)
        ):
            usable = open_workers if record.job.is_long_running else self._reservations.unreserved
            with self._containment.confine(record.job.job, now_s, "its starts"):
                chosen += self._start_job(record, usable, blocked, now_s)
            if self.is_throttled:
                break
        self._request_advice_ahead(open_workers, now_s)
        return chosen

    @property
    def waiting_trial_count(self) -> int:
        """Return how many suspected tasks wait for a worker of their own."""
        return self._trials.waiting_count

    def _start_trials(self, now_s: float) -> list[orders.StartRun]:
        chosen: list[orders.StartRun] = []
        for trial in self._trials.get_startable(now_s):
            checkpoint = max(task.checkpoint for task in trial.tasks)
            for task, worker in zip(trial.tasks, trial.workers, strict=True):
                task.checkpoint = checkpoint
                route = self._router.route(trial.record.job, checkpoint, worker, now_s)
                if route is None and not trial.is_started:
                    self.is_throttled = True
                    return chosen
                trial.is_started = True
                route = route or self._router.get_direct_route(trial.record.job, checkpoint)
                chosen.append(
                    self._start(trial.record, task, worker, run=trial.run, route=route, now_s=now_s)
                )
        return chosen

    def _may_start(self, task: fleetview.Task, now_s: float) -> bool:
        """Return whether a task may start beside others, and its crashes are stored."""
        if task.crashes is None:
            return True
        return (
            not self._trials.is_held(task, now_s)
            and task.start_after_change <= self._registry.get_stored_change()
        )

    def _request_advice_ahead(self, open_workers: list[fleetview.Worker], now_s: float) -> None:
        """Request advice for steps that open next, while the steps before them run."""
        for record in self._registry.live.values():
            if record.job.queue.advised is None or record.ready:
                continue
            for number, task_sets in record.occurrences.items():
                for index, task_set in enumerate(task_sets):
                    if task_set.remaining and not task_set.is_open:
                        key = jobs.TaskKey(record.job.job, number, index, 0)
                        suitable = [
                            worker
                            for worker in open_workers
                            if worker.fits_when_empty(task_set.step)
                        ]
                        self._advice.request_advice(policy.format_step_name(key), suitable, now_s)
                        break

    def _get_allowed(
        self,
        record: registry.JobRecord,
        key: jobs.TaskKey,
        task_set: registry.TaskSet,
        workers: list[fleetview.Worker],
        now_s: float,
    ) -> list[fleetview.Worker]:
        """Return the workers allowed to run a step; request advice if they are too few."""
        if record.job.queue.advised is None:
            return workers
        step = policy.format_step_name(key)
        allowed = [
            worker
            for worker in workers
            if self._advice.get_ticket(step, worker.facts.incarnation, now_s)
        ]
        if sum(worker.fits(task_set.step) for worker in allowed) < min(
            task_set.remaining, len(workers)
        ):
            self._advice.request_advice(
                step, [worker for worker in workers if worker.fits_when_empty(task_set.step)], now_s
            )
        return allowed

    def _start_job(
        self,
        record: registry.JobRecord,
        workers: list[fleetview.Worker],
        blocked: fitting.UnplaceableShapes,
        now_s: float,
    ) -> list[orders.StartRun]:
        chosen: list[orders.StartRun] = []
        for task_set, ready in record.group_ready_tasks():
            tasks = [task for task in ready if self._may_start(task, now_s)]
            if not tasks:
                continue
            allowed = self._get_allowed(record, tasks[0].key, task_set, workers, now_s)
            if task_set.step.gang:
                if len(tasks) == len(ready):
                    chosen += self._start_gang(record, task_set, allowed, now_s)
                continue
            if blocked.covers(task_set.step):
                self._record_unplaced(record, task_set, tasks)
                continue
            run_counts = registry.count_runs_by_worker(task_set)
            placer: fitting.ShortTaskPlacer | None = None
            if not task_set.step.long_running:
                placer = fitting.ShortTaskPlacer(task_set.step, allowed, run_counts)
            for task in tasks:
                if placer is not None:
                    worker = placer.choose()
                else:
                    worker = _choose_long_running(record, task, allowed, run_counts, now_s)
                if worker is None:
                    if allowed is workers and not fitting.has_capacity(task_set.step, workers):
                        blocked.add(task_set.step)
                    self._record_unplaced(record, task_set, tasks)
                    break
                route = self._router.route(record.job, task.checkpoint, worker, now_s)
                if route is None:
                    self.is_throttled = True
                    return chosen
                run_counts[worker.facts.incarnation] += 1
                run = self._registry.get_next_run(task)
                chosen.append(self._start(record, task, worker, run=run, route=route, now_s=now_s))
        return chosen

    def _record_unplaced(
        self, record: registry.JobRecord, task_set: registry.TaskSet, tasks: list[fleetview.Task]
    ) -> None:
        """Record that tasks found no worker, and reserve workers for long-running ones."""
        self.unplaced.append(record)
        if task_set.step.long_running:
            waiting = [task for task in tasks if task.phase is fleetview.Phase.WAITING]
            self._reservations.reserve(record, task_set, waiting)

    def start_speculative_run(
        self,
        record: registry.JobRecord,
        task: fleetview.Task,
        workers: list[fleetview.Worker],
        now_s: float,
    ) -> orders.StartRun | None:
        """Start a second run of a task at another worker; return None if none has room."""
        task_set = record.occurrences[task.key.occurrence][task.key.step]
        others = [other for other in workers if other.facts.incarnation != task.incarnation]
        allowed = self._get_allowed(record, task.key, task_set, others, now_s)
        run_counts = registry.count_runs_by_worker(task_set)
        worker = fitting.ShortTaskPlacer(task_set.step, allowed, run_counts).choose()
        route = self._router.route(record.job, task.checkpoint, worker, now_s) if worker else None
        if worker is None or route is None:
            return None
        duplicate = self._registry.add_speculative_run(task)
        self._notes.note_task("second run", task, percent=task.percent)
        return self._start(
            record,
            duplicate,
            worker,
            run=self._registry.get_next_run(task),
            route=route,
            now_s=now_s,
        )

    def _start_gang(
        self,
        record: registry.JobRecord,
        task_set: registry.TaskSet,
        workers: list[fleetview.Worker],
        now_s: float,
    ) -> list[orders.StartRun]:
        if any(task.phase is not fleetview.Phase.WAITING for task in task_set.tasks):
            return []
        gang_workers = fitting.choose_gang_workers(task_set.step, len(task_set.tasks), workers)
        if gang_workers is None:
            return []
        run = max(self._registry.get_next_run(task) for task in task_set.tasks)
        checkpoint = max(task.checkpoint for task in task_set.tasks)
        chosen: list[orders.StartRun] = []
        for task, worker in zip(task_set.tasks, gang_workers, strict=True):
            task.checkpoint = checkpoint
            route = self._router.route(record.job, checkpoint, worker, now_s)
            if route is None and not chosen:
                self.is_throttled = True
                return []
            # Tasks of a gang wait for one another, so the rest is sent regardless of the window.
            route = route or self._router.get_direct_route(record.job, checkpoint)
            chosen.append(self._start(record, task, worker, run=run, route=route, now_s=now_s))
        return chosen

    def _start(
        self,
        record: registry.JobRecord,
        task: fleetview.Task,
        worker: fleetview.Worker,
        *,
        run: int,
        route: orders.Route,
        now_s: float,
    ) -> orders.StartRun:
        incarnation = worker.facts.incarnation
        self._router.reserve(record.job.job, route, now_s)
        waited_s = round(now_s - max(task.since_s, record.accepted_s), 3)
        self._registry.assign(record, task, worker, run, now_s)
        self._notes.note_task("run starts", task, worker=incarnation.worker, waited_s=waited_s)
        ticket = None
        if record.job.queue.advised is not None:
            ticket = self._advice.get_ticket(policy.format_step_name(task.key), incarnation, now_s)
        return orders.StartRun(
            incarnation,
            task.key,
            run,
            record.job.spec,
            task.checkpoint,
            ticket,
            task.step.long_running,
            route,
        )


def _choose_long_running(
    record: registry.JobRecord,
    task: fleetview.Task,
    workers: list[fleetview.Worker],
    run_counts: collections.Counter[fleetview.Incarnation],
    now_s: float,
) -> fleetview.Worker | None:
    limit = fitting.get_max_per_worker(task.step, registry.get_waiting_time_s(record, task, now_s))
    is_shared = task.step.fills or bool(task.step.target_ms)
    return fitting.choose_long_running_worker(
        task.step, workers, run_counts, limit=limit, is_shared=is_shared
    )
