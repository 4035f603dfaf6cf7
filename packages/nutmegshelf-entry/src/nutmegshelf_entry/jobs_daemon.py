"""Build the job service of one entry from its parts, run it and stop it gracefully."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random
import time
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
)
from nutmegshelf_http import server

from nutmegshelf_entry import (
    desk,
    fleet_holder,
    front,
    holder,
    job_metrics,
    logs,
    mesh,
    ports,
    problems,
    shards,
    shutdown,
)

# Others may take a lease over when it was not renewed for this long.
LEASE_S = 2.5
# What runs at a worker ends this long after the last look, if no look renews it.
TASK_LEASE_S = 5.0
# A holder gives no orders when it could not renew its lease for this long.
HOLD_LIMIT_S = 2.2
_INBOX_WAIT_S = 2.0
_RETRY_S = 0.25
_DEMAND_INTERVAL_S = 0.15
_DEMAND_LIMIT_S = 0.4

_log = logs.part("daemon")


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Name where a socket listens."""

    host: str
    port: int


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
    log_level: str = "info"


@dataclasses.dataclass(frozen=True, slots=True)
class Outside:
    """Hold what an adapter gives the daemon."""

    rows: ports.Rows
    workers: ports.Workers
    codec: front.Codec
    hosts: ports.Hosts
    operations: collections.abc.Callable[
        [], collections.abc.AsyncIterator[queues.QueueSet | upkeep.Wave]
    ]
    fleets: collections.abc.Callable[
        [], collections.abc.AsyncIterator[tuple[fleetview.WorkerFacts, ...]]
    ]


class JobDaemon:
    """Own all parts of one entry that serves jobs."""

    def __init__(self, own: JobSettings, outside: Outside) -> None:
        self._own = own
        self._outside = outside
        self._in_force = queues.InForce()
        self._metrics = job_metrics.JobMetrics()
        self._waves: dict[int, upkeep.Wave] = {}
        self._fleet: tuple[fleetview.WorkerFacts, ...] = ()
        self._incarnation = uuid.uuid4().hex
        self._book = leases.Leases(
            own.entry, self._incarnation, LEASE_S, f"{own.peers.host}:{own.peers.port}"
        )
        self._mesh = mesh.Mesh(self._answer)
        self._shards = shards.Shards(
            outside.rows,
            self._book,
            members.Members(own.entry, shards.MEMBER_SILENCE_S),
            self._row,
            self._make_holder,
        )
        self._desk = desk.Desk(outside.rows, self._shards, self._mesh)
        self._front = front.Front(
            self._in_force, outside.codec, self._desk, self._metrics.count_request
        )
        self._callers = server.Server(
            self._front.handle, bad_head=problems.bad_head, on_error=self._report
        )
        self._ready = server.Server(front.ready_handler(self._is_ready), on_error=self._report)
        self._shown_metrics = server.Server(self._metrics.handle, on_error=self._report)
        self._shutdown = shutdown.Shutdown(own.grace_s / 2, own.grace_s / 3)
        self._random = random.Random(self._incarnation)

    async def run(self) -> None:
        """Serve until SIGTERM, then hand over and finish what is in progress."""
        own = self._own
        self._shutdown.watch_signals()
        await self._mesh.start(own.peers.host, own.peers.port)
        await self._callers.start(own.callers.host, own.callers.port)
        await self._ready.start(own.ready.host, own.ready.port)
        if own.metrics is not None:
            await self._shown_metrics.start(own.metrics.host, own.metrics.port)
        _log.info("Started.", entry=own.entry, zone=own.zone, incarnation=self._incarnation)
        async with asyncio.TaskGroup() as group:
            parts = [
                self._follow_operators(),
                self._tell_demand(),
                self._follow_fleet(),
                self._follow_inbox(),
                self._shards.run(),
            ]
            tasks = [group.create_task(part) for part in parts]
            await self._shutdown.wait_asked()
            await self._shutdown.run(
                [self._callers, self._ready], self._refuse, self._shards.leave, []
            )
            await shutdown.end(tasks)
        for one in (self._callers, self._ready, self._shown_metrics):
            await one.close()
        await self._mesh.close()
        _log.info("Stopped.", entry=own.entry)

    def _refuse(self) -> None:
        self._front.refusing = exceptions.ErrorKind.SHUTTING_DOWN

    def _is_ready(self) -> bool:
        return not self._shutdown.leaving and self._front.refusing is None

    def _row(self, beat: int) -> members.EntryRow:
        own, routes = self._own, self._in_force.routes
        return members.EntryRow(
            entry=own.entry,
            zone=own.zone,
            peer_address=f"{own.peers.host}:{own.peers.port}",
            operator_address="",
            version=routes.declared.version if routes else ids.NO_VERSION,
            leaving=self._shutdown.leaving,
            beat=beat,
        )

    def _make_holder(self, pool: ids.PoolName, taken_s: float) -> shards.Held:
        if pool == fleet_holder.FLEET:
            return fleet_holder.FleetHolder(
                self._outside.rows,
                self._outside.hosts,
                self._book,
                self._in_force,
                self._desk.ask,
                waves=self._waves,
                upkeep_s=self._own.upkeep_s,
                quiet_s=self._own.quiet_s,
                hold_limit_s=HOLD_LIMIT_S,
                taken_s=taken_s,
            )
        made = holder.Holder(
            pool,
            self._outside.rows,
            self._outside.workers,
            self._book,
            self._in_force,
            lease_s=self._own.task_lease_s,
            hold_limit_s=HOLD_LIMIT_S,
            taken_s=taken_s,
        )
        made.list_workers(facts for facts in self._fleet if facts.service == pool)
        return made

    async def _answer(self, call: calls.AnyCall) -> calls.Reply:
        return await self._desk.answer(call)

    async def _follow_operators(self) -> None:
        async for one in self._outside.operations():
            match one:
                case upkeep.Wave():
                    if one.number not in self._waves:
                        _log.info("A wave is asked for.", wave=one.number, hosts=len(one.hosts))
                    self._waves[one.number] = one
                case queues.QueueSet():
                    self._take_configuration(one)

    def _take_configuration(self, declared: queues.QueueSet) -> None:
        if not self._in_force.take(declared, asyncio.get_running_loop().time()):
            return
        _log.info(
            "A configuration is in force.", version=declared.version, queues=len(declared.queues)
        )
        served = {ids.PoolName(queue.service) for queue in declared.queues}
        self._shards.pools = sorted(served | {fleet_holder.FLEET})
        if self._front.refusing is exceptions.ErrorKind.NOT_READY:
            self._front.refusing = None

    async def _tell_demand(self) -> None:
        while True:
            await asyncio.sleep(_DEMAND_INTERVAL_S)
            for pool, held in self._shards.holders().items():
                if not isinstance(held, holder.Holder):
                    continue
                report = held.demand()
                if report is not None:
                    call = calls.Demand(
                        service=ids.ServiceName(fleet_holder.FLEET),
                        pool=ids.ServiceName(pool),
                        epoch=held.epoch,
                        report=report,
                    )
                    await self._desk.ask(call, _DEMAND_LIMIT_S)

    async def _follow_fleet(self) -> None:
        async for fleet in self._outside.fleets():
            self._fleet = fleet
            for pool, held in self._shards.holders().items():
                if isinstance(held, holder.Holder):
                    held.list_workers(facts for facts in fleet if facts.service == pool)

    async def _follow_inbox(self) -> None:
        after = 0
        while True:
            try:
                found = await self._outside.rows.changes("inbox", after, _INBOX_WAIT_S)
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
        held = self._shards.holder(notice.service)
        if isinstance(held, holder.Holder):
            held.notify(notice)

    def _report(self, error: Exception) -> None:
        _log.error("A handler failed.", exc_info=error)


class Loop(asyncio.SelectorEventLoop):
    """Be an event loop whose clock also counts the time that the host was suspended."""

    def time(self) -> float:
        """Give the clock that goes on through a suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def serve(own: JobSettings, outside: collections.abc.Callable[[], Outside]) -> None:
    """Run one entry that serves jobs."""

    async def start() -> None:
        await JobDaemon(own, outside()).run()

    with contextlib.suppress(KeyboardInterrupt), asyncio.Runner(loop_factory=Loop) as runner:
        runner.run(start())
