"""Rate-limited log of the scheduler's decisions; lines beyond the limit are counted."""

import asyncio
import collections
import logging
import time

from nutmegshelf import audit, jobs, notes, rejections, releasedruns

from nutmegshelf_entry import histograms, logs

# Per event and second; further lines of the event are only counted.
_MAX_LINES = 20
# Events of long-running tasks are limited separately: there are few, and each must stay in the
# log through a burst of other events.
_LONG_RUNNING = "{} (lasts)"
# Jobs whose decisions are kept in memory; the log has those of all jobs.
_MAX_JOBS = 200
# Events that end a stage: the name of the stage and the field with its duration.
_STAGES = {
    "run starts": ("wait", "waited_s"),
    "job ended": ("job", "took_s"),
    "lease lapsed": ("lapse", "started_ago_s"),
}

# Events of faults; their counters exist from the start, so that alarms can compare them with 0.
_FAULTS = (rejections.REJECTED_JOB_RUNS, releasedruns.RUN_OUTLASTED_LEASE)


class NoteLog:
    """Log of the decisions of one pool, which also records the durations of stages."""

    def __init__(self, part: str, pool: str, stages: histograms.StageDurations) -> None:
        self._stages = stages
        self._log = logs.get_logger(part)
        self._pool = pool
        self._second = 0
        # Events since the start, including those left out of the log.
        self.totals: collections.Counter[str] = collections.Counter(dict.fromkeys(_FAULTS, 0))
        self._lines: collections.Counter[str] = collections.Counter()
        # The newest decisions on the most recent jobs, for operators.
        self.decisions = audit.DecisionLog(max_subjects=_MAX_JOBS)

    def write(self, buffer: notes.Notes) -> None:
        """Log all new notes, up to the limit per event and second."""
        second = int(asyncio.get_running_loop().time())
        if second != self._second:
            self._report_left_out()
            self._second = second
        for note in buffer.take():
            self.totals[note.event] += 1
            kind = _LONG_RUNNING.format(note.event) if note.fields.get("lasts") else note.event
            self._lines[kind] += 1
            self._remember(note)
            if note.event in _STAGES:
                stage, field = _STAGES[note.event]
                self._stages.observe(stage, note.fields[field])
            if self._lines[kind] <= _MAX_LINES:
                level = logging.WARNING if note.event in _FAULTS else logging.INFO
                self._log.log(level, note.event, pool=self._pool, **note.fields)
        if buffer.dropped:
            self._lines["notes of the kernel"] += buffer.dropped + _MAX_LINES
            buffer.dropped = 0

    def _remember(self, note: notes.Note) -> None:
        task = jobs.parse_task_name(str(note.fields.get("task", "")))
        subject = task.job if task is not None else note.fields.get("job")
        if subject is not None:
            reason = " ".join(f"{field}={value}" for field, value in note.fields.items())
            decision = audit.Decision(
                kind=note.event, subject=subject, reason=reason, at_s=time.time()
            )
            self.decisions.add(decision)

    def _report_left_out(self) -> None:
        left_out = {
            event: count - _MAX_LINES for event, count in self._lines.items() if count > _MAX_LINES
        }
        if left_out:
            self._log.info("Lines were left out.", pool=self._pool, left_out=left_out)
        self._lines.clear()
