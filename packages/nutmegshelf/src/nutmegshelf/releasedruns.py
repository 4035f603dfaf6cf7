"""Notice the runs that go on, or turn out to have begun, after they were released.

A worker's runs are released once its lease has expired by the holder's account. That account is
wrong if the worker still runs one of them while the task runs elsewhere.
"""

import dataclasses

from nutmegshelf import fleetview, ids, notes

# The event of a run that goes on beside another run of its task.
RUN_OUTLASTED_LEASE = "run outlasted its lease"
# A worker that answers later than this has forgotten the runs.
_RETENTION_S = 60.0
_MAX_RUNS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class _ReleasedRun:
    sent_s: float
    released_s: float
    was_confirmed: bool


class ReleasedRuns:
    """The runs of one service that were released when their workers' leases expired."""

    def __init__(self, decision_notes: notes.Notes) -> None:
        self._notes = decision_notes
        # By worker id, as a later incarnation may have carried out the start.
        self._runs: dict[tuple[ids.WorkerId, str, int], _ReleasedRun] = {}

    def add(self, worker: fleetview.Worker, task: fleetview.Task, now_s: float) -> None:
        """Record that a run is released, though its worker has not reported its end."""
        while len(self._runs) >= _MAX_RUNS:
            del self._runs[next(iter(self._runs))]
        key = worker.facts.incarnation.worker, task.key.name, task.run
        self._runs[key] = _ReleasedRun(task.sent_s, now_s, task.is_confirmed)

    def observe_run(
        self, worker: fleetview.Worker, run: fleetview.ReportedRun, now_s: float
    ) -> None:
        """Note a released run that a report lists beside another run of its task."""
        self._note(RUN_OUTLASTED_LEASE, worker, run.task, run.run, now_s, how="running")

    def observe_end(self, worker: fleetview.Worker, end: fleetview.RunEnd, now_s: float) -> None:
        """Note that a released run has ended, so that its start was carried out."""
        how = end.outcome.value
        self._note("released run had begun", worker, end.task, end.run, now_s, how=how)

    def expire(self, now_s: float) -> None:
        """Forget the runs that were released long ago."""
        while self._runs:
            key = next(iter(self._runs))
            if now_s - self._runs[key].released_s <= _RETENTION_S:
                break
            del self._runs[key]

    def _note(
        self, event: str, worker: fleetview.Worker, task: str, run: int, now_s: float, *, how: str
    ) -> None:
        incarnation = worker.facts.incarnation
        released = self._runs.pop((incarnation.worker, task, run), None)
        if released is None:
            return
        self._notes.note(
            event,
            task=task,
            run=run,
            how=how,
            worker=incarnation.worker,
            born_ms=incarnation.born_ms,
            was_confirmed=released.was_confirmed,
            sent_ago_s=round(now_s - released.sent_s, 3),
            released_ago_s=round(now_s - released.released_s, 3),
        )
