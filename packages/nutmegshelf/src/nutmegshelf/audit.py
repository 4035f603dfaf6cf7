"""Record the latest decisions on each subject, so that operators can see the reasons."""

import collections
import dataclasses

import msgspec

MAX_DECISIONS_PER_SUBJECT = 16
MAX_SUBJECTS = 4096


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """A decision on a subject: what was decided, when and why."""

    kind: str
    subject: str
    reason: str
    at_s: float


@dataclasses.dataclass(slots=True)
class DecisionLog:
    """The latest decisions on each subject; evicts the subject that is unchanged the longest."""

    max_subjects: int = MAX_SUBJECTS
    _by_subject: collections.OrderedDict[str, collections.deque[Decision]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def add(self, decision: Decision) -> None:
        """Record a decision, and evict a subject where there are too many."""
        recent = self._by_subject.setdefault(
            decision.subject, collections.deque(maxlen=MAX_DECISIONS_PER_SUBJECT)
        )
        recent.append(decision)
        self._by_subject.move_to_end(decision.subject)
        if len(self._by_subject) > self.max_subjects:
            self._by_subject.popitem(last=False)

    def get(self, subject: str) -> list[Decision]:
        """Return the decisions on a subject, the newest first."""
        return list(reversed(self._by_subject.get(subject, ())))

    def subjects(self) -> list[str]:
        """Return the subjects with recorded decisions, sorted."""
        return sorted(self._by_subject)
