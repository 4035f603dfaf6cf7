"""Keep what does not change during the life of a worker: its service and its host.

An entry that gives another service or host for a listed incarnation is false, or the earlier one
was. The first one counts: a holder that called a worker of another service would stop its runs.
"""

import collections.abc

from nutmegshelf import fleetview, ids

# Incarnations that are remembered beyond the listed ones, as others under their ids hide them.
_MAX_HIDDEN = 1_000


class Roster:
    """The first services and hosts of the listed incarnations of all workers."""

    def __init__(self) -> None:
        self._known: dict[fleetview.Incarnation, fleetview.WorkerFacts] = {}
        self._contradictions: list[fleetview.WorkerFacts] = []

    def apply(
        self, listed: collections.abc.Iterable[fleetview.WorkerFacts]
    ) -> tuple[fleetview.WorkerFacts, ...]:
        """Return the entries, the last consistent one in the place of each that is false."""
        kept: list[fleetview.WorkerFacts] = []
        for facts in listed:
            # The incarnations listed last are the last ones of the mapping.
            known = self._known.pop(facts.incarnation, facts)
            is_consistent = (known.service, known.host) == (facts.service, facts.host)
            if not is_consistent:
                self._contradictions.append(facts)
            self._known[facts.incarnation] = facts if is_consistent else known
            kept.append(self._known[facts.incarnation])
        self._forget_ended(kept)
        return tuple(kept)

    def _forget_ended(self, kept: list[fleetview.WorkerFacts]) -> None:
        # Another incarnation may hide one under the same id for a while.
        names: set[ids.WorkerId] = {facts.incarnation.worker for facts in kept}
        remembered = [each for each in self._known if each.worker in names]
        excess = max(0, len(remembered) - len(kept) - _MAX_HIDDEN)
        self._known = {each: self._known[each] for each in remembered[excess:]}

    def take_contradictions(self) -> list[fleetview.WorkerFacts]:
        """Return the false entries since the last call."""
        contradictions, self._contradictions = self._contradictions, []
        return contradictions
