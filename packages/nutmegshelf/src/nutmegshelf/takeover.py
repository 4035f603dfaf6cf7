"""Account for the runs that an earlier holder of a service may have started.

They run at incarnations of workers that it used. Each incarnation has to report its runs or to have
ended: a later one answers at its host, or its host runs another worker or left the pool, or its
lease has expired.
"""

import collections.abc
import dataclasses

from nutmegshelf import fleetview, ids, rebalancing

Incarnations = dict[fleetview.Incarnation, ids.HostId]
Workers = collections.abc.Mapping[fleetview.Incarnation, fleetview.Worker]


class Takeover:
    """The incarnations of workers that still have to report or to be proven ended."""

    def __init__(self, *, began_s: float, lease_expiry_s: float, is_needed: bool) -> None:
        self.is_reconciled = not is_needed
        # Runs under leases of an earlier holder may go on until then.
        self.leases_expire_s = began_s + lease_expiry_s if is_needed else 0.0
        self._expected: Incarnations = {}
        # All of them, also once they have ended.
        self._used: Incarnations = {}
        # A start sent to one incarnation may be carried out by a later one under the same id.
        self._used_ids: frozenset[ids.WorkerId] = frozenset()
        # Whether incarnations beyond the expected ones may run tasks.
        self._is_incomplete = False
        # Incarnations that ended, though the fleet's list may still contain them.
        self._ended: set[fleetview.Incarnation] = set()

    def expect(
        self, incarnations: collections.abc.Iterable[tuple[fleetview.Incarnation, ids.HostId]]
    ) -> None:
        """Set the incarnations an earlier holder used; unlisted ones may still run tasks."""
        self._expected = dict(incarnations)
        self._used = dict(self._expected)
        self._used_ids = frozenset(incarnation.worker for incarnation in self._used)

    def expect_unknown(self) -> None:
        """Set that any incarnation may run tasks of an earlier holder until its leases expire."""
        self._is_incomplete = True

    def expect_none(self) -> None:
        """Set that no earlier holder can have started anything."""
        self.is_reconciled = True
        self.leases_expire_s = 0.0

    def get_expected(self) -> Incarnations | None:
        """Return the incarnations that an earlier holder used, or None if they are unknown."""
        return None if self._is_incomplete else self._expected

    def record_ended(self, incarnation: fleetview.Incarnation) -> None:
        """Record that an incarnation is proven to have ended."""
        self._expected.pop(incarnation, None)

    def _is_unaccounted_for(self, worker: fleetview.Worker) -> bool:
        """Return whether a worker may run tasks of an earlier holder that it has not reported."""
        is_expected = self._is_incomplete or worker.facts.incarnation.worker in self._used_ids
        return is_expected and not worker.is_accounted_for

    def correct_host(self, facts: fleetview.WorkerFacts) -> fleetview.WorkerFacts:
        """Return an entry with the host that an earlier holder knew, which the answers proved."""
        host = self._used.get(facts.incarnation, facts.host)
        return facts if host == facts.host else dataclasses.replace(facts, host=host)

    def has_ended(self, incarnation: fleetview.Incarnation) -> bool:
        """Return whether an incarnation is proven to have ended."""
        return incarnation in self._ended

    def get_unreported(self, workers: Workers) -> Incarnations:
        """Return the incarnations that have neither reported nor ended."""
        if self.is_reconciled:
            return {}
        incarnations = {
            incarnation: host
            for incarnation, host in self._expected.items()
            if incarnation not in workers
        }
        for incarnation, worker in workers.items():
            if self._is_unaccounted_for(worker):
                incarnations[incarnation] = worker.facts.host
        return incarnations

    def drop_ended(
        self,
        incarnations: Incarnations,
        views: collections.abc.Iterable[rebalancing.HostView],
        pool: ids.ServiceName,
    ) -> list[fleetview.Incarnation]:
        """Drop the incarnations that ended according to a newer list of all hosts; return them."""
        by_host = {view.host: view for view in views}
        ended: list[fleetview.Incarnation] = []
        for incarnation, host in incarnations.items():
            view = by_host.get(host)
            if view is not None and view.pool == pool and view.worker in (None, incarnation.worker):
                continue
            self._ended.add(incarnation)
            self._expected.pop(incarnation, None)
            ended.append(incarnation)
        return ended

    def is_host_reconciled(self, host: ids.HostId, at_host: list[fleetview.Worker]) -> bool:
        """Return whether all incarnations at a host are accounted for.

        A worker that answered this holder rejects orders of an earlier one from then on.
        """
        identified = [worker for worker in at_host if worker.identified_s is not None]
        present = {worker.facts.incarnation for worker in identified}
        missing = {
            incarnation
            for incarnation, expected_host in self._expected.items()
            if expected_host == host
        } - present
        newest = max((incarnation.born_ms for incarnation in present), default=-1)
        return (
            not self._is_incomplete
            and bool(identified)
            and not any(self._is_unaccounted_for(worker) for worker in at_host)
            and all(incarnation.born_ms < newest for incarnation in missing)
        )

    def update(self, workers: Workers, now_s: float) -> None:
        """Set whether every incarnation is accounted for, which stays so once it is."""
        if self.is_reconciled:
            return
        if any(worker.is_polled and not worker.is_report_complete for worker in workers.values()):
            # This holder extends their leases, so that their runs have not lapsed by any time.
            return
        self.is_reconciled = now_s > self.leases_expire_s or self._have_all_reported(workers)

    def _have_all_reported(self, workers: Workers) -> bool:
        if self._is_incomplete:
            return False
        newest_born_ms = {
            worker.facts.host: incarnation.born_ms
            for incarnation, worker in workers.items()
            if worker.identified_s is not None
        }
        for incarnation, host in self._expected.items():
            # A later incarnation that answers at the same host proves that this one ended.
            if incarnation not in workers and newest_born_ms.get(host, -1) <= incarnation.born_ms:
                return False
        return not any(self._is_unaccounted_for(worker) for worker in workers.values())
