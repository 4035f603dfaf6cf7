"""Collect what the kernel decided, for the daemon to write down."""

import dataclasses
import typing

from nutmegshelf import fleetview

_MOST_NOTES = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """Hold one decision with the inputs that decided it."""

    event: str
    fields: dict[str, typing.Any]


class Notes:
    """Keep the newest decisions until they are taken; counts those left out."""

    def __init__(self) -> None:
        self._notes: list[Note] = []
        self.dropped = 0

    def note(self, event: str, **fields: typing.Any) -> None:
        """Add a decision."""
        if len(self._notes) >= _MOST_NOTES:
            self.dropped += 1
            return
        self._notes.append(Note(event, fields))

    def note_task(self, event: str, task: fleetview.Task, **fields: typing.Any) -> None:
        """Add a decision on one run of a task."""
        self.note(event, task=task.key.name, run=task.run, lasts=task.step.long_running, **fields)

    def take(self) -> list[Note]:
        """Give all decisions since the last call."""
        taken, self._notes = self._notes, []
        return taken
