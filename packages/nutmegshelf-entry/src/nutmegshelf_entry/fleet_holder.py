"""Move hosts between pools and take them down for upkeep while this entry holds the fleet."""

import asyncio
import collections
import collections.abc
import dataclasses
import time

from nutmegshelf import (
    calls,
    codecs,
    exceptions,
    ids,
    leases,
    platform,
    queues,
    rebalancing,
    registry,
    upkeep,
    views,
)

from nutmegshelf_entry import inspection, loading, logs, ports, writer

FLEET = ids.PoolName("*fleet")
_WAVES = f"waves/{FLEET}/"
_ORDERED = f"ordered/{FLEET}/hosts"
_TICK_S = 0.15
_PLAN_GAP_S = 0.03
# The first holder of all waits until the hosts have started.
_START_S = 2.0
_LIST_INTERVAL_S = 1.0
_LIST_BUSY_INTERVAL_S = 0.4
# Hosts that are down hold others of their wave up until they are seen to be back.
_LIST_WAVE_INTERVAL_S = 0.2
_PLACE_INTERVAL_S = 0.05
_RETRY_S = 0.25
_NOTE_INTERVAL_S = 0.5
_ASK_LIMIT_S = 0.6
_GIVE_INTERVAL_S = 0.15
# A pool whose holder has not reported for this long is left alone.
_REPORT_AGE_S = 1.5
# An order goes out by the time that was announced for it, or not at all.
_ANNOUNCE_RESERVE_S = 0.15
# It is carried out within this time after that.
_ORDER_S = 0.3
_CLEARING_LIMIT_S = 12.0
_MOVE_CLEARING_LIMIT_S = 0.3
# A host that was not cleared in time is not asked for again for a while.
_KEPT_S = 1.0
# The same for upkeep: its pool takes the host for tasks again meanwhile.
_UPKEEP_KEPT_S = 6.0

_log = logs.get_logger("fleet")

CallHolder = collections.abc.Callable[
    [calls.AnyCall, float], collections.abc.Awaitable[calls.Reply | None]
]


class FleetHolder:
    """Own the orders about hosts, one at a time for each host."""

    def __init__(
        self,
        rows: ports.RowStore,
        hosts: ports.HostClient,
        lease_set: leases.Leases,
        active_queues: queues.ActiveQueues,
        call_holder: CallHolder,
        *,
        waves: dict[int, upkeep.Wave],
        upkeep_s: float,
        quiet_s: float,
        max_lease_age_s: float,
        acquired_s: float,
    ) -> None:
        self.epoch = lease_set.held[FLEET].lease.epoch
        self._entry = lease_set.entry
        self.writer = writer.Writer(rows, lease_set, FLEET, acquired_s)
        self._rows = rows
        self._hosts = hosts
        self._active_queues = active_queues
        self._call_holder = call_holder
        self._waves = waves
        self._upkeep_s = upkeep_s
        self._quiet_s = quiet_s
        self._start_s = _START_S if self.epoch == 1 else 0.0
        # Hosts that this or an earlier holder gave orders for, with the time until which another
        # holder's would come too soon after.
        self._ordered_s: dict[ids.HostId, float] = {}
        self._resting_s: dict[ids.HostId, float] = {}
        self._max_lease_age_s = max_lease_age_s
        # Hosts that their pool did not give, with the time until which others are chosen.
        self._kept_s: dict[ids.HostId, float] = {}
        self._loop = asyncio.get_running_loop()
        self._woken = asyncio.Event()
        self._views: dict[ids.HostId, rebalancing.HostView] = {}
        self._listed_s = -1.0
        self._demands: dict[ids.ServiceName, tuple[float, calls.DemandReport]] = {}
        self._epochs: dict[ids.ServiceName, ids.Epoch] = {}
        self._moving: dict[ids.HostId, ids.ServiceName] = {}
        self._working: dict[ids.HostId, asyncio.Task[None]] = {}
        self._planner = rebalancing.Planner()
        # What was decided since this holder began, for the metrics.
        self.outcome_counts: collections.Counter[str] = collections.Counter()
        self._noted_s = 0.0
        self._plans: dict[int, upkeep.WavePlan] = {}
        self._stored_waves: dict[int, upkeep.WaveRow] = {}
        self._group: asyncio.TaskGroup | None = None

    async def handle_call(self, call: calls.AnyCall) -> calls.Reply:
        """Take a service's report of its demand."""
        if isinstance(call, calls.Inspect):
            return self._inspect(call)
        if not isinstance(call, calls.ReportDemand):
            return calls.Reply(status=calls.Status.NOT_HOLDER)
        if call.epoch < self._epochs.get(call.pool, call.epoch):
            return calls.Reply(status=calls.Status.NOT_HOLDER)
        self._epochs[call.pool] = call.epoch
        self._demands[call.pool] = (self._loop.time(), call.report)
        if call.report.cpu_waiting:
            self._woken.set()
        return calls.Reply(status=calls.Status.DONE)

    def _inspect(self, call: calls.Inspect) -> calls.Reply:
        age_s = self.writer.lease_age_s
        own = views.make_holder_view(call.service, self._entry, self.epoch, age_s, None)
        return inspection.inspect_fleet(
            call, self._views.values(), self._planner.wanted_hosts, self._plans, own
        )

    async def run(self) -> None:
        """Serve until the lease is lost; raises LeaseLost."""
        async with asyncio.TaskGroup() as group:
            self._group = group
            # Loading may take longer than the lease lasts, so it is renewed meanwhile.
            group.create_task(self.writer.run(registry.JobRegistry(0)))
            await self._load()
            group.create_task(self._list())
            await asyncio.sleep(self._start_s)
            while True:
                if self._may_order():
                    self._plan_waves()
                    self._plan_moves()
                try:
                    async with asyncio.timeout(_TICK_S):
                        await self._woken.wait()
                except TimeoutError:
                    continue  # Waves go on by time alone.
                self._woken.clear()
                await asyncio.sleep(_PLAN_GAP_S)

    async def _load(self) -> None:
        rows = await loading.read_with_retries(FLEET, lambda: self._rows.scan(_WAVES))
        ordered = await loading.read_with_retries(FLEET, lambda: self._rows.read(_ORDERED))
        found = [codecs.unpack(row.value, upkeep.WaveRow) for row in rows]
        self._stored_waves = {row.number: row for row in found}
        if ordered.version:
            now_s, clock_ms = self._loop.time(), self._rows.get_clock_ms()
            for host, at_ms in codecs.unpack(ordered.value, dict[ids.HostId, float]).items():
                age_s = 0.0
                # Where the order's age is not known, it may have been sent just now.
                if clock_ms is not None and at_ms > 0:
                    age_s = max(0.0, (clock_ms - at_ms) / 1000)
                self._resting_s[host] = now_s + self._quiet_s + _ORDER_S - age_s

    def _may_order(self) -> bool:
        return self.writer.lease_age_s < self._max_lease_age_s and self._listed_s >= 0

    async def _list(self) -> None:
        while True:
            try:
                views = await self._hosts.list_hosts()
                self._views = {view.host: view for view in views}
                self._listed_s = self._loop.time()
            except exceptions.HostsError as error:
                _log.warning("The hosts can't be listed.", why=str(error))
            if any(plan.down_since_s for plan in self._plans.values()):
                await asyncio.sleep(_LIST_WAVE_INTERVAL_S)
            else:
                await asyncio.sleep(_LIST_BUSY_INTERVAL_S if self._working else _LIST_INTERVAL_S)

    # --- waves

    def _plan_waves(self) -> None:
        now_ms, now_s = int(time.time() * 1000), self._loop.time()
        for number, wave in list(self._waves.items()):
            plan = self._plans.get(number)
            if plan is None:
                row = self._stored_waves.get(number)
                if row is not None and row.is_finished:
                    continue
                plan = upkeep.WavePlan(wave, row or upkeep.WaveRow(number=number, began_ms=now_ms))
                self._plans[number] = plan
                self._store(plan)
                self._spawn_report(number, is_finished=False)
            if not plan.row.is_finished:
                self._advance(plan, now_ms, now_s)

    def _advance(self, plan: upkeep.WavePlan, now_ms: int, now_s: float) -> None:
        for host, since_s in list(plan.down_since_s.items()):
            view = self._views.get(host)
            back = view is None or view.state is rebalancing.HostState.UP
            if back and self._listed_s > since_s + self._upkeep_s:
                del plan.down_since_s[host]
        left = plan.get_remaining(set(self._views))
        if not left:
            if not plan.clearing_since_s:
                plan.row.is_finished = True
                _log.info("A wave is done.", wave=plan.wave.number)
                self._store(plan)
                self._spawn_report(plan.wave.number, is_finished=True)
            return
        candidates = [
            self._candidate(self._views[host])
            for host in left
            if host not in self._working and self._views[host].state is rebalancing.HostState.UP
        ]
        candidates = [
            one
            for one in candidates
            if not self._rests(one.host) and now_s >= self._kept_s.get(one.host, 0.0)
        ]
        for host in plan.choose(candidates, self._away(), now_ms, self._upkeep_s):
            plan.clearing_since_s[host] = now_s
            self._spawn(host, self._do_upkeep(plan, host))

    def _candidate(self, view: rebalancing.HostView) -> upkeep.Candidate:
        _, report = self._demands.get(view.pool, (0.0, None))
        load = report.hosts.get(view.host) if report else None
        return upkeep.Candidate(
            host=view.host,
            is_off=self._is_spare(view.pool),
            idle_s=load.idle_s if load else None,
            long_running_count=load.long_running_count if load else 0,
            cpu_millis=load.cpu_millis if load else 0,
        )

    async def _do_upkeep(self, plan: upkeep.WavePlan, host: ids.HostId) -> None:
        try:
            if not await self._go_down(plan, self._views[host]):
                plan.defer(host)
                self._kept_s[host] = self._loop.time() + _UPKEEP_KEPT_S
                return
            if not await self._announce(host):
                plan.down_since_s.pop(host, None)
                return
            order = self._hosts.start_upkeep(host, plan.wave.number, self.epoch)
            ordered = await self._order(host, order)
            self.outcome_counts[f"upkeep {_outcome(ordered)}"] += 1
            _log.info("Upkeep.", host=host, wave=plan.wave.number, outcome=_outcome(ordered))
            if ordered in (ports.HostOrderOutcome.DONE, None):
                # An order without an answer may have been carried out.
                plan.down_since_s[host] = self._loop.time()
            else:
                plan.down_since_s.pop(host, None)
            if ordered in (ports.HostOrderOutcome.DONE, ports.HostOrderOutcome.NOT_DUE):
                plan.row.done.add(host)
                self._store(plan)
        finally:
            plan.clearing_since_s.pop(host, None)

    async def _go_down(self, plan: upkeep.WavePlan, view: rebalancing.HostView) -> bool:
        """Clear a host, and keep it clear until one of the wave's places is free."""
        while await self._clear(view, "upkeep", _CLEARING_LIMIT_S, only_idle=False):
            if plan.try_begin(view.host, self._away(), self._loop.time()):
                return True
            await asyncio.sleep(_PLACE_INTERVAL_S)
        return False

    def _away(self) -> set[ids.HostId]:
        resting = {host for host in self._resting_s if self._rests(host)}
        return upkeep.find_hosts_down(self._views.values(), resting)

    def _store(self, plan: upkeep.WavePlan) -> None:
        key = f"{_WAVES}{plan.wave.number}"
        self.writer.write(platform.Write(key, codecs.pack(plan.row)))

    def _spawn_report(self, number: int, *, is_finished: bool) -> None:
        assert self._group is not None
        self._group.create_task(self._report(number, is_finished))

    async def _report(self, number: int, is_finished: bool) -> None:
        while True:
            try:
                await self._hosts.report_wave(number, is_finished=is_finished)
                return
            except exceptions.TableError as error:
                _log.warning("A wave's state can't be told.", wave=number, why=str(error))
                await asyncio.sleep(_RETRY_S)

    # --- moves

    def _plan_moves(self) -> None:
        now_s, routes = self._loop.time(), self._active_queues.routes
        fresh = {
            pool: report
            for pool, (at_s, report) in self._demands.items()
            if now_s - at_s < _REPORT_AGE_S
        }
        if not fresh or routes is None:
            return
        if routes.declared.host_costs is not None:
            self._planner.costs = routes.declared.host_costs
        self._note_plan(fresh, now_s)
        held = set(self._working) | {host for host in self._resting_s if self._rests(host)}
        self._kept_s = {host: at_s for host, at_s in self._kept_s.items() if now_s < at_s}
        held |= self._kept_s.keys()
        for plan in self._plans.values():
            held |= plan.down_since_s.keys()
        views = self._views_after_moves()
        is_complete = all(queue.service in fresh for queue in routes.declared.queues)
        for move in self._planner.plan(
            views, fresh, held, routes.spare_service, now_s, is_complete=is_complete
        ):
            self._moving[move.host] = move.target
            self._spawn(move.host, self._do_move(move))

    def _views_after_moves(self) -> list[rebalancing.HostView]:
        """Give the hosts as they are when the moves under way are done."""
        return [
            (
                dataclasses.replace(
                    view, pool=self._moving[host], state=rebalancing.HostState.MOVING
                )
                if host in self._moving
                else view
            )
            for host, view in self._views.items()
        ]

    def _note_plan(self, fresh: dict[ids.ServiceName, calls.DemandReport], now_s: float) -> None:
        if now_s - self._noted_s < _NOTE_INTERVAL_S:
            return
        self._noted_s = now_s
        hosts = collections.Counter(view.pool for view in self._views.values())
        _log.info(
            "What pools have and need.",
            pools={
                pool: {
                    "hosts": hosts[pool],
                    "wanted": self._planner.wanted_hosts.get(pool),
                    "in_turn": self._planner.bursts.is_bursting(pool),
                    "idle": len(report.idle_s),
                    "cpu_running": report.cpu_running,
                    "cpu_waiting": report.cpu_waiting,
                }
                for pool, report in sorted(fresh.items())
            },
            forecast=str(self._planner.bursts.forecast(now_s)),
        )

    async def _do_move(self, move: rebalancing.Move) -> None:
        view = self._views[move.host]
        if not await self._clear(view, move.reason, _MOVE_CLEARING_LIMIT_S, only_idle=True):
            self._kept_s[move.host] = self._loop.time() + _KEPT_S
            return
        if not await self._announce(move.host):
            return
        ordered = await self._order(move.host, self._hosts.move(move, self.epoch))
        self.outcome_counts[f"move {_outcome(ordered)}"] += 1
        _log.info(
            "Move.",
            host=move.host,
            pool=move.pool,
            target=move.target,
            reason=move.reason,
            outcome=_outcome(ordered),
        )
        if ordered is ports.HostOrderOutcome.DONE:
            self._views[move.host] = dataclasses.replace(
                view, pool=move.target, state=rebalancing.HostState.MOVING
            )

    # --- both

    def _spawn(self, host: ids.HostId, work: collections.abc.Coroutine[None, None, None]) -> None:
        assert self._group is not None
        task = self._group.create_task(work)
        self._working[host] = task
        task.add_done_callback(lambda _: self._end_work(host))

    def _end_work(self, host: ids.HostId) -> None:
        self._working.pop(host, None)
        self._moving.pop(host, None)

    def _is_spare(self, pool: str) -> bool:
        routes = self._active_queues.routes
        service = routes.services.get(ids.ServiceName(pool)) if routes else None
        return service is not None and service.is_spare

    async def _clear(
        self, view: rebalancing.HostView, reason: str, limit_s: float, *, only_idle: bool
    ) -> bool:
        """Have the host's holder clear it; says whether nothing runs there."""
        if self._is_spare(view.pool):
            return True
        until_s = self._loop.time() + limit_s
        while self._loop.time() < until_s:
            call = calls.EvacuateHost(
                service=view.pool, host=view.host, reason=reason, only_idle=only_idle
            )
            reply = await self._call_holder(call, _ASK_LIMIT_S)
            if reply is not None and reply.status is calls.Status.DONE:
                return True
            await asyncio.sleep(_GIVE_INTERVAL_S)
        self.outcome_counts["not cleared"] += 1
        _log.info("A host was not cleared in time.", host=view.host, reason=reason)
        return False

    def _rests(self, host: ids.HostId) -> bool:
        return self._loop.time() < self._resting_s.get(host, 0.0)

    async def _announce(self, host: ids.HostId) -> bool:
        """Store that the host is about to get an order; says whether it may still be sent."""
        now_s, clock_ms = self._loop.time(), self._rows.get_clock_ms()
        # The order goes out once this is stored: after the transaction under way and one more.
        due_s = now_s + 2 * self.writer.store_duration_s + _ANNOUNCE_RESERVE_S
        self._ordered_s[host] = due_s
        recent = {
            one: clock_ms + (at_s - now_s) * 1000 if clock_ms is not None else 0.0
            for one, at_s in sorted(self._ordered_s.items())
            if now_s - at_s < 2 * self._quiet_s
        }
        await self.writer.write_and_wait(platform.Write(_ORDERED, codecs.pack(recent)))
        # The next holder counts from the time that was stored, so a late order must not go out.
        return self._may_order() and self._loop.time() <= due_s

    async def _order(
        self, host: ids.HostId, order: collections.abc.Awaitable[ports.HostOrderOutcome]
    ) -> ports.HostOrderOutcome | None:
        try:
            return await order
        except exceptions.HostsError as error:
            _log.warning("An order about a host got no answer.", host=host, why=str(error))
            return None


def _outcome(ordered: ports.HostOrderOutcome | None) -> str:
    return ordered.value if ordered is not None else "unknown"
