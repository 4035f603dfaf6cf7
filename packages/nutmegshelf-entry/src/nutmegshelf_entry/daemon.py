"""Build one entry from its parts, run it and stop it gracefully."""

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

_SILENCE_BEATS = 4
_log = logs.get_logger("daemon")


class Daemon:
    """Own all parts of one entry."""

    def __init__(self, own: settings.Settings) -> None:
        self._own = own
        self._in_force = configuration.ActiveConfiguration()
        self._telemetry = telemetry.Telemetry(own.trace_fraction, own.trace_exporter)
        self._table = table.PlatformClient(
            own.platform.host, own.platform.port, own.platform.timeout_s
        )
        self._members = members.Members(own.entry, _SILENCE_BEATS * own.heartbeat_interval_s)
        self._peers = peers.Peers(own.entry, own.peers.host, own.peers.port)
        # Each part is made after those that it speaks to.
        self._make_slots(own)
        self._make_configuration(own)
        self._make_relay(own)
        self._make_membership(own)
        self._make_fleet(own)
        self._make_servers(own)
        self._add_gauges()

    def _make_slots(self, own: settings.Settings) -> None:
        self._slots = slots.Slots(own.zone, own.seats, random.Random(own.seed))
        self._pool = connections.ConnectionPool()
        # Without a seat no connection to a minion may be opened.
        self._slots.set_allocation(None)
        self._is_seated = False
        self._lending = lending.LoanBroker(
            self._slots, self._members, self._peers, random.Random(own.seed)
        )
        self._seat = seating.SeatHolder(
            self._table,
            seats.Seats(
                own.entry,
                ids.ProcessId(f"{own.entry}.{uuid.uuid4().hex[:8]}"),
                own.seats,
                own.seat_lease_s,
                own.seat_silence_limit_s,
            ),
            self._peers.address,
            self._seated,
            own.seat_interval_s,
        )

    def _make_configuration(self, own: settings.Settings) -> None:
        self._decisions = audit.DecisionLog()
        self._configurator = configurator.Configurator(
            entry=own.entry,
            store=self._table,
            active_configuration=self._in_force,
            peers=self._peers,
            directory=directory.EntryDirectory(self._members),
            on_activated=self._switched,
            on_confirmation_changed=self._confirmed,
            poll_interval_s=own.poll_interval_s,
            push=own.push,
            decisions=self._decisions,
        )
        self._collector = collector.Collector(self._table, own.collect_interval_s)

    def _make_relay(self, own: settings.Settings) -> None:
        self._claimant = claimant.Claimant(self._table, own.entry)
        self._claim_sweeper = claim_sweeper.ClaimSweeper(self._table, random.Random(own.seed))
        self._relay = relay.Relay(
            self._in_force, self._slots, self._pool, self._claimant, self._telemetry
        )
        self._relay.check_freshness = self._configurator.update_status

    def _make_membership(self, own: settings.Settings) -> None:
        self._health = health.Health(own.entry, self._peers.broadcast, self._slots.set_records)
        self._pool.on_connect_error = self._health.record_refusal
        self._pool.on_closed = self._health.request_probe
        self._fleet = health.FleetWatcher(
            self._table, self._health, own.fleet_interval_s, is_shared=self._is_shared
        )
        self._prober = health.Prober(self._health, own.probe_path)
        self._heartbeat = heartbeat.Heartbeat(
            self._table,
            self._members,
            self._peers,
            self._row,
            own.heartbeat_interval_s,
            on_reachable=self._health.targets.set_entries,
        )

    def _make_fleet(self, own: settings.Settings) -> None:
        self._fleet_decisions = decisions.create_log()
        self._planner = planner.MovePlanner(own.entry, self._peers, self._slots)
        self._pools = pools.PoolController(
            store=self._table,
            worker_service=self._table,
            list_minions=self._listed_minions,
            active_configuration=self._in_force,
            membership=self._members,
            lease_set=leases.Leases(own.entry, uuid.uuid4().hex, own.pool_lease_s),
            interval_s=own.poll_interval_s,
            rescan_interval_s=own.pool_rescan_s,
            plan_moves=self._planner.plan_moves,
            on_decision=self._fleet_decisions.append,
        )

    def _make_servers(self, own: settings.Settings) -> None:
        self._operator = operator_api.OperatorApi(
            entry_settings=own,
            active_configuration=self._in_force,
            config=self._configurator,
            config_publisher=publisher.Publisher(self._table, self._in_force),
            membership=self._members,
            metrics=self._telemetry,
            audit_log=self._decisions,
            list_minions=self._health.targets.get_records,
            fleet_decisions=self._fleet_decisions,
        )
        self._operator.list_pools = self._pools.get_pool_statuses
        self._operators_port = 0
        self._shutdown = shutdown.Shutdown(own.shutdown_grace_s, own.drain_timeout_s)
        self._callers = server.Server(
            self._relay.handle,
            server.Limits(max_connections=own.max_connections),
            make_error=problems.make_head_error,
            on_error=self._report,
        )
        self._operators = server.Server(self._operator.handle, on_error=self._report)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; ends when all work is done."""
        self._shutdown.install_signal_handlers()
        own = self._own
        self._operators_port = await self._operators.start(own.operators.host, own.operators.port)
        callers_port = await self._callers.start(own.callers.host, own.callers.port)
        _log.info("Listening.", callers=callers_port, operators=self._operators_port)
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(part) for part in self._parts()]
            await self._shutdown.wait_requested()
            self._operator.ready = False
            await self._shutdown.run(
                [self._callers, self._operators],
                self._refuse,
                self._heartbeat.send,
                [
                    self._settle_claims,
                    self._pools.release_all,
                    self._leave_seat,
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

    def _parts(self) -> list[collections.abc.Coroutine[typing.Any, typing.Any, None]]:
        return [
            self._peers.run(self._take_message),
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

    def _refuse(self) -> None:
        self._relay.refusal = exceptions.ErrorKind.SHUTTING_DOWN

    async def _settle_claims(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._own.drain_timeout_s):
                await self._claimant.wait_settled()

    async def _leave_seat(self) -> None:
        self._pool.abort()
        await self._seat.release()

    def _row(self, beat: int) -> members.EntryRow:
        own = self._own
        return members.EntryRow(
            entry=own.entry,
            zone=own.zone,
            peer_address=self._peers.address,
            operator_address=f"{own.operators.host}:{self._operators_port}",
            version=self._in_force.version,
            leaving=self._shutdown.is_stopping,
            beat=beat,
        )

    def _switched(self, accepted: configuration.Configuration) -> None:
        self._slots.set_declarations(accepted.declarations)
        self._pool.limits = self._slots.get_connection_limits()
        self._set_ready()

    def _seated(self, seated: seats.Allocation | None) -> None:
        self._slots.set_allocation(seated)
        if seated is None:
            self._pool.abort()
        self._is_seated = seated is not None
        self._set_ready()

    def _set_ready(self) -> None:
        if self._shutdown.is_stopping:
            return
        ready = self._is_seated and self._in_force.current is not None
        self._relay.refusal = None if ready else exceptions.ErrorKind.NOT_READY
        self._operator.ready = ready

    def _confirmed(self, is_confirmed: bool) -> None:
        self._relay.is_stale = not is_confirmed
        self._operator.is_stale = not is_confirmed

    def _is_shared(self) -> bool:
        return bool(self._members.get_reachable(asyncio.get_running_loop().time()))

    def _listed_minions(self) -> tuple[platform.MinionRecord, ...] | None:
        # Bad news counts as leaving, so the budgets see what has failed behind the list's lag.
        known = self._health.targets
        return known.get_records() if known.revision >= 0 else None

    async def _take_message(self, message: messages.AnyMessage) -> None:
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

    def _report(self, error: Exception) -> None:
        self._telemetry.count_fault()
        _log.error("A handler failed.", exc_info=error)

    def _add_gauges(self) -> None:
        loop, add = asyncio.get_running_loop(), self._telemetry.add_gauge
        known = self._health.targets
        add("ready", "1 where the entry is ready", lambda: self._operator.ready)
        add("connections", "Callers' open connections", lambda: self._callers.connection_count)
        add("requests_in_progress", "Callers' requests", lambda: self._callers.active_requests)
        add("entries_live", "Other live entries", lambda: len(self._members.get_live(loop.time())))
        add("fleet_revision", "Revision of the fleet list", lambda: known.revision)
        add("minions_known", "Minions on the fleet list", lambda: len(known.by_minion))
        add("minions_closed", "Minions without new work", known.count_excluded)
        add(
            "configuration_version",
            "Version of the configuration in force",
            lambda: self._in_force.version,
        )
