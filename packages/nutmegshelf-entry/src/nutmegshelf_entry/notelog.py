"""Write the kernel's decisions down, within a bound a second; what is left out is counted."""

import asyncio
import collections
import time

from nutmegshelf import audit, jobs, notes

from nutmegshelf_entry import histograms, logs

# Lines a second and event; more of one kind are only counted.
_MOST_LINES = 20
# Few tasks last, and each is to be followed through a burst of others.
_LASTING = "{} (lasts)"
# Jobs whose decisions are kept in memory; the log has those of all.
_MOST_JOBS = 200
# Decisions that end a stage, with the field that holds how long it took.
_STAGES = {"run starts": ("wait", "waited_s"), "job ended": ("job", "took_s")}


class NoteLog:
    """Own the lines of one part, and count the waits that they tell of."""

    def __init__(self, part: str, pool: str, stages: histograms.StageDurations) -> None:
        self._stages = stages
        self._log = logs.get_logger(part)
        self._pool = pool
        self._second = 0
        # What was noted since the start, with what was left out of the log.
        self.totals: collections.Counter[str] = collections.Counter()
        self._lines: collections.Counter[str] = collections.Counter()
        # The newest decisions on the jobs decided on last, for operators.
        self.decisions = audit.DecisionLog(max_subjects=_MOST_JOBS)

    def write(self, taken: notes.Notes) -> None:
        """Write all new notes, as far as the bound allows."""
        second = int(asyncio.get_running_loop().time())
        if second != self._second:
            self._flush()
            self._second = second
        for note in taken.take():
            self.totals[note.event] += 1
            kind = _LASTING.format(note.event) if note.fields.get("lasts") else note.event
            self._lines[kind] += 1
            self._keep(note)
            if note.event in _STAGES:
                stage, field = _STAGES[note.event]
                self._stages.observe(stage, note.fields[field])
            if self._lines[kind] <= _MOST_LINES:
                self._log.info(note.event, pool=self._pool, **note.fields)
        if taken.dropped:
            self._lines["notes of the kernel"] += taken.dropped + _MOST_LINES
            taken.dropped = 0

    def _keep(self, note: notes.Note) -> None:
        task = jobs.parse_task_name(str(note.fields.get("task", "")))
        subject = task.job if task is not None else note.fields.get("job")
        if subject is not None:
            reason = " ".join(f"{name}={value}" for name, value in note.fields.items())
            found = audit.Decision(
                kind=note.event, subject=subject, reason=reason, at_s=time.time()
            )
            self.decisions.add(found)

    def _flush(self) -> None:
        left_out = {
            event: count - _MOST_LINES
            for event, count in self._lines.items()
            if count > _MOST_LINES
        }
        if left_out:
            self._log.info("Lines were left out.", pool=self._pool, left_out=left_out)
        self._lines.clear()
