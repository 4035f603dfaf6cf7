"""Decide which workers have ended, by what workers answer.

An entry of the fleet's list says whom to call. It proves nothing of another worker, as any program
may write one. A worker under the same id or at the same host has ended once another one answers
and it doesn't: a worker that answered a call sent after the last contact with the other one is the
later of the two.
"""

import collections
import collections.abc

from nutmegshelf import fleetview

Workers = collections.abc.Mapping[fleetview.Incarnation, fleetview.Worker]


class Succession:
    """The workers that claim one host or id, and those that are proven to have ended."""

    def __init__(self) -> None:
        # The list may still contain these.
        self._ended: set[fleetview.Incarnation] = set()
        # The workers that claim what a worker claims, itself included, if there are others.
        self._claimants: dict[fleetview.Incarnation, list[list[fleetview.Worker]]] = {}
        self._rivals: set[fleetview.Incarnation] = set()

    def has_ended(self, incarnation: fleetview.Incarnation) -> bool:
        """Return whether an incarnation is proven to have ended."""
        return incarnation in self._ended

    def record_ended(self, incarnation: fleetview.Incarnation) -> None:
        """Record that an incarnation has ended."""
        self._ended.add(incarnation)

    def forget_unlisted(self, listed: collections.abc.Collection[fleetview.Incarnation]) -> None:
        """Forget the ended incarnations that the list no longer contains."""
        self._ended.intersection_update(listed)

    def update(self, workers: Workers) -> None:
        """Find the workers that claim the same host or id; each group has one owner at most."""
        by_claim: dict[tuple[str, str], list[fleetview.Worker]] = collections.defaultdict(list)
        for incarnation, worker in workers.items():
            by_claim["id", incarnation.worker].append(worker)
            if worker.facts.host:
                by_claim["host", worker.facts.host].append(worker)
        self._claimants, self._rivals = {}, set()
        for claimants in by_claim.values():
            if len(claimants) < 2:
                continue
            identified = [each for each in claimants if each.identified_s is not None]
            owner = min(identified, key=lambda each: each.identified_s or 0.0, default=None)
            for worker in claimants:
                self._claimants.setdefault(worker.facts.incarnation, []).append(claimants)
                if owner is not None and worker is not owner:
                    self._rivals.add(worker.facts.incarnation)

    def is_rival(self, incarnation: fleetview.Incarnation) -> bool:
        """Return whether another worker, not known to have ended, was identified there before."""
        return incarnation in self._rivals

    def find_replaced(
        self, incarnation: fleetview.Incarnation
    ) -> list[tuple[fleetview.Worker, fleetview.Worker]]:
        """Return the workers proven to have ended, each with the one that proves it.

        They are found after an answer, or a call without one, of the given incarnation.
        """
        replaced: dict[fleetview.Incarnation, tuple[fleetview.Worker, fleetview.Worker]] = {}
        for claimants in self._claimants.get(incarnation, ()):
            identified = [each for each in claimants if each.identified_s is not None]
            latest = max(identified, key=lambda each: each.poll_sent_s, default=None)
            for worker in claimants:
                if latest is not None and _has_replaced(latest, worker):
                    replaced[worker.facts.incarnation] = worker, latest
        return list(replaced.values())


def get_last_contact_s(worker: fleetview.Worker) -> float:
    """Return when a worker answered or, if it never did, when it was first listed."""
    return max(worker.added_s, worker.heard_s)


def _has_replaced(worker: fleetview.Worker, other: fleetview.Worker) -> bool:
    """Return whether a worker answered a call sent after the last contact with a silent one."""
    return other.unresponsive_since_s is not None and worker.poll_sent_s > get_last_contact_s(other)
