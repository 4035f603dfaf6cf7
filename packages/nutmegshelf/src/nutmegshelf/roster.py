"""Keep what does not change during the life of a worker: its service and its host.

An entry that gives another service or host for a listed incarnation is false, or the earlier one
was. The first one counts: a holder that called a worker of another service would stop its runs.
"""

import collections.abc

from nutmegshelf import fleetview, ids


class Roster:
    """The first services and hosts of the listed incarnations of all workers."""

    def __init__(self) -> None:
        self._known: dict[fleetview.Incarnation, fleetview.WorkerFacts] = {}
        self._contradictions: list[fleetview.WorkerFacts] = []

    def apply(
        self, listed: collections.abc.Iterable[fleetview.WorkerFacts]
    ) -> tuple[fleetview.WorkerFacts, ...]:
        """Return the entries, the last true one in the place of each that is false."""
        kept: list[fleetview.WorkerFacts] = []
        for facts in listed:
            known = self._known.setdefault(facts.incarnation, facts)
            if (known.service, known.host) == (facts.service, facts.host):
                self._known[facts.incarnation] = facts
                kept.append(facts)
            else:
                self._contradictions.append(facts)
                kept.append(known)
        # Another incarnation may hide one under the same id for a while.
        names: set[ids.WorkerId] = {facts.incarnation.worker for facts in kept}
        self._known = {each: known for each, known in self._known.items() if each.worker in names}
        return tuple(kept)

    def take_contradictions(self) -> list[fleetview.WorkerFacts]:
        """Return the false entries since the last call."""
        contradictions, self._contradictions = self._contradictions, []
        return contradictions
