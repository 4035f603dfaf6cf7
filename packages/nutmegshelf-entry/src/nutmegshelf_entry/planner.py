"""Share what entries are asked, and plan moves of workers from the sum."""

import asyncio
import collections

from nutmegshelf import declarations, demand, drains, ids, messages, moves

from nutmegshelf_entry import logs, peers, slots

REPORT_INTERVAL_S = 5.0
_SILENT_INTERVALS = 3
_POLICY = "chosen"
_FIRST_SERVICE_TIME_S = 0.05
_TIME_WEIGHT = 0.2
_log = logs.get_logger("moves")


class MovePlanner:
    """Own the policy for moves and the last reports of all entries."""

    def __init__(self, own: ids.EntryId, sockets: peers.Peers, slot_owner: slots.Slots) -> None:
        self._own = own
        self._peers = sockets
        self._slots = slot_owner
        self._reports: dict[ids.EntryId, tuple[float, messages.DemandReport]] = {}
        self._declared: declarations.DeclarationSet | None = None
        self._terms: moves.ParametersByPool = {}
        self._policy: moves.Policy = moves.POLICIES[_POLICY]({})
        self._service_time_s: dict[ids.ServiceName, float] = {}
        self._decided_s = 0.0
        self._shifts: list[moves.PoolMove] = []

    async def run(self) -> None:
        """Report the own demand to all entries for ever."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            tally, self._slots.counters = self._slots.counters, demand.Counters()
            report = messages.DemandReport(
                sender=self._own,
                interval_s=REPORT_INTERVAL_S,
                requests=dict(tally.asked),
                served=dict(tally.served),
                busy_s=tally.busy_s,
                failed=dict(tally.failed),
                failed_s=tally.failed_s,
            )
            self.record_report(report)
            self._peers.broadcast(report)

    def record_report(self, report: messages.DemandReport) -> None:
        """Take an entry's report."""
        self._reports[report.sender] = (asyncio.get_running_loop().time(), report)

    def plan_moves(self, view: drains.Snapshot, pool: ids.PoolName) -> list[moves.WorkerMove]:
        """Give the transfers that a pool's holder is to begin now."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._decided_s >= REPORT_INTERVAL_S:
            self._decided_s = now_s
            self._decide(view, now_s)
        due = [shift for shift in self._shifts if shift.from_pool == pool]
        self._shifts = [shift for shift in self._shifts if shift.from_pool != pool]
        rows = [host.row for host in view.hosts_by_worker.values()]
        return [transfer for shift in due for transfer in moves.select_workers(rows, shift)]

    def _decide(self, view: drains.Snapshot, now_s: float) -> None:
        asked = self._sum_reports(now_s)
        if view.declared is not self._declared:
            self._declared = view.declared
            self._terms = self._make_terms(view.declared)
            self._policy = moves.POLICIES[_POLICY](self._terms)
        else:
            # The policy shares the mapping, and so sees the speeds as they are learned.
            self._terms.update(self._make_terms(view.declared))
        samples = {
            pool: demand.Sample(
                float(sum(asked[name] for name in _services_of(view.declared, pool))),
                REPORT_INTERVAL_S,
            )
            for pool in self._terms
        }
        rows = [host.row for host in view.hosts_by_worker.values()]
        self._shifts = self._policy.decide(moves.get_pool_states(rows, samples), now_s)
        for shift in self._shifts:
            _log.info(
                "A move pays.", giver=shift.from_pool, taker=shift.to_pool, reason=shift.reason
            )

    def _sum_reports(self, now_s: float) -> collections.Counter[ids.ServiceName]:
        asked: collections.Counter[ids.ServiceName] = collections.Counter()
        for entry, (heard_s, report) in list(self._reports.items()):
            if now_s - heard_s > _SILENT_INTERVALS * REPORT_INTERVAL_S:
                del self._reports[entry]
                continue
            asked.update(report.requests)
            for service in report.served.keys() | report.failed.keys():
                self._learn_time(service, report)
        return asked

    def _learn_time(self, service: ids.ServiceName, report: messages.DemandReport) -> None:
        mean_s = demand.get_mean_slot_time_s(
            report, service, self._service_time_s.get(service, _FIRST_SERVICE_TIME_S)
        )
        known_s = self._service_time_s.get(service, mean_s)
        self._service_time_s[service] = known_s + _TIME_WEIGHT * (mean_s - known_s)

    def _make_terms(self, declared: declarations.DeclarationSet) -> moves.ParametersByPool:
        terms: moves.ParametersByPool = {}
        for pool, found in declared.pools.items():
            names = _services_of(declared, pool)
            if not names:
                continue
            busiest = max(names, key=lambda name: declared.services[name].wanted_minions)
            service = declared.services[busiest]
            minions_each = service.wanted_minions / max(1, found.wanted_workers)
            time_s = self._service_time_s.get(busiest, _FIRST_SERVICE_TIME_S)
            speed = service.slots_per_minion * minions_each / max(time_s, 1e-6)
            terms[pool] = moves.PoolParameters(found, speed, service.timeout_ms / 1000)
        return terms


def _services_of(
    declared: declarations.DeclarationSet, pool: ids.PoolName
) -> list[ids.ServiceName]:
    return [name for name, service in declared.services.items() if service.pool == pool]
