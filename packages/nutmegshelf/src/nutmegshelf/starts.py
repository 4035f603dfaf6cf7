"""Choose which waiting tasks start where, the most urgent first.

Load pattern: in a burst many tasks of the same shape wait for few workers, so a shape that fits
nowhere is not tried again in the same pass.
"""

from nutmegshelf import (
    fitting,
    fleetview,
    jobs,
    notes,
    orders,
    policy,
    registry,
    simulation,
    urgency,
    window,
)


class Starter:
    """Own the choice of starts for one service."""

    def __init__(
        self,
        job_registry: registry.JobRegistry,
        advice: policy.Advice,
        written: notes.Notes,
        router: window.StartRouter,
    ) -> None:
        self._registry = job_registry
        self._router = router
        self._advice = advice
        self._notes = written
        # Records that had a task no open worker had room for, in the last pass.
        self.unplaced: list[registry.JobRecord] = []
        self._keeper = simulation.Reservations([], advice, 0.0)
        # Whether a start found no room on its way in the last pass.
        self.is_throttled = False

    @property
    def unreserved(self) -> list[fleetview.Worker]:
        """Give the workers that short tasks may use, by the last pass."""
        return self._keeper.unreserved

    def choose(self, found: list[fleetview.Worker], now_s: float) -> list[orders.StartRun]:
        """Choose what starts now at the open workers."""
        self.unplaced = []
        self._keeper = simulation.Reservations(found, self._advice, now_s)
        self.is_throttled = not self._router.window.has_link_capacity(now_s)
        if self.is_throttled:
            return []
        ready = self._registry.ready_records()
        if not ready or not found:
            return []
        chosen: list[orders.StartRun] = []
        blocked = fitting.UnplaceableShapes()
        for record in sorted(ready, key=lambda record: urgency.compute(record, now_s)):
            able = found if record.job.is_long_running else self._keeper.unreserved
            chosen += self._start_job(record, able, blocked, now_s)
            if self.is_throttled:
                break
        self._ask_ahead(found, now_s)
        return chosen

    def _ask_ahead(self, found: list[fleetview.Worker], now_s: float) -> None:
        """Ask for advice for steps that open next, while the steps before them run."""
        for record in self._registry.live.values():
            if record.job.queue.advised is None or record.ready:
                continue
            for number, parts in record.occurrences.items():
                for index, part in enumerate(parts):
                    if part.remaining and not part.is_open:
                        key = jobs.TaskKey(record.job.job, number, index, 0)
                        fitting_ones = [one for one in found if one.fits_when_empty(part.step)]
                        self._advice.request_advice(
                            policy.format_step_name(key), fitting_ones, now_s
                        )
                        break

    def _advised(
        self,
        record: registry.JobRecord,
        key: jobs.TaskKey,
        part: registry.TaskSet,
        found: list[fleetview.Worker],
        now_s: float,
    ) -> list[fleetview.Worker]:
        """Give the workers that may run a step; asks for advice where they are too few."""
        if record.job.queue.advised is None:
            return found
        step = policy.format_step_name(key)
        known = [
            one for one in found if self._advice.get_ticket(step, one.facts.incarnation, now_s)
        ]
        if sum(one.fits(part.step) for one in known) < min(part.remaining, len(found)):
            self._advice.request_advice(
                step, [one for one in found if one.fits_when_empty(part.step)], now_s
            )
        return known

    def _start_job(
        self,
        record: registry.JobRecord,
        found: list[fleetview.Worker],
        blocked: fitting.UnplaceableShapes,
        now_s: float,
    ) -> list[orders.StartRun]:
        chosen: list[orders.StartRun] = []
        for part, tasks in record.group_ready_tasks():
            allowed = self._advised(record, tasks[0].key, part, found, now_s)
            if part.step.gang:
                chosen += self._start_gang(record, part, allowed, now_s)
                continue
            if blocked.covers(part.step):
                self._find_homeless(record, part, tasks)
                continue
            here = registry.count_runs_by_worker(part)
            is_shared = part.step.fills or bool(part.step.target_ms)
            for task in tasks:
                most = fitting.get_max_per_worker(
                    part.step, registry.get_waiting_time_s(record, task, now_s)
                )
                worker = fitting.choose_worker(
                    part.step, allowed, here, limit=most, is_shared=is_shared
                )
                if worker is None:
                    if allowed is found and not fitting.has_capacity(part.step, found):
                        blocked.add(part.step)
                    self._find_homeless(record, part, tasks)
                    break
                route = self._router.route(record.job, task.checkpoint, worker, now_s)
                if route is None:
                    self.is_throttled = True
                    return chosen
                here[worker.facts.incarnation] += 1
                run = self._registry.get_next_run(task)
                chosen.append(self._start(record, task, worker, run=run, route=route, now_s=now_s))
        return chosen

    def _find_homeless(
        self, record: registry.JobRecord, part: registry.TaskSet, tasks: list[fleetview.Task]
    ) -> None:
        """Note that tasks found no worker, and keep one free for those that last."""
        self.unplaced.append(record)
        if part.step.long_running:
            waiting = [task for task in tasks if task.phase is fleetview.Phase.WAITING]
            self._keeper.reserve(record, part, waiting)

    def start_speculative_run(
        self,
        record: registry.JobRecord,
        task: fleetview.Task,
        found: list[fleetview.Worker],
        now_s: float,
    ) -> orders.StartRun | None:
        """Start a second run of a task at another worker, or give none where there is no room."""
        part = record.occurrences[task.key.occurrence][task.key.step]
        others = [one for one in found if one.facts.incarnation != task.incarnation]
        allowed = self._advised(record, task.key, part, others, now_s)
        here = registry.count_runs_by_worker(part)
        most = fitting.get_max_per_worker(part.step)
        worker = fitting.choose_worker(part.step, allowed, here, limit=most, is_shared=False)
        route = self._router.route(record.job, task.checkpoint, worker, now_s) if worker else None
        if worker is None or route is None:
            return None
        made = self._registry.add_speculative_run(task)
        self._notes.note_task("second run", task, percent=task.percent)
        return self._start(
            record, made, worker, run=self._registry.get_next_run(task), route=route, now_s=now_s
        )

    def _start_gang(
        self,
        record: registry.JobRecord,
        part: registry.TaskSet,
        found: list[fleetview.Worker],
        now_s: float,
    ) -> list[orders.StartRun]:
        if any(task.phase is not fleetview.Phase.WAITING for task in part.tasks):
            return []
        places = fitting.choose_gang_workers(part.step, len(part.tasks), found)
        if places is None:
            return []
        run = max(self._registry.get_next_run(task) for task in part.tasks)
        saved = max(task.checkpoint for task in part.tasks)
        chosen: list[orders.StartRun] = []
        for task, worker in zip(part.tasks, places, strict=True):
            task.checkpoint = saved
            route = self._router.route(record.job, saved, worker, now_s)
            if route is None and not chosen:
                self.is_throttled = True
                return []
            # The members of a gang wait for one another, so they are sent together.
            route = route or self._router.get_direct_route(record.job, saved)
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
        life = worker.facts.incarnation
        self._router.reserve(record.job.job, route, now_s)
        waited_s = round(now_s - max(task.since_s, record.accepted_s), 3)
        self._registry.assign(record, task, worker, run, now_s)
        self._notes.note_task("run starts", task, worker=life.worker, waited_s=waited_s)
        ticket = None
        if record.job.queue.advised is not None:
            ticket = self._advice.get_ticket(policy.format_step_name(task.key), life, now_s)
        return orders.StartRun(
            life,
            task.key,
            run,
            record.job.spec,
            task.checkpoint,
            ticket,
            task.step.long_running,
            route,
        )
