"""Exchange demand reports between entries, and plan moves of workers from their sum."""

import asyncio
import collections

from nutmegshelf import declarations, demand, drains, ids, messages, moves

from nutmegshelf_entry import logs, peers, slots

REPORT_INTERVAL_S = 5.0
_MAX_REPORT_AGE_INTERVALS = 3
_POLICY_NAME = "chosen"
_INITIAL_SERVICE_TIME_S = 0.05
_SMOOTHING_FACTOR = 0.2
_log = logs.get_logger("moves")


class MovePlanner:
    """The policy that moves workers between pools, fed by the last demand report of each entry."""

    def __init__(
        self, entry: ids.EntryId, peer_sockets: peers.Peers, slot_pool: slots.Slots
    ) -> None:
        self._entry = entry
        self._peers = peer_sockets
        self._slots = slot_pool
        self._reports: dict[ids.EntryId, tuple[float, messages.DemandReport]] = {}
        self._declared: declarations.DeclarationSet | None = None
        self._parameters: moves.ParametersByPool = {}
        self._policy: moves.Policy = moves.POLICIES[_POLICY_NAME]({})
        self._service_time_s: dict[ids.ServiceName, float] = {}
        self._decided_s = 0.0
        self._pool_moves: list[moves.PoolMove] = []

    async def run(self) -> None:
        """Broadcast this entry's demand in every interval, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            counters, self._slots.counters = self._slots.counters, demand.Counters()
            report = messages.DemandReport(
                sender=self._entry,
                interval_s=REPORT_INTERVAL_S,
                requests=dict(counters.asked),
                served=dict(counters.served),
                busy_s=counters.busy_s,
                failed=dict(counters.failed),
                failed_s=counters.failed_s,
            )
            self.record_report(report)
            self._peers.broadcast(report)

    def record_report(self, report: messages.DemandReport) -> None:
        """Record an entry's demand report in place of its previous one."""
        self._reports[report.sender] = (asyncio.get_running_loop().time(), report)

    def plan_moves(self, snapshot: drains.Snapshot, pool: ids.PoolName) -> list[moves.WorkerMove]:
        """Return the worker moves that the holder of a pool starts now; each is returned once."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._decided_s >= REPORT_INTERVAL_S:
            self._decided_s = now_s
            self._decide(snapshot, now_s)
        due = [move for move in self._pool_moves if move.from_pool == pool]
        self._pool_moves = [move for move in self._pool_moves if move.from_pool != pool]
        rows = [host.row for host in snapshot.hosts_by_worker.values()]
        return [worker_move for move in due for worker_move in moves.select_workers(rows, move)]

    def _decide(self, snapshot: drains.Snapshot, now_s: float) -> None:
        requests = self._sum_reports(now_s)
        if snapshot.declared is not self._declared:
            self._declared = snapshot.declared
            self._parameters = self._make_parameters(snapshot.declared)
            self._policy = moves.POLICIES[_POLICY_NAME](self._parameters)
        else:
            # The policy holds a reference to this mapping, so it uses the updated speeds.
            self._parameters.update(self._make_parameters(snapshot.declared))
        samples = {
            pool: demand.Sample(
                float(sum(requests[name] for name in _get_services(snapshot.declared, pool))),
                REPORT_INTERVAL_S,
            )
            for pool in self._parameters
        }
        rows = [host.row for host in snapshot.hosts_by_worker.values()]
        self._pool_moves = self._policy.decide(moves.get_pool_states(rows, samples), now_s)
        for move in self._pool_moves:
            _log.info(
                "A move between pools is planned.",
                giver=move.from_pool,
                taker=move.to_pool,
                reason=move.reason,
            )

    def _sum_reports(self, now_s: float) -> collections.Counter[ids.ServiceName]:
        requests: collections.Counter[ids.ServiceName] = collections.Counter()
        for entry, (received_s, report) in list(self._reports.items()):
            if now_s - received_s > _MAX_REPORT_AGE_INTERVALS * REPORT_INTERVAL_S:
                del self._reports[entry]
                continue
            requests.update(report.requests)
            for service in report.served.keys() | report.failed.keys():
                self._update_service_time(service, report)
        return requests

    def _update_service_time(self, service: ids.ServiceName, report: messages.DemandReport) -> None:
        mean_s = demand.get_mean_slot_time_s(
            report, service, self._service_time_s.get(service, _INITIAL_SERVICE_TIME_S)
        )
        average_s = self._service_time_s.get(service, mean_s)
        self._service_time_s[service] = average_s + _SMOOTHING_FACTOR * (mean_s - average_s)

    def _make_parameters(self, declared: declarations.DeclarationSet) -> moves.ParametersByPool:
        parameters: moves.ParametersByPool = {}
        for pool, pool_declaration in declared.pools.items():
            names = _get_services(declared, pool)
            if not names:
                continue
            busiest = max(names, key=lambda name: declared.services[name].wanted_minions)
            service = declared.services[busiest]
            minions_per_worker = service.wanted_minions / max(1, pool_declaration.wanted_workers)
            service_time_s = self._service_time_s.get(busiest, _INITIAL_SERVICE_TIME_S)
            speed = service.slots_per_minion * minions_per_worker / max(service_time_s, 1e-6)
            parameters[pool] = moves.PoolParameters(
                pool_declaration, speed, service.timeout_ms / 1000
            )
        return parameters


def _get_services(
    declared: declarations.DeclarationSet, pool: ids.PoolName
) -> list[ids.ServiceName]:
    return [name for name, service in declared.services.items() if service.pool == pool]
