"""Buffer the decisions of the kernel until the daemon logs them."""

import dataclasses
import typing

from nutmegshelf import fleetview, jobs

_MAX_NOTES = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """A log event for one decision, with the inputs of the decision."""

    event: str
    fields: dict[str, typing.Any]


class Notes:
    """A bounded buffer of log events; counts the events dropped while it is full."""

    def __init__(self) -> None:
        self._notes: list[Note] = []
        self.dropped = 0

    def note(self, event: str, **fields: typing.Any) -> None:
        """Add an event, or count it as dropped where the buffer is full."""
        if len(self._notes) >= _MAX_NOTES:
            self.dropped += 1
            return
        self._notes.append(Note(event, fields))

    def note_task(self, event: str, task: fleetview.Task, **fields: typing.Any) -> None:
        """Add an event about one run of a task."""
        self.note(event, task=task.key.name, run=task.run, lasts=task.step.long_running, **fields)

    def note_job_ended(self, progress: jobs.Progress, took_s: float) -> None:
        """Add an event about the end of a job."""
        self.note(
            "job ended",
            job=progress.job,
            state=progress.state.value,
            reason=progress.reason,
            took_s=round(took_s, 3),
        )

    def take(self) -> list[Note]:
        """Return and remove all events in the buffer."""
        taken, self._notes = self._notes, []
        return taken
