"""Keep the last decisions by subject, so that operators can ask why."""

import collections
import dataclasses

import msgspec

MAX_DECISIONS_PER_SUBJECT = 16
MAX_SUBJECTS = 4096


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """Say what was decided on a subject, when and why."""

    kind: str
    subject: str
    reason: str
    at_s: float


@dataclasses.dataclass(slots=True)
class DecisionLog:
    """Hold a bounded ring of decisions a subject; the subject quiet longest goes first."""

    max_subjects: int = MAX_SUBJECTS
    _rings: collections.OrderedDict[str, collections.deque[Decision]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def add(self, decision: Decision) -> None:
        """Keep a decision."""
        ring = self._rings.setdefault(
            decision.subject, collections.deque(maxlen=MAX_DECISIONS_PER_SUBJECT)
        )
        ring.append(decision)
        self._rings.move_to_end(decision.subject)
        if len(self._rings) > self.max_subjects:
            self._rings.popitem(last=False)

    def get(self, subject: str) -> list[Decision]:
        """Give the decisions on a subject, the newest first."""
        return list(reversed(self._rings.get(subject, ())))

    def subjects(self) -> list[str]:
        """Give all subjects with decisions."""
        return sorted(self._rings)
