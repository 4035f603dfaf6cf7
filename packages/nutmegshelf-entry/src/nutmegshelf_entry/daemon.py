"""Composition of an entry: build its components, run them and stop them gracefully."""

import asyncio
import collections.abc
import contextlib
import random
import typing
import uuid

from nutmegshelf import (
    audit,
    configuration,
    decisions,
    exceptions,
    ids,
    leases,
    members,
    messages,
    platform,
    seats,
)
from nutmegshelf_http import server

from nutmegshelf_entry import (
    claim_sweeper,
    claimant,
    collector,
    configurator,
    connections,
    directory,
    fault_log,
    health,
    heartbeat,
    lending,
    logs,
    operator_api,
    peers,
    planner,
    pools,
    problems,
    publisher,
    relay,
    seating,
    settings,
    shutdown,
    slots,
    table,
    telemetry,
)

_MEMBER_TIMEOUT_INTERVALS = 4
_log = logs.get_logger("daemon")


class Daemon:
    """All components of one entry."""

    def __init__(self, entry_settings: settings.Settings) -> None:
        self._settings = entry_settings
        self._active_configuration = configuration.ActiveConfiguration()
        self._telemetry = telemetry.Telemetry(
            entry_settings.trace_fraction, entry_settings.trace_exporter
        )
        self._table = table.PlatformClient(
            entry_settings.platform.host,
            entry_settings.platform.port,
            entry_settings.platform.timeout_s,
        )
        self._members = members.Members(
            entry_settings.entry, _MEMBER_TIMEOUT_INTERVALS * entry_settings.heartbeat_interval_s
        )
        self._peers = peers.Peers(
            entry_settings.entry, entry_settings.peers.host, entry_settings.peers.port
        )
        # Each component is created after those that it depends on.
        self._make_slots(entry_settings)
        self._make_configuration(entry_settings)
        self._make_relay(entry_settings)
        self._make_membership(entry_settings)
        self._make_fleet(entry_settings)
        self._make_servers(entry_settings)
        self._add_gauges()

    def _make_slots(self, entry_settings: settings.Settings) -> None:
        self._slots = slots.Slots(
            entry_settings.zone, entry_settings.seats, random.Random(entry_settings.seed)
        )
        self._pool = connections.ConnectionPool()
        # No connection to a minion may be opened without a seat.
        self._slots.set_allocation(None)
        self._has_seat = False
        self._lending = lending.LoanBroker(
            self._slots, self._members, self._peers, random.Random(entry_settings.seed)
        )
        self._seat = seating.SeatHolder(
            self._table,
            seats.Seats(
                entry_settings.entry,
                ids.ProcessId(f"{entry_settings.entry}.{uuid.uuid4().hex[:8]}"),
                entry_settings.seats,
                entry_settings.seat_lease_s,
                entry_settings.seat_silence_limit_s,
            ),
            self._peers.address,
            self._on_allocation_changed,
            entry_settings.seat_interval_s,
        )

    def _make_configuration(self, entry_settings: settings.Settings) -> None:
        self._decisions = audit.DecisionLog()
        self._configurator = configurator.Configurator(
            entry=entry_settings.entry,
            store=self._table,
            active_configuration=self._active_configuration,
            peers=self._peers,
            directory=directory.EntryDirectory(self._members),
            on_activated=self._on_activated,
            on_confirmation_changed=self._on_confirmation_changed,
            poll_interval_s=entry_settings.poll_interval_s,
            push=entry_settings.push,
            decisions=self._decisions,
        )
        self._collector = collector.Collector(self._table, entry_settings.collect_interval_s)

    def _make_relay(self, entry_settings: settings.Settings) -> None:
        self._claimant = claimant.Claimant(self._table, entry_settings.entry)
        self._claim_sweeper = claim_sweeper.ClaimSweeper(
            self._table, random.Random(entry_settings.seed)
        )
        self._relay = relay.Relay(
            self._active_configuration, self._slots, self._pool, self._claimant, self._telemetry
        )
        self._relay.check_freshness = self._configurator.update_status

    def _make_membership(self, entry_settings: settings.Settings) -> None:
        self._health = health.Health(
            entry_settings.entry, self._peers.broadcast, self._slots.set_records
        )
        self._pool.on_connect_error = self._health.record_refusal
        self._pool.on_closed = self._health.request_probe
        self._fleet = health.FleetWatcher(
            self._table,
            self._health,
            entry_settings.fleet_interval_s,
            is_shared=self._has_reachable_peers,
        )
        self._prober = health.Prober(self._health, entry_settings.probe_path)
        self._heartbeat = heartbeat.Heartbeat(
            self._table,
            self._members,
            self._peers,
            self._make_row,
            entry_settings.heartbeat_interval_s,
            on_reachable=self._health.targets.set_entries,
        )

    def _make_fleet(self, entry_settings: settings.Settings) -> None:
        self._fleet_decisions = decisions.create_log()
        self._planner = planner.MovePlanner(entry_settings.entry, self._peers, self._slots)
        self._pools = pools.PoolController(
            store=self._table,
            worker_service=self._table,
            list_minions=self._list_minions,
            active_configuration=self._active_configuration,
            membership=self._members,
            lease_set=leases.Leases(
                entry_settings.entry, uuid.uuid4().hex, entry_settings.pool_lease_s
            ),
            interval_s=entry_settings.poll_interval_s,
            rescan_interval_s=entry_settings.pool_rescan_s,
            plan_moves=self._planner.plan_moves,
            on_decision=self._fleet_decisions.append,
        )

    def _make_servers(self, entry_settings: settings.Settings) -> None:
        self._operator = operator_api.OperatorApi(
            entry_settings=entry_settings,
            active_configuration=self._active_configuration,
            config=self._configurator,
            config_publisher=publisher.Publisher(self._table, self._active_configuration),
            membership=self._members,
            metrics=self._telemetry,
            audit_log=self._decisions,
            list_minions=self._health.targets.get_records,
            fleet_decisions=self._fleet_decisions,
        )
        self._operator.list_pools = self._pools.get_pool_statuses
        self._operators_port = 0
        self._shutdown = shutdown.Shutdown(
            entry_settings.shutdown_grace_s, entry_settings.drain_timeout_s
        )
        self._caller_faults = fault_log.FaultLog("callers")
        self._callers = server.Server(
            self._relay.handle,
            server.Limits(max_connections=entry_settings.max_connections),
            make_error=problems.make_fault_response,
            on_fault=self._report_fault,
        )
        self._operators = server.Server(
            self._operator.handle, on_fault=fault_log.FaultLog("operators").write
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and stop all components."""
        self._shutdown.install_signal_handlers()
        entry_settings = self._settings
        self._operators_port = await self._operators.start(
            entry_settings.operators.host, entry_settings.operators.port
        )
        callers_port = await self._callers.start(
            entry_settings.callers.host, entry_settings.callers.port
        )
        _log.info("Listening.", callers=callers_port, operators=self._operators_port)
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(coroutine) for coroutine in self._get_run_coroutines()]
            await self._shutdown.wait_requested()
            self._operator.ready = False
            await self._shutdown.run(
                [self._callers, self._operators],
                self._refuse_requests,
                self._heartbeat.send,
                [
                    self._settle_claims,
                    self._pools.release_all,
                    self._release_seat,
                    self._heartbeat.deregister,
                ],
            )
            await shutdown.cancel_all(tasks)
        await self._callers.close()
        await self._operators.close()
        self._pool.close_idle()
        self._peers.close()
        self._table.close()
        _log.info("Stopped.")

    def _get_run_coroutines(self) -> list[collections.abc.Coroutine[typing.Any, typing.Any, None]]:
        return [
            self._peers.run(self._handle_message),
            self._heartbeat.run(),
            self._seat.run(),
            self._configurator.run(),
            self._collector.run(),
            self._fleet.run(),
            self._prober.run(),
            self._pools.run(),
            self._claimant.run(),
            self._claim_sweeper.run(),
            self._planner.run(),
        ]

    def _refuse_requests(self) -> None:
        self._relay.refusal = exceptions.ErrorKind.SHUTTING_DOWN

    async def _settle_claims(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.drain_timeout_s):
                await self._claimant.wait_settled()

    async def _release_seat(self) -> None:
        self._pool.abort()
        await self._seat.release()

    def _make_row(self, beat: int) -> members.EntryRow:
        entry_settings = self._settings
        return members.EntryRow(
            entry=entry_settings.entry,
            zone=entry_settings.zone,
            peer_address=self._peers.address,
            operator_address=f"{entry_settings.operators.host}:{self._operators_port}",
            version=self._active_configuration.version,
            leaving=self._shutdown.is_stopping,
            beat=beat,
        )

    def _on_activated(self, accepted: configuration.Configuration) -> None:
        self._slots.set_declarations(accepted.declarations)
        self._pool.limits = self._slots.get_connection_limits()
        self._update_readiness()

    def _on_allocation_changed(self, allocation: seats.Allocation | None) -> None:
        self._slots.set_allocation(allocation)
        if allocation is None:
            self._pool.abort()
        self._has_seat = allocation is not None
        self._update_readiness()

    def _update_readiness(self) -> None:
        if self._shutdown.is_stopping:
            return
        is_ready = self._has_seat and self._active_configuration.current is not None
        self._relay.refusal = None if is_ready else exceptions.ErrorKind.NOT_READY
        self._operator.ready = is_ready

    def _on_confirmation_changed(self, is_confirmed: bool) -> None:
        self._relay.is_stale = not is_confirmed
        self._operator.is_stale = not is_confirmed

    def _has_reachable_peers(self) -> bool:
        return bool(self._members.get_reachable(asyncio.get_running_loop().time()))

    def _list_minions(self) -> tuple[platform.MinionRecord, ...] | None:
        # Excluded minions are reported as leaving, so that the budgets account for failures before
        # the lagging fleet list does.
        targets = self._health.targets
        return targets.get_records() if targets.revision >= 0 else None

    async def _handle_message(self, message: messages.AnyMessage) -> None:
        self._members.record_contact(message.sender, asyncio.get_running_loop().time())
        self._seat.record_contact(message.sender)
        match message:
            case messages.MinionsExcluded() | messages.MinionsRecovered():
                self._health.handle_message(message)
            case messages.DemandReport():
                self._planner.record_report(message)
            case messages.Hello():
                if self._heartbeat.handle_hello(message.row):
                    self._health.broadcast_exclusions()
            case messages.SlotsRequested():
                self._lending.handle_request(message)
            case messages.SlotsLent():
                self._lending.handle_loan(message)
            case messages.SlotsReturned():
                self._lending.handle_return(message)
            case _:
                self._configurator.handle_message(message)

    def _report_fault(self, fault: server.Fault) -> None:
        self._telemetry.count_fault(fault)
        self._caller_faults.write(fault)

    def _add_gauges(self) -> None:
        loop, add = asyncio.get_running_loop(), self._telemetry.add_gauge
        targets = self._health.targets
        add("ready", "1 where the entry is ready", lambda: self._operator.ready)
        add("connections", "Callers' open connections", lambda: self._callers.connection_count)
        add("requests_in_progress", "Callers' requests", lambda: self._callers.active_requests)
        add("entries_live", "Other live entries", lambda: len(self._members.get_live(loop.time())))
        add("fleet_revision", "Revision of the fleet list", lambda: targets.revision)
        add("minions_known", "Minions on the fleet list", lambda: len(targets.by_minion))
        add("minions_closed", "Minions without new work", targets.count_excluded)
        add(
            "configuration_version",
            "Version of the configuration in force",
            lambda: self._active_configuration.version,
        )
