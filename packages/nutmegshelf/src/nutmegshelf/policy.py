"""Cache the policy service's advice: which workers may run a step, with a ticket for each.

Load pattern: the service answers one call at a time, in a time that grows with the number of
workers named, and steps wait for it. So advice is requested before a step opens, for the workers
that fit best.
"""

import collections.abc
import dataclasses

from nutmegshelf import fleetview, ids, jobs

# Calls with more workers would take longer than a caller's objective allows.
_MAX_WORKERS = 30
# A ticket has to stay valid for this long, as an order takes time to arrive.
_MIN_VALIDITY_S = 0.3
_RETRY_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A request to the policy service: which of some workers may run a step."""

    step: str
    incarnations: tuple[fleetview.Incarnation, ...]


@dataclasses.dataclass(slots=True)
class _StepAdvice:
    tickets: dict[fleetview.Incarnation, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    refused: set[fleetview.Incarnation] = dataclasses.field(default_factory=set)
    requested_s: float = -_RETRY_INTERVAL_S


def format_step_name(key: jobs.TaskKey) -> str:
    """Return the policy service's name for a step of one occurrence."""
    return f"{key.job}.{key.occurrence}.{key.step}"


class Advice:
    """The advice for each step; a step's policy never changes, but its tickets expire."""

    def __init__(self) -> None:
        self._steps: dict[str, _StepAdvice] = {}
        self.questions: dict[str, Question] = {}

    def get_ticket(self, step: str, incarnation: fleetview.Incarnation, now_s: float) -> str | None:
        """Return a valid ticket, or None."""
        step_advice = self._steps.get(step)
        ticket = step_advice.tickets.get(incarnation) if step_advice else None
        return ticket[0] if ticket and now_s < ticket[1] - _MIN_VALIDITY_S else None

    def get_refused(self, step: str) -> collections.abc.Collection[fleetview.Incarnation]:
        """Return the workers that may not run a step."""
        step_advice = self._steps.get(step)
        return step_advice.refused if step_advice is not None else ()

    def request_advice(
        self, step: str, workers: collections.abc.Iterable[fleetview.Worker], now_s: float
    ) -> None:
        """Queue a question about the workers without a ticket, those with most free CPU first."""
        step_advice = self._steps.setdefault(step, _StepAdvice())
        if now_s - step_advice.requested_s < _RETRY_INTERVAL_S:
            return
        candidates = [
            worker
            for worker in workers
            if worker.facts.incarnation not in step_advice.refused
            and self.get_ticket(step, worker.facts.incarnation, now_s) is None
        ]
        if not candidates:
            return
        step_advice.requested_s = now_s
        candidates.sort(key=lambda worker: (-worker.free.cpu_millis, worker.facts.incarnation))
        incarnations = tuple(worker.facts.incarnation for worker in candidates[:_MAX_WORKERS])
        self.questions[step] = Question(step, incarnations)

    def pop_question(self) -> Question | None:
        """Remove and return the oldest question, or None."""
        if not self.questions:
            return None
        return self.questions.pop(next(iter(self.questions)))

    def record_answer(
        self,
        question: Question,
        tickets: dict[ids.WorkerId, str],
        valid_s: float,
        requested_s: float,
    ) -> None:
        """Record an answer; its tickets are valid from the time of the call."""
        step_advice = self._steps.setdefault(question.step, _StepAdvice())
        for incarnation in question.incarnations:
            ticket = tickets.get(incarnation.worker)
            if ticket is None:
                step_advice.refused.add(incarnation)
            else:
                step_advice.tickets[incarnation] = ticket, requested_s + valid_s
        step_advice.requested_s = -_RETRY_INTERVAL_S

    def discard_ticket(self, step: str, incarnation: fleetview.Incarnation) -> None:
        """Discard a ticket that a worker refused."""
        step_advice = self._steps.get(step)
        if step_advice is not None:
            step_advice.tickets.pop(incarnation, None)

    def forget(self, job: ids.JobId) -> None:
        """Delete the advice for a job's steps."""
        for step in [name for name in self._steps if name.startswith(f"{job}.")]:
            del self._steps[step]
            self.questions.pop(step, None)
