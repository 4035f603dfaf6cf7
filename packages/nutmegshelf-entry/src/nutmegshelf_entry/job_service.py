"""Put the parts of the job service together, apart from its sockets."""

import asyncio
import collections.abc
import dataclasses
import random
import uuid

import msgspec
from nutmegshelf import (
    calls,
    codecs,
    exceptions,
    fleetview,
    ids,
    jobs,
    leases,
    members,
    platform,
    queues,
    upkeep,
    window,
)

from nutmegshelf_entry import (
    advisor,
    fleet_holder,
    forwarder,
    histograms,
    holder,
    job_handler,
    job_router,
    lease_manager,
    logs,
    ports,
    sender,
)

# Others may take a lease over when it was not renewed for this long.
LEASE_DURATION_S = 2.5
# What runs at a worker ends this long after the last look, if no look renews it.
TASK_LEASE_S = 5.0
# A holder gives no orders when it could not renew its lease for this long.
MAX_LEASE_AGE_S = 2.2
# Callers may ask for a job's state for this long after its end; a job that is handed in again
# later than this would run again.
ENDED_JOB_RETENTION_S = 600.0
# A busy holder starts some 600 tasks a second, each with up to 4 KB of specification.
_AMPLE_LINK_MBPS = 20.0
# An entry with a slower link leaves leases to others for this long; longer than an entry with an
# ample link waits that holds two already.
_SLOW_LINK_DELAY_S = 0.5
_MOST_SHOWN_FAULTS = 5
_INBOX_WAIT_S = 2.0
_RETRY_S = 0.25
_SETTINGS_INTERVAL_S = 10.0
_DEMAND_INTERVAL_S = 0.15
_DEMAND_LIMIT_S = 0.4
_BYTES_S_MBPS = 1e6 / 8
# The load is looked at this often, and written down once a second while there is any.
_LOAD_TICK_S = 0.1
_LOAD_LINE_S = 1.0
# A loop that is later than this tells of a busy processor.
_LATE_S = 0.1

_log = logs.get_logger("service")


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Name where a socket listens."""

    host: str
    port: int

    @property
    def address(self) -> str:
        """Give host and port as one text."""
        return f"{self.host}:{self.port}"


class JobSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the settings of one entry that serves jobs."""

    entry: ids.EntryId
    zone: ids.ZoneName
    callers: Endpoint
    ready: Endpoint
    peers: Endpoint
    metrics: Endpoint | None = None
    grace_s: float = 6.0
    upkeep_s: float = 2.0
    quiet_s: float = 3.0
    task_lease_s: float = TASK_LEASE_S
    ended_kept_s: float = ENDED_JOB_RETENTION_S
    # A configuration that was accepted has to be in force within this time.
    apply_s: float = 2.0
    # None where it is not known.
    link_mbps: float | None = None
    cores: float | None = None
    log_level: str = "info"


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """Hold what an adapter gives the daemon."""

    rows: ports.RowStore
    workers: ports.WorkerClient
    codec: job_handler.Codec
    hosts: ports.HostClient
    advice: ports.PolicyClient | None
    load_settings: collections.abc.Callable[[], JobSettings]
    watch_operations: collections.abc.Callable[
        [],
        collections.abc.AsyncIterator[queues.QueueSet | upkeep.Wave | queues.VersionConfirmation],
    ]
    watch_fleet: collections.abc.Callable[
        [], collections.abc.AsyncIterator[tuple[fleetview.WorkerFacts, ...]]
    ]


class JobService:
    """Own what an entry knows and holds, and the tasks that keep it up."""

    def __init__(self, own: JobSettings, adapters: Adapters, peers: ports.PeerClient) -> None:
        self.active_queues = queues.ActiveQueues(own.apply_s)
        self.on_limits_changed: collections.abc.Callable[[queues.Limits], None] = (
            lambda limits: None
        )
        self.is_leaving = False
        self.timings = histograms.Histograms()
        self.incarnation = uuid.uuid4().hex
        self._own = own
        self._adapters = adapters
        self._waves: dict[int, upkeep.Wave] = {}
        self._fleet: tuple[fleetview.WorkerFacts, ...] = ()
        has_slow_link = own.link_mbps is not None and own.link_mbps < _AMPLE_LINK_MBPS
        self._book = leases.Leases(
            own.entry,
            self.incarnation,
            LEASE_DURATION_S,
            own.peers.address,
            delay_s=_SLOW_LINK_DELAY_S if has_slow_link else 0.0,
        )
        self._members = members.Members(own.entry, lease_manager.MEMBER_TIMEOUT_S)
        self.lease_manager = lease_manager.LeaseManager(
            adapters.rows,
            self._book,
            self._members,
            row=self._row,
            make=self._make_holder,
            peers=peers,
        )
        link_bytes_s = own.link_mbps * _BYTES_S_MBPS if own.link_mbps is not None else None
        self._under_way = window.Window(link_bytes_s, own.cores)
        self._transport = sender.Transport(
            window.StartRouter(self._under_way), peers, self._other_entries
        )
        self._forwarder = forwarder.Forwarder(adapters.workers, self._under_way)
        self.job_router = job_router.JobRouter(
            adapters.rows, self.lease_manager, peers, self.active_queues, self._forwarder
        )
        self._advisor = advisor.Advisor(adapters.advice, self._own_holders)
        self._random = random.Random(self.incarnation)
        # How late timers fired at most in the last second.
        self._late_s = 0.0

    async def run(self) -> None:
        """Follow what is declared and what happens, and hold a share of the services."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_operators())
            group.create_task(self._follow_fleet())
            group.create_task(self._follow_inbox())
            group.create_task(self._tell_demand())
            group.create_task(self._advisor.run())
            group.create_task(self._follow_settings())
            group.create_task(self.lease_manager.run())
            group.create_task(self._watch_load())

    def get_gauges(self) -> dict[str, dict[str, float]]:
        """Give what is so now, for the metrics."""
        held = self._own_holders()
        routes = self.active_queues.routes
        now_s = asyncio.get_running_loop().time()
        age_s = now_s - self.active_queues.changed_s
        unconfirmed_s = now_s - self.active_queues.confirmed_s
        return {
            "configuration_version": {"entry": float(routes.declared.version) if routes else 0.0},
            "configuration_age_seconds": {"entry": age_s if routes else 0.0},
            "configuration_unconfirmed_seconds": {"entry": unconfirmed_s if routes else 0.0},
            "workers_listed": {"entry": float(len(self._fleet))},
            "orders_waiting": {"entry": float(self._under_way.waiting_orders)},
            "orders_under_way": {"entry": float(self._under_way.orders_in_flight)},
            "orders_queue_seconds": {"entry": self._under_way.get_queue_delay_s(now_s)},
            "loop_late_seconds": {"entry": self._late_s},
            "lease_age_seconds": {one.pool: one.writer.lease_age_s for one in held},
            "jobs_live": {one.pool: float(one.count_live_jobs()) for one in held},
        }

    def count_events(self) -> dict[str, dict[str, float]]:
        """Give how often each decision was taken by the services held here."""
        found: dict[str, dict[str, float]] = {
            one.pool: dict(one.notes.totals) for one in self._own_holders()
        }
        fleet = self.lease_manager.get_holder(fleet_holder.FLEET)
        if isinstance(fleet, fleet_holder.FleetHolder):
            found[fleet_holder.FLEET] = dict(fleet.outcome_counts)
        return found

    def reload(self) -> None:
        """Take changed settings; what is held goes on under the old ones."""
        try:
            changed = self._adapters.load_settings()
        except exceptions.DeclarationError as error:
            _log.error("Changed settings can't be used.", why=str(error))
            return
        if changed == self._own:
            return
        before, self._own = self._own, changed
        fields = [
            name
            for name in changed.__struct_fields__
            if getattr(changed, name) != getattr(before, name)
        ]
        _log.info("Settings were reloaded.", changed=fields)

    async def _follow_settings(self) -> None:
        # The file may change without a signal.
        while True:
            await asyncio.sleep(_SETTINGS_INTERVAL_S)
            self.reload()

    async def _watch_load(self) -> None:
        loop, load = asyncio.get_running_loop(), self._under_way
        while True:
            began_s, late_s = loop.time(), 0.0
            sent, sent_bytes = load.sent_orders, load.sent_bytes
            while loop.time() < began_s + _LOAD_LINE_S:
                due_s = loop.time() + _LOAD_TICK_S
                await asyncio.sleep(_LOAD_TICK_S)
                late_s = max(late_s, loop.time() - due_s)
            self._late_s = late_s
            if load.sent_orders == sent and late_s < _LATE_S:
                continue
            _log.info(
                "Orders to workers.",
                sent=load.sent_orders - sent,
                sent_bytes=load.sent_bytes - sent_bytes,
                waiting=load.waiting_orders,
                under_way=load.orders_in_flight,
                queue_s=round(load.get_queue_delay_s(loop.time()), 3),
                late_s=round(late_s, 3),
                took_s=round(loop.time() - began_s, 3),
            )

    def _other_entries(self) -> list[members.EntryRow]:
        return self._members.get_active(asyncio.get_running_loop().time())

    def _own_holders(self) -> list[holder.Holder]:
        held = self.lease_manager.get_holders().values()
        return [one for one in held if isinstance(one, holder.Holder)]

    def _row(self, beat: int) -> members.EntryRow:
        own = self._own
        return members.EntryRow(
            entry=own.entry,
            zone=own.zone,
            peer_address=own.peers.address,
            operator_address="",
            version=self.active_queues.version,
            leaving=self.is_leaving,
            beat=beat,
        )

    def _make_holder(self, pool: ids.PoolName, acquired_s: float) -> lease_manager.LeaseHolder:
        if pool == fleet_holder.FLEET:
            return fleet_holder.FleetHolder(
                self._adapters.rows,
                self._adapters.hosts,
                self._book,
                self.active_queues,
                self.job_router.call_holder,
                waves=self._waves,
                upkeep_s=self._own.upkeep_s,
                quiet_s=self._own.quiet_s,
                max_lease_age_s=MAX_LEASE_AGE_S,
                acquired_s=acquired_s,
            )
        made = holder.Holder(
            pool,
            self._adapters.rows,
            self._adapters.workers,
            self._adapters.hosts,
            self._book,
            lease_s=self._own.task_lease_s,
            max_lease_age_s=MAX_LEASE_AGE_S,
            ended_kept_s=self._own.ended_kept_s,
            acquired_s=acquired_s,
            timings=self.timings,
            transport=self._transport,
        )
        made.update_workers(
            facts for facts in self._fleet if facts.service == ids.ServiceName(pool)
        )
        return made

    async def _follow_operators(self) -> None:
        async for one in self._adapters.watch_operations():
            match one:
                case upkeep.Wave():
                    if one.number not in self._waves:
                        _log.info("A wave is asked for.", wave=one.number, hosts=len(one.hosts))
                    self._waves[one.number] = one
                case queues.QueueSet():
                    self._take_configuration(one)
                case queues.VersionConfirmation():
                    self.active_queues.confirm(one)

    def _take_configuration(self, declared: queues.QueueSet) -> None:
        if found := queues.find_faults(declared):
            _log.error(
                "A configuration can't be used.",
                version=declared.version,
                count=len(found),
                faults=found[:_MOST_SHOWN_FAULTS],
            )
            return
        if not self.active_queues.activate(declared, asyncio.get_running_loop().time()):
            return
        _log.info(
            "A configuration is in force.", version=declared.version, queues=len(declared.queues)
        )
        self.on_limits_changed(declared.limits)
        served = {ids.PoolName(queue.service) for queue in declared.queues}
        self.lease_manager.pools = sorted(served | {fleet_holder.FLEET})

    async def _tell_demand(self) -> None:
        while True:
            await asyncio.sleep(_DEMAND_INTERVAL_S)
            for pool, held in self.lease_manager.get_holders().items():
                if not isinstance(held, holder.Holder):
                    continue
                report = held.get_demand()
                if report is not None:
                    call = calls.ReportDemand(
                        service=ids.ServiceName(fleet_holder.FLEET),
                        pool=ids.ServiceName(pool),
                        epoch=held.epoch,
                        report=report,
                    )
                    await self.job_router.call_holder(call, _DEMAND_LIMIT_S)

    async def _follow_fleet(self) -> None:
        async for fleet in self._adapters.watch_fleet():
            self._fleet = fleet
            self._forwarder.update_workers(fleet)
            for pool, held in self.lease_manager.get_holders().items():
                if isinstance(held, holder.Holder):
                    held.update_workers(
                        facts for facts in fleet if facts.service == ids.ServiceName(pool)
                    )

    async def _follow_inbox(self) -> None:
        after = 0
        while True:
            try:
                found = await self._adapters.rows.wait_for_changes("inbox", after, _INBOX_WAIT_S)
                after = found.version
                for row in found.rows:
                    self._take_notice(row)
            except exceptions.TableError as error:
                _log.warning("The inbox can't be watched.", why=str(error))
                await asyncio.sleep(_RETRY_S * (1 + self._random.random()))

    def _take_notice(self, row: platform.Row) -> None:
        if not row.version or not row.value:
            return
        notice = codecs.unpack(row.value, jobs.Notice)
        held = self.lease_manager.get_holder(notice.service)
        if isinstance(held, holder.Holder):
            held.notify(notice)
