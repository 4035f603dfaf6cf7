"""Keep the policy service's advice: which workers may run a step, with a ticket each.

Load pattern: one call at a time is answered, in a time that grows with the workers named, and
steps wait for it. So advice is asked for before a step opens, for the workers that fit best.
"""

import collections.abc
import dataclasses

from nutmegshelf import fleetview, ids, jobs

# A call names no more workers than a caller's objective allows time for.
_MOST_NAMED = 30
# Tickets are used only while they stay valid for this long, as an order takes time to arrive.
_RESERVE_S = 0.3
_RETRY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """Ask which of some workers may run a step."""

    step: str
    lives: tuple[fleetview.Incarnation, ...]


@dataclasses.dataclass(slots=True)
class _Known:
    tickets: dict[fleetview.Incarnation, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    refused: set[fleetview.Incarnation] = dataclasses.field(default_factory=set)
    asked_s: float = -_RETRY_S


def format_step_name(key: jobs.TaskKey) -> str:
    """Name a step of one occurrence as the policy service knows it."""
    return f"{key.job}.{key.occurrence}.{key.step}"


class Advice:
    """Own what is known of each step; a step's policy never changes, but tickets run out."""

    def __init__(self) -> None:
        self._steps: dict[str, _Known] = {}
        self.questions: dict[str, Question] = {}

    def get_ticket(self, step: str, life: fleetview.Incarnation, now_s: float) -> str | None:
        """Give a valid ticket, or none."""
        known = self._steps.get(step)
        found = known.tickets.get(life) if known else None
        return found[0] if found and now_s < found[1] - _RESERVE_S else None

    def get_refused(self, step: str) -> collections.abc.Collection[fleetview.Incarnation]:
        """Give the workers that may not run a step."""
        known = self._steps.get(step)
        return known.refused if known is not None else ()

    def request_advice(
        self, step: str, workers: collections.abc.Iterable[fleetview.Worker], now_s: float
    ) -> None:
        """Note that advice is needed for workers without a ticket; the freest are named first."""
        known = self._steps.setdefault(step, _Known())
        if now_s - known.asked_s < _RETRY_S:
            return
        open_ones = [
            worker
            for worker in workers
            if worker.facts.incarnation not in known.refused
            and self.get_ticket(step, worker.facts.incarnation, now_s) is None
        ]
        if not open_ones:
            return
        known.asked_s = now_s
        open_ones.sort(key=lambda worker: (-worker.free.cpu_millis, worker.facts.incarnation))
        lives = tuple(worker.facts.incarnation for worker in open_ones[:_MOST_NAMED])
        self.questions[step] = Question(step, lives)

    def pop_question(self) -> Question | None:
        """Give the oldest question."""
        if not self.questions:
            return None
        return self.questions.pop(next(iter(self.questions)))

    def record_answer(
        self, question: Question, good: dict[ids.WorkerId, str], valid_s: float, asked_s: float
    ) -> None:
        """Take an answer; tickets count from the time of the call."""
        known = self._steps.setdefault(question.step, _Known())
        for life in question.lives:
            ticket = good.get(life.worker)
            if ticket is None:
                known.refused.add(life)
            else:
                known.tickets[life] = ticket, asked_s + valid_s
        known.asked_s = -_RETRY_S

    def discard_ticket(self, step: str, life: fleetview.Incarnation) -> None:
        """Drop a ticket that a worker did not take."""
        known = self._steps.get(step)
        if known is not None:
            known.tickets.pop(life, None)

    def forget(self, job: ids.JobId) -> None:
        """Drop what is known of a job's steps."""
        for step in [one for one in self._steps if one.startswith(f"{job}.")]:
            del self._steps[step]
            self.questions.pop(step, None)
