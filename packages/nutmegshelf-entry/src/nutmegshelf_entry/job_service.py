"""Assemble the job service of an entry, without its sockets."""

import asyncio
import collections.abc
import dataclasses
import random
import uuid

import msgspec
from nutmegshelf import (
    calls,
    exceptions,
    fleetview,
    ids,
    jobs,
    leaselimits,
    leases,
    members,
    platform,
    queues,
    roster,
    upkeep,
    window,
)

from nutmegshelf_entry import (
    admissions,
    advisor,
    doubt_reports,
    fleet_holder,
    forwarder,
    histograms,
    holder,
    job_handler,
    job_router,
    lease_manager,
    logs,
    ports,
    rejection_reports,
    rowcodec,
    sender,
    supervision,
    writer,
)

# Other entries may acquire a lease that was not renewed for this long.
LEASE_DURATION_S = 2.5
# A worker ends its runs this long after the last poll, unless a poll renews their lease.
TASK_LEASE_S = 5.0
# A holder issues no orders once its lease has not been renewed for this long.
MAX_LEASE_AGE_S = 2.2
# The state of an ended job can be queried for this long. A job that is submitted again later than
# this would run again.
ENDED_JOB_RETENTION_S = 600.0
# A busy holder starts some 600 tasks per second, each with up to 4 KB of specification.
_MIN_FAST_LINK_MBPS = 20.0
# An entry with a slower link leaves free leases to others for this long, which is longer than the
# delay of an entry with a fast link that already holds two leases.
_SLOW_LINK_DELAY_S = 0.5
_MAX_LOGGED_FAULTS = 5
_INBOX_WAIT_S = 2.0
_RETRY_DELAY_S = 0.25
_SETTINGS_INTERVAL_S = 10.0
_ADMISSION_INTERVAL_S = 0.1
_DEMAND_INTERVAL_S = 0.15
_DEMAND_TIMEOUT_S = 0.4
_BYTES_S_PER_MBPS = 1e6 / 8
# How often the lateness of timers is sampled, and how often the load is logged while there is any.
_LOAD_SAMPLE_INTERVAL_S = 0.1
_LOAD_LOG_INTERVAL_S = 1.0
# Timers that fire later than this indicate a busy processor, so the load is logged.
_MAX_NORMAL_LATENESS_S = 0.1

_log = logs.get_logger("service")


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """The host and port at which a socket listens."""

    host: str
    port: int

    @property
    def address(self) -> str:
        """The endpoint in the form HOST:PORT."""
        return f"{self.host}:{self.port}"


class JobSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of an entry that serves jobs."""

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
    # The longest lease that workers grant, whatever a call asks for.
    max_task_lease_s: float = leaselimits.MAX_LEASE_S
    ended_kept_s: float = ENDED_JOB_RETENTION_S
    # The size of a value that the table takes.
    max_row_bytes: int = writer.MAX_ROW_BYTES
    # An accepted configuration has to be active within this time.
    apply_s: float = 2.0
    # None if unknown.
    link_mbps: float | None = None
    cores: float | None = None
    log_level: str = "info"


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """The interfaces to the platform, which an adapter implements."""

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
    """The job service of one entry, which holds the leases of some services."""

    def __init__(self, settings: JobSettings, adapters: Adapters, peers: ports.PeerClient) -> None:
        self.active_queues = queues.ActiveQueues(settings.apply_s)
        self.on_limits_changed: collections.abc.Callable[[queues.Limits], None] = (
            lambda limits: None
        )
        self.is_leaving = False
        self.timings = histograms.Histograms()
        self.incarnation = uuid.uuid4().hex
        self._settings = settings
        self._adapters = adapters
        self._waves: dict[int, upkeep.Wave] = {}
        self._fleet: tuple[fleetview.WorkerFacts, ...] = ()
        self._roster = roster.Roster()
        has_slow_link = settings.link_mbps is not None and settings.link_mbps < _MIN_FAST_LINK_MBPS
        self._lease_set = leases.Leases(
            settings.entry,
            self.incarnation,
            LEASE_DURATION_S,
            settings.peers.address,
            delay_s=_SLOW_LINK_DELAY_S if has_slow_link else 0.0,
        )
        self._members = members.Members(settings.entry, lease_manager.MEMBER_TIMEOUT_S)
        self.lease_manager = lease_manager.LeaseManager(
            adapters.rows,
            self._lease_set,
            self._members,
            make_row=self._make_row,
            make_holder=self._make_holder,
            peers=peers,
        )
        link_bytes_s = (
            settings.link_mbps * _BYTES_S_PER_MBPS if settings.link_mbps is not None else None
        )
        self._window = window.Window(link_bytes_s, settings.cores)
        self._transport = sender.Transport(
            window.StartRouter(self._window), peers, self._list_other_entries
        )
        self._forwarder = forwarder.Forwarder(adapters.workers, self._window)
        self.admissions = admissions.Admissions(adapters.rows)
        self.job_router = job_router.JobRouter(
            adapters.rows,
            self.lease_manager,
            peers,
            self.active_queues,
            self._forwarder,
            queue_admissions=self.admissions,
            doubt_reporter=doubt_reports.DoubtReporter(peers, self._members.list_addresses),
            list_active_addresses=self._list_active_addresses,
            submitter=calls.Submitter(settings.peers.address, self.incarnation),
        )
        self.rejection_reporter = rejection_reports.RejectionReporter(
            settings.entry, self.job_router.call_holder, self._get_lease_epoch
        )
        self._advisor = advisor.Advisor(adapters.advice, self._list_holders)
        self._random = random.Random(self.incarnation)
        # The greatest lateness of timers in the last second.
        self._max_late_s = 0.0

    async def run(self) -> None:
        """Follow the operators, the fleet and the inbox, and hold leases until cancelled."""
        services = {
            "operations": self._watch_operations,
            "fleet": self._watch_fleet,
            "inbox": self._watch_inbox,
            "admissions": self._open_admissions,
            "demand": self._report_demand,
            "rejections": self.rejection_reporter.run,
            "advice": self._advisor.run,
            "settings": self._watch_settings,
            "leases": self.lease_manager.run,
            "doubts": self.job_router.doubt_watch.run,
            "load": self._watch_load,
        }
        async with asyncio.TaskGroup() as group:
            for name, run in services.items():
                group.create_task(supervision.keep_running(name, run))

    def get_gauges(self) -> dict[str, dict[str, float]]:
        """Return the current values of the gauges by name and label, for the metrics."""
        holders = self._list_holders()
        routes = self.active_queues.routes
        now_s = asyncio.get_running_loop().time()
        age_s = now_s - self.active_queues.changed_s
        unconfirmed_s = now_s - self.active_queues.confirmed_s
        return {
            "configuration_version": {"entry": float(routes.declared.version) if routes else 0.0},
            "configuration_age_seconds": {"entry": age_s if routes else 0.0},
            "configuration_unconfirmed_seconds": {"entry": unconfirmed_s if routes else 0.0},
            "workers_listed": {"entry": float(len(self._fleet))},
            "orders_waiting": {"entry": float(self._window.waiting_orders)},
            "orders_under_way": {"entry": float(self._window.orders_in_flight)},
            "orders_queue_seconds": {"entry": self._window.get_queue_delay_s(now_s)},
            "loop_late_seconds": {"entry": self._max_late_s},
            "lease_age_seconds": {
                service_holder.pool: service_holder.writer.lease_age_s for service_holder in holders
            },
            "jobs_live": {
                service_holder.pool: float(service_holder.count_live_jobs())
                for service_holder in holders
            },
        }

    def count_events(self) -> dict[str, dict[str, float]]:
        """Return how often each decision was made, by service held at this entry."""
        counts: dict[str, dict[str, float]] = {
            service_holder.pool: dict(service_holder.notes.totals)
            for service_holder in self._list_holders()
        }
        fleet = self.lease_manager.get_holder(fleet_holder.FLEET)
        if isinstance(fleet, fleet_holder.FleetHolder):
            counts[fleet_holder.FLEET] = dict(fleet.outcome_counts)
        return counts

    def reload(self) -> None:
        """Apply changed settings; running holders keep the settings they started with."""
        try:
            changed = self._adapters.load_settings()
        except exceptions.DeclarationError as error:
            _log.error("The changed settings are invalid.", why=str(error))
            return
        if changed == self._settings:
            return
        previous, self._settings = self._settings, changed
        changed_fields = [
            name
            for name in changed.__struct_fields__
            if getattr(changed, name) != getattr(previous, name)
        ]
        _log.info("Settings were reloaded.", changed=changed_fields)

    async def _watch_settings(self) -> None:
        # The settings file may change without a signal to reload it.
        while True:
            await asyncio.sleep(_SETTINGS_INTERVAL_S)
            self.reload()

    async def _watch_load(self) -> None:
        loop, send_window = asyncio.get_running_loop(), self._window
        while True:
            began_s, late_s = loop.time(), 0.0
            sent_before, sent_bytes_before = send_window.sent_orders, send_window.sent_bytes
            while loop.time() < began_s + _LOAD_LOG_INTERVAL_S:
                due_s = loop.time() + _LOAD_SAMPLE_INTERVAL_S
                await asyncio.sleep(_LOAD_SAMPLE_INTERVAL_S)
                late_s = max(late_s, loop.time() - due_s)
            self._max_late_s = late_s
            if send_window.sent_orders == sent_before and late_s < _MAX_NORMAL_LATENESS_S:
                continue
            _log.info(
                "Orders to workers.",
                sent=send_window.sent_orders - sent_before,
                sent_bytes=send_window.sent_bytes - sent_bytes_before,
                waiting=send_window.waiting_orders,
                under_way=send_window.orders_in_flight,
                queue_s=round(send_window.get_queue_delay_s(loop.time()), 3),
                late_s=round(late_s, 3),
                took_s=round(loop.time() - began_s, 3),
            )

    def _list_other_entries(self) -> list[members.EntryRow]:
        return self._members.get_active(asyncio.get_running_loop().time())

    def _list_active_addresses(self) -> list[str]:
        return [row.peer_address for row in self._members.get_last_active()]

    def _get_lease_epoch(self, service: ids.ServiceName) -> ids.Epoch | None:
        lease = self._lease_set.holder(ids.PoolName(service))
        return lease.epoch if lease is not None else None

    def _list_holders(self) -> list[holder.Holder]:
        holders = self.lease_manager.get_holders().values()
        return [candidate for candidate in holders if isinstance(candidate, holder.Holder)]

    def _make_row(self, beat: int) -> members.EntryRow:
        settings = self._settings
        return members.EntryRow(
            entry=settings.entry,
            zone=settings.zone,
            peer_address=settings.peers.address,
            operator_address="",
            version=self.active_queues.version,
            leaving=self.is_leaving,
            beat=beat,
        )

    def _make_holder(
        self, pool: ids.PoolName, acquired_s: float, has_left_starts: bool
    ) -> lease_manager.LeaseHolder:
        if pool == fleet_holder.FLEET:
            return fleet_holder.FleetHolder(
                self._adapters.rows,
                self._adapters.hosts,
                self._lease_set,
                self.active_queues,
                self.job_router.call_holder,
                waves=self._waves,
                upkeep_s=self._settings.upkeep_s,
                quiet_s=self._settings.quiet_s,
                max_lease_age_s=MAX_LEASE_AGE_S,
                acquired_s=acquired_s,
            )
        service_holder = holder.Holder(
            pool,
            self._adapters.rows,
            self._adapters.workers,
            self._adapters.hosts,
            self._lease_set,
            lease_s=self._settings.task_lease_s,
            max_lease_s=self._settings.max_task_lease_s,
            max_lease_age_s=MAX_LEASE_AGE_S,
            ended_retention_s=self._settings.ended_kept_s,
            max_row_bytes=self._settings.max_row_bytes,
            acquired_s=acquired_s,
            has_left_starts=has_left_starts,
            timings=self.timings,
            transport=self._transport,
            queue_admissions=self.admissions,
        )
        service_holder.update_workers(
            facts for facts in self._fleet if facts.service == ids.ServiceName(pool)
        )
        return service_holder

    async def _watch_operations(self) -> None:
        async for operation in self._adapters.watch_operations():
            match operation:
                case upkeep.Wave():
                    if operation.number not in self._waves:
                        _log.info(
                            "Operators requested a wave of upkeep.",
                            wave=operation.number,
                            hosts=len(operation.hosts),
                        )
                    self._waves[operation.number] = operation
                case queues.QueueSet():
                    self._activate_configuration(operation)
                case queues.VersionConfirmation():
                    self.active_queues.confirm(operation)

    def _activate_configuration(self, declared: queues.QueueSet) -> None:
        if problems := queues.find_faults(declared):
            _log.error(
                "A configuration can't be used.",
                version=declared.version,
                count=len(problems),
                faults=problems[:_MAX_LOGGED_FAULTS],
            )
            return
        if not self.active_queues.activate(declared, asyncio.get_running_loop().time()):
            return
        _log.info(
            "A configuration is in force.", version=declared.version, queues=len(declared.queues)
        )
        self.on_limits_changed(declared.limits)
        held = map(ids.PoolName, queues.Routes(declared).held_services)
        self.lease_manager.pools = sorted({*held, fleet_holder.FLEET})

    async def _report_demand(self) -> None:
        while True:
            await asyncio.sleep(_DEMAND_INTERVAL_S)
            for pool, running_holder in self.lease_manager.get_holders().items():
                if not isinstance(running_holder, holder.Holder):
                    continue
                report = running_holder.get_demand()
                if report is not None:
                    call = calls.ReportDemand(
                        service=ids.ServiceName(fleet_holder.FLEET),
                        pool=ids.ServiceName(pool),
                        epoch=running_holder.epoch,
                        report=report,
                    )
                    await self.job_router.call_holder(call, _DEMAND_TIMEOUT_S)

    async def _watch_fleet(self) -> None:
        async for listed in self._adapters.watch_fleet():
            fleet = self._fleet = self._roster.apply(listed)
            for facts in self._roster.take_contradictions():
                _log.warning(
                    "Ignored a worker's entry with another service or host than before.",
                    worker=facts.incarnation.worker,
                    service=facts.service,
                    host=facts.host,
                )
            self._forwarder.update_workers(fleet)
            for pool, running_holder in self.lease_manager.get_holders().items():
                if isinstance(running_holder, holder.Holder):
                    running_holder.update_workers(
                        facts for facts in fleet if facts.service == ids.ServiceName(pool)
                    )

    async def _watch_inbox(self) -> None:
        after: int | None = None
        while True:
            try:
                changes = await self._adapters.rows.wait_for_changes("inbox", after, _INBOX_WAIT_S)
                after = changes.version
                for row in changes.rows:
                    self._deliver_notice(row)
            except exceptions.TableError as error:
                _log.warning("Failed to watch the inbox.", why=str(error))
                await asyncio.sleep(_RETRY_DELAY_S * (1 + self._random.random()))

    async def _open_admissions(self) -> None:
        """Open the admissions of the services held here, before jobs wait for that."""
        while True:
            await asyncio.sleep(_ADMISSION_INTERVAL_S)
            routes = self.active_queues.routes
            for queue in routes.declared.queues if routes is not None else ():
                is_held = self.lease_manager.get_holder(queue.service) is not None
                if routes is not None and is_held and self.admissions.get(queue) is None:
                    await self._open_admission(queue, routes.declared.version)

    async def _open_admission(self, queue: queues.Queue, version: ids.Version) -> None:
        try:
            await self.admissions.open(queue, version)
        except (exceptions.TableError, admissions.QueueMoved) as error:
            _log.info("A queue's jobs are not admitted yet.", queue=queue.name, why=repr(error))
            await asyncio.sleep(_RETRY_DELAY_S * (1 + self._random.random()))

    def _deliver_notice(self, row: platform.Row) -> None:
        if not row.version or not row.value:
            return
        notice = rowcodec.decode(row, jobs.Notice)
        if notice is None:
            return
        running_holder = self.lease_manager.get_holder(notice.service)
        if isinstance(running_holder, holder.Holder):
            running_holder.notify(notice)
