"""Account for what an earlier holder of a service may have started.

Its tasks run at lives of workers that it used. Each life has to say what runs there, or has to have
ended: its host runs a later life or another worker, or left the pool, or its lease ran out.
"""

import collections.abc

from nutmegshelf import fleetview, ids, rebalancing

Incarnations = dict[fleetview.Incarnation, ids.HostId]
Workers = collections.abc.Mapping[fleetview.Incarnation, fleetview.Worker]


class Takeover:
    """Own which lives are still to be accounted for."""

    def __init__(self, *, began_s: float, lease_expiry_s: float, is_needed: bool) -> None:
        self.is_reconciled = not is_needed
        # What an earlier holder leased may run until then.
        self.leases_expire_s = began_s + lease_expiry_s if is_needed else 0.0
        self._expected: Incarnations = {}
        # Lives that ended, though the fleet's list may still have them.
        self._over: set[fleetview.Incarnation] = set()

    def expect(
        self, lives: collections.abc.Iterable[tuple[fleetview.Incarnation, ids.HostId]]
    ) -> None:
        """Note which lives an earlier holder used; one that isn't listed may still run tasks."""
        self._expected = dict(lives)

    def has_ended(self, life: fleetview.Incarnation) -> bool:
        """Say whether a life has surely ended."""
        return life in self._over

    def get_unreported(self, workers: Workers) -> Incarnations:
        """Give the lives whose word is missing."""
        if self.is_reconciled:
            return {}
        lives = {life: at for life, at in self._expected.items() if life not in workers}
        for life, worker in workers.items():
            if not worker.is_polled:
                lives[life] = worker.facts.host
        return lives

    def drop_ended(
        self,
        lives: Incarnations,
        views: collections.abc.Iterable[rebalancing.HostView],
        pool: ids.ServiceName,
    ) -> list[fleetview.Incarnation]:
        """Give the lives that have ended, by a list of all hosts that is newer than they are."""
        by_host = {view.host: view for view in views}
        found: list[fleetview.Incarnation] = []
        for life, host in lives.items():
            view = by_host.get(host)
            if view is not None and view.pool == pool and view.worker in (None, life.worker):
                continue
            self._over.add(life)
            self._expected.pop(life, None)
            found.append(life)
        return found

    def is_host_reconciled(self, host: ids.HostId, at_host: list[fleetview.Worker]) -> bool:
        """Say whether all lives at a host are accounted for.

        A worker that answered this holder takes no order of an earlier one any more.
        """
        known = {worker.facts.incarnation for worker in at_host}
        lacking = {life for life, at in self._expected.items() if at == host} - known
        newest = max((life.born_ms for life in known), default=-1)
        return (
            bool(at_host)
            and all(worker.is_polled for worker in at_host)
            and all(life.born_ms < newest for life in lacking)
        )

    def reconcile(self, workers: Workers, now_s: float) -> bool:
        """Say whether everything became accounted for just now."""
        if self.is_reconciled:
            return False
        self.is_reconciled = now_s > self.leases_expire_s or self._is_all_heard(workers)
        return self.is_reconciled

    def _is_all_heard(self, workers: Workers) -> bool:
        born = {worker.facts.host: life.born_ms for life, worker in workers.items()}
        for life, host in self._expected.items():
            # A later life at the same host says that this one has ended.
            if life not in workers and born.get(host, -1) <= life.born_ms:
                return False
        return all(worker.is_polled for worker in workers.values())
