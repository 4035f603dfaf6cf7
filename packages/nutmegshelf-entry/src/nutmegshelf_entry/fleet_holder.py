"""Order moves and upkeep of hosts while this entry holds the fleet lease."""

import asyncio
import collections
import collections.abc
import dataclasses
import time

from nutmegshelf import (
    calls,
    codecs,
    exceptions,
    hostlist,
    ids,
    leases,
    platform,
    queues,
    rebalancing,
    registry,
    upkeep,
    views,
)

from nutmegshelf_entry import inspection, loading, logs, ports, rowcodec, writer

FLEET = ids.PoolName("*fleet")
_WAVES_PREFIX = f"waves/{FLEET}/"
_ORDERS_KEY = f"ordered/{FLEET}/hosts"
_PLAN_INTERVAL_S = 0.15
_MIN_PLAN_GAP_S = 0.03
# The holder with the first epoch waits until the hosts have started.
_FIRST_HOLDER_DELAY_S = 2.0
_LIST_INTERVAL_S = 1.0
_LIST_BUSY_INTERVAL_S = 0.4
# Other hosts of a wave wait until a host that is down is listed as up again.
_LIST_WAVE_INTERVAL_S = 0.2
_WAVE_CAPACITY_INTERVAL_S = 0.05
_REPORT_RETRY_S = 0.25
_LOG_INTERVAL_S = 0.5
_EVACUATE_CALL_TIMEOUT_S = 0.6
_EVACUATE_INTERVAL_S = 0.15
# Pools whose holder has not reported for this long are left out of the plan.
_MAX_REPORT_AGE_S = 1.5
# Added to the expected time of storing an announcement; the order is dropped after that.
_ANNOUNCEMENT_MARGIN_S = 0.15
# The platform carries out an order within this time after it was sent.
_ORDER_DURATION_S = 0.3
_UPKEEP_EVACUATION_TIMEOUT_S = 12.0
_MOVE_EVACUATION_TIMEOUT_S = 0.3
# A host that was not evacuated in time for a move is not chosen again for this long.
_MOVE_RETRY_S = 1.0
# The same for upkeep; its pool uses the host for tasks again in the meantime.
_UPKEEP_RETRY_S = 6.0

_log = logs.get_logger("fleet")

CallHolder = collections.abc.Callable[
    [calls.AnyCall, float], collections.abc.Awaitable[calls.Reply | None]
]


class FleetHolder:
    """The holder of the fleet lease, which orders moves and upkeep, one at a time per host."""

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
        self._quiet_period_s = quiet_s
        self._initial_delay_s = _FIRST_HOLDER_DELAY_S if self.epoch == 1 else 0.0
        # The latest time at which this holder sends its order, by host.
        self._order_due_s: dict[ids.HostId, float] = {}
        # Until when an order would come too soon after one of an earlier holder, by host.
        self._quiet_until_s: dict[ids.HostId, float] = {}
        self._max_lease_age_s = max_lease_age_s
        # Hosts that were not evacuated in time, with the time until which others are chosen.
        self._retry_at_s: dict[ids.HostId, float] = {}
        self._loop = asyncio.get_running_loop()
        self._demand_arrived = asyncio.Event()
        self._host_list = hostlist.HostList()
        self._demands: dict[ids.ServiceName, tuple[float, calls.DemandReport]] = {}
        self._demand_epochs: dict[ids.ServiceName, ids.Epoch] = {}
        self._move_targets: dict[ids.HostId, ids.ServiceName] = {}
        self._active_orders: dict[ids.HostId, asyncio.Task[None]] = {}
        self._planner = rebalancing.Planner()
        # Outcomes of orders since this holder started, for the metrics.
        self.outcome_counts: collections.Counter[str] = collections.Counter()
        self._logged_at_s = 0.0
        self._wave_plans: dict[int, upkeep.WavePlan] = {}
        self._wave_rows: dict[int, upkeep.WaveRow] = {}
        self._group: asyncio.TaskGroup | None = None

    def has_unanswered_starts(self) -> bool:
        """Return False, as this holder starts no tasks."""
        return False

    def has_unfinished_jobs(self) -> bool:
        """Return False, as this holder has no jobs."""
        return False

    async def handle_call(self, call: calls.AnyCall) -> calls.Reply:
        """Record a service's demand report, or show operators the state of the fleet."""
        if isinstance(call, calls.Inspect):
            return self._inspect(call)
        if not isinstance(call, calls.ReportDemand):
            return calls.Reply(status=calls.Status.NOT_HOLDER)
        if call.epoch < self._demand_epochs.get(call.pool, call.epoch):
            return calls.Reply(status=calls.Status.NOT_HOLDER)
        self._demand_epochs[call.pool] = call.epoch
        self._demands[call.pool] = (self._loop.time(), call.report)
        if call.report.cpu_waiting:
            self._demand_arrived.set()
        return calls.Reply(status=calls.Status.DONE)

    def _inspect(self, call: calls.Inspect) -> calls.Reply:
        age_s = self.writer.lease_age_s
        holder_view = views.make_holder_view(call.service, self._entry, self.epoch, age_s, None)
        return inspection.inspect_fleet(
            call,
            self._host_list.views.values(),
            self._planner.wanted_hosts,
            self._wave_plans,
            holder_view,
        )

    async def run(self) -> None:
        """Plan and send orders until the lease is lost; raises LeaseLost."""
        async with asyncio.TaskGroup() as group:
            self._group = group
            # Loading may take longer than the lease lasts, so the lease is renewed meanwhile.
            group.create_task(self.writer.run(registry.JobRegistry(0)))
            await self._load()
            group.create_task(self._poll_hosts())
            await asyncio.sleep(self._initial_delay_s)
            while True:
                if self._may_send_orders():
                    self._plan_waves()
                    self._plan_moves()
                try:
                    async with asyncio.timeout(_PLAN_INTERVAL_S):
                        await self._demand_arrived.wait()
                except TimeoutError:
                    continue  # Waves advance with time, without any report.
                self._demand_arrived.clear()
                await asyncio.sleep(_MIN_PLAN_GAP_S)

    async def _load(self) -> None:
        wave_rows = await loading.read_with_retries(FLEET, lambda: self._rows.scan(_WAVES_PREFIX))
        orders_row = await loading.read_with_retries(FLEET, lambda: self._rows.read(_ORDERS_KEY))
        # A wave whose row is malformed begins anew; the platform accepts upkeep that is done again.
        decoded = [rowcodec.decode(row, upkeep.WaveRow) for row in wave_rows]
        self._wave_rows = {row.number: row for row in decoded if row is not None}
        if orders_row.version:
            now_s, clock_ms = self._loop.time(), self._rows.get_clock_ms()
            recent_orders = rowcodec.decode(orders_row, dict[ids.HostId, float])
            if recent_orders is None:
                # Any host may just have got an order.
                self._initial_delay_s += self._quiet_period_s + _ORDER_DURATION_S
                recent_orders = {}
            for host, due_ms in recent_orders.items():
                age_s = 0.0
                # An order of unknown age may have been sent just now.
                if clock_ms is not None and due_ms > 0:
                    age_s = max(0.0, (clock_ms - due_ms) / 1000)
                self._quiet_until_s[host] = now_s + self._quiet_period_s + _ORDER_DURATION_S - age_s

    def _may_send_orders(self) -> bool:
        return self.writer.lease_age_s < self._max_lease_age_s and self._host_list.is_known

    async def _poll_hosts(self) -> None:
        while True:
            try:
                requested_s = self._loop.time()
                self._host_list.update(await self._hosts.list_hosts(), requested_s)
            except exceptions.HostsError as error:
                _log.warning("Listing the hosts failed.", why=str(error))
            if any(plan.down_since_s for plan in self._wave_plans.values()):
                await asyncio.sleep(_LIST_WAVE_INTERVAL_S)
            else:
                await asyncio.sleep(
                    _LIST_BUSY_INTERVAL_S if self._active_orders else _LIST_INTERVAL_S
                )

    # --- maintenance waves

    def _plan_waves(self) -> None:
        now_ms, now_s = int(time.time() * 1000), self._loop.time()
        for number, wave in list(self._waves.items()):
            plan = self._wave_plans.get(number)
            if plan is None:
                row = self._wave_rows.get(number)
                if row is not None and row.is_finished:
                    continue
                plan = upkeep.WavePlan(wave, row or upkeep.WaveRow(number=number, began_ms=now_ms))
                self._wave_plans[number] = plan
                self._store_wave(plan)
                self._start_wave_report(plan, is_finished=False)
            if not plan.row.is_finished:
                self._advance_wave(plan, now_ms, now_s)

    def _advance_wave(self, plan: upkeep.WavePlan, now_ms: int, now_s: float) -> None:
        for host, since_s in list(plan.down_since_s.items()):
            view = self._host_list.views.get(host)
            is_back = view is None or view.state is rebalancing.HostState.UP
            if is_back and self._host_list.requested_s > since_s + self._upkeep_s:
                del plan.down_since_s[host]
        remaining = plan.get_remaining(set(self._host_list.views))
        if not remaining:
            if not plan.clearing_since_s:
                plan.row.is_finished = True
                _log.info("A maintenance wave finished.", wave=plan.wave.number)
                self._start_wave_report(plan, is_finished=True)
            return
        # An order without an answer may have taken a host down, though no list shows it yet.
        maybe_down = self._find_hosts_maybe_down()
        candidates = [
            self._make_candidate(self._host_list.views[host])
            for host in remaining
            if host not in self._active_orders
            and host not in maybe_down
            and self._host_list.views[host].state is rebalancing.HostState.UP
        ]
        candidates = [
            candidate
            for candidate in candidates
            if not self._is_quiet(candidate.host)
            and now_s >= self._retry_at_s.get(candidate.host, 0.0)
        ]
        for host in plan.choose(candidates, self._find_hosts_down(), now_ms, self._upkeep_s):
            plan.clearing_since_s[host] = now_s
            _log.info(
                "A host is evacuated for its upkeep.",
                host=host,
                wave=plan.wave.number,
                elapsed_s=round(now_ms / 1000 - plan.row.began_ms / 1000, 1),
                remaining=len(remaining),
            )
            self._start_order(host, self._maintain_host(plan, host))

    def _make_candidate(self, view: rebalancing.HostView) -> upkeep.Candidate:
        _, report = self._demands.get(view.pool, (0.0, None))
        load = report.hosts.get(view.host) if report else None
        return upkeep.Candidate(
            host=view.host,
            is_off=self._is_spare(view.pool),
            idle_s=load.idle_s if load else None,
            long_running_count=load.long_running_count if load else 0,
            cpu_millis=load.cpu_millis if load else 0,
        )

    async def _maintain_host(self, plan: upkeep.WavePlan, host: ids.HostId) -> None:
        try:
            if not await self._prepare_upkeep(plan, self._host_list.views[host]):
                plan.defer(host)
                self._retry_at_s[host] = self._loop.time() + _UPKEEP_RETRY_S
                return
            if not await self._announce_order(host):
                plan.down_since_s.pop(host, None)
                return
            order = self._hosts.start_upkeep(host, plan.wave.number, self.epoch)
            outcome = await self._send_order(host, order)
            self.outcome_counts[f"upkeep {_get_outcome_label(outcome)}"] += 1
            _log.info(
                "Upkeep.", host=host, wave=plan.wave.number, outcome=_get_outcome_label(outcome)
            )
            if outcome in (ports.HostOrderOutcome.DONE, ports.HostOrderOutcome.UNAVAILABLE, None):
                # An order that got no answer may have been carried out; it is not repeated at once,
                # nor is one that the platform couldn't accept.
                plan.down_since_s[host] = self._loop.time()
            else:
                plan.down_since_s.pop(host, None)
            if outcome in (ports.HostOrderOutcome.DONE, ports.HostOrderOutcome.NOT_DUE):
                plan.row.done.add(host)
                self._store_wave(plan)
        finally:
            plan.clearing_since_s.pop(host, None)

    async def _prepare_upkeep(self, plan: upkeep.WavePlan, view: rebalancing.HostView) -> bool:
        """Evacuate a host, and keep it empty until the wave's bound allows one more host down."""
        while await self._evacuate(view, "upkeep", _UPKEEP_EVACUATION_TIMEOUT_S, only_idle=False):
            if plan.try_begin(view.host, self._find_hosts_down(), self._loop.time()):
                return True
            await asyncio.sleep(_WAVE_CAPACITY_INTERVAL_S)
        return False

    def _find_hosts_maybe_down(self) -> set[ids.HostId]:
        """Return the hosts that no list has shown as up again since their order."""
        return {host for plan in self._wave_plans.values() for host in plan.down_since_s}

    def _find_hosts_down(self) -> set[ids.HostId]:
        recently_ordered = {host for host in self._quiet_until_s if self._is_quiet(host)}
        return upkeep.find_hosts_down(self._host_list.views.values(), recently_ordered)

    def _store_wave(self, plan: upkeep.WavePlan) -> None:
        key = f"{_WAVES_PREFIX}{plan.wave.number}"
        self.writer.write(platform.Write(key, codecs.pack(plan.row)))

    def _start_wave_report(self, plan: upkeep.WavePlan, *, is_finished: bool) -> None:
        assert self._group is not None
        self._group.create_task(self._report_wave(plan, is_finished))

    async def _report_wave(self, plan: upkeep.WavePlan, is_finished: bool) -> None:
        number = plan.wave.number
        while True:
            try:
                await self._hosts.report_wave(number, is_finished=is_finished)
                break
            except exceptions.TableError as error:
                _log.warning(
                    "Reporting the state of a maintenance wave failed.", wave=number, why=str(error)
                )
                await asyncio.sleep(_REPORT_RETRY_S)
        if is_finished:
            # The next holder doesn't report a wave that is stored as finished.
            self._store_wave(plan)

    # --- moves

    def _plan_moves(self) -> None:
        now_s, routes = self._loop.time(), self._active_queues.routes
        fresh_reports = {
            pool: report
            for pool, (at_s, report) in self._demands.items()
            if now_s - at_s < _MAX_REPORT_AGE_S
        }
        if not fresh_reports or routes is None:
            return
        if routes.declared.host_costs is not None:
            self._planner.costs = routes.declared.host_costs
        self._log_pools(fresh_reports, now_s)
        reserved = set(self._active_orders) | {
            host for host in self._quiet_until_s if self._is_quiet(host)
        }
        self._retry_at_s = {host: at_s for host, at_s in self._retry_at_s.items() if now_s < at_s}
        reserved |= self._retry_at_s.keys()
        reserved |= self._find_hosts_maybe_down()
        views = self._project_moves()
        is_complete = all(service in fresh_reports for service in routes.held_services)
        for move in self._planner.plan(
            views, fresh_reports, reserved, routes.spare_service, now_s, is_complete=is_complete
        ):
            self._move_targets[move.host] = move.target
            self._start_order(move.host, self._move_host(move))

    def _project_moves(self) -> list[rebalancing.HostView]:
        """Return the hosts as they will be once the moves in progress are done."""
        return [
            (
                dataclasses.replace(
                    view, pool=self._move_targets[host], state=rebalancing.HostState.MOVING
                )
                if host in self._move_targets
                else view
            )
            for host, view in self._host_list.views.items()
        ]

    def _log_pools(
        self, fresh_reports: dict[ids.ServiceName, calls.DemandReport], now_s: float
    ) -> None:
        if now_s - self._logged_at_s < _LOG_INTERVAL_S:
            return
        self._logged_at_s = now_s
        host_counts = collections.Counter(view.pool for view in self._host_list.views.values())
        _log.info(
            "What pools have and need.",
            pools={
                pool: {
                    "hosts": host_counts[pool],
                    "wanted": self._planner.wanted_hosts.get(pool),
                    "in_turn": self._planner.bursts.is_bursting(pool),
                    "idle": len(report.idle_s),
                    "cpu_running": report.cpu_running,
                    "cpu_waiting": report.cpu_waiting,
                }
                for pool, report in sorted(fresh_reports.items())
            },
            forecast=str(self._planner.bursts.forecast(now_s)),
        )

    async def _move_host(self, move: rebalancing.Move) -> None:
        view = self._host_list.views[move.host]
        if not await self._evacuate(view, move.reason, _MOVE_EVACUATION_TIMEOUT_S, only_idle=True):
            self._retry_at_s[move.host] = self._loop.time() + _MOVE_RETRY_S
            return
        if not await self._announce_order(move.host):
            return
        outcome = await self._send_order(move.host, self._hosts.move(move, self.epoch))
        self.outcome_counts[f"move {_get_outcome_label(outcome)}"] += 1
        _log.info(
            "Move.",
            host=move.host,
            pool=move.pool,
            target=move.target,
            reason=move.reason,
            outcome=_get_outcome_label(outcome),
        )
        if outcome is ports.HostOrderOutcome.DONE:
            self._host_list.record_move(move.host, move.target, self._loop.time())
        elif outcome is None:
            # The next list shows whether the platform has carried it out.
            listed_from_s = self._loop.time() + _ORDER_DURATION_S
            self._host_list.record_move(move.host, move.target, listed_from_s)

    # --- orders about hosts

    def _start_order(
        self, host: ids.HostId, order: collections.abc.Coroutine[None, None, None]
    ) -> None:
        assert self._group is not None
        task = self._group.create_task(order)
        self._active_orders[host] = task
        task.add_done_callback(lambda _: self._finish_order(host))

    def _finish_order(self, host: ids.HostId) -> None:
        self._active_orders.pop(host, None)
        self._move_targets.pop(host, None)

    def _is_spare(self, pool: str) -> bool:
        routes = self._active_queues.routes
        service = routes.services.get(ids.ServiceName(pool)) if routes else None
        return service is not None and service.is_spare

    async def _evacuate(
        self, view: rebalancing.HostView, reason: str, timeout_s: float, *, only_idle: bool
    ) -> bool:
        """Have the holder of a host's pool evacuate it; return whether nothing runs there."""
        if self._is_spare(view.pool):
            return True
        deadline_s = self._loop.time() + timeout_s
        while self._loop.time() < deadline_s:
            call = calls.EvacuateHost(
                service=view.pool, host=view.host, reason=reason, only_idle=only_idle
            )
            reply = await self._call_holder(call, _EVACUATE_CALL_TIMEOUT_S)
            if reply is not None and reply.status is calls.Status.DONE:
                return True
            await asyncio.sleep(_EVACUATE_INTERVAL_S)
        self.outcome_counts["not cleared"] += 1
        _log.info("A host was not cleared in time.", host=view.host, reason=reason)
        return False

    def _is_quiet(self, host: ids.HostId) -> bool:
        return self._loop.time() < self._quiet_until_s.get(host, 0.0)

    async def _announce_order(self, host: ids.HostId) -> bool:
        """Store that the host is about to get an order; return whether it may still be sent."""
        now_s, clock_ms = self._loop.time(), self._rows.get_clock_ms()
        # The order is sent once this is stored: after the current transaction and one more.
        due_s = now_s + 2 * self.writer.store_duration_s + _ANNOUNCEMENT_MARGIN_S
        self._order_due_s[host] = due_s
        recent_orders = {
            other: clock_ms + (order_due_s - now_s) * 1000 if clock_ms is not None else 0.0
            for other, order_due_s in sorted(self._order_due_s.items())
            if now_s - order_due_s < 2 * self._quiet_period_s
        }
        await self.writer.write_and_wait(platform.Write(_ORDERS_KEY, codecs.pack(recent_orders)))
        # The next holder counts the quiet period from the stored time, so a late order is dropped.
        return self._may_send_orders() and self._loop.time() <= due_s

    async def _send_order(
        self, host: ids.HostId, order: collections.abc.Awaitable[ports.HostOrderOutcome]
    ) -> ports.HostOrderOutcome | None:
        """Return the outcome of an order, or None if it may have been carried out."""
        try:
            return await order
        except exceptions.HostsUnavailable as error:
            _log.warning("An order for a host was not accepted.", host=host, why=str(error))
            return ports.HostOrderOutcome.UNAVAILABLE
        except exceptions.HostsError as error:
            _log.warning("An order for a host got no answer.", host=host, why=str(error))
            return None


def _get_outcome_label(outcome: ports.HostOrderOutcome | None) -> str:
    return outcome.value if outcome is not None else "unknown"
