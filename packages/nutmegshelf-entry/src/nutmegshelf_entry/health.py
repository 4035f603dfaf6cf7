"""Track the health of minions: poll the platform's list, probe and inform peers."""

import asyncio
import collections.abc
import contextlib
import typing

import h11
from nutmegshelf import exceptions, ids, messages, platform, targets
from nutmegshelf_http import client

from nutmegshelf_entry import logs

_TICK_INTERVAL_S = 0.1
MAX_PROBES_PER_TICK = 1
_MAX_CONCURRENT_PROBES = 16
_PROBE_TIMEOUT_S = 1.0
_MAX_CONCURRENT_READS = 4
_SHARED_INTERVAL_FACTOR = 2
_log = logs.get_logger("health")

Broadcast = collections.abc.Callable[[messages.AnyMessage], None]
SetRecords = collections.abc.Callable[[tuple[platform.MinionRecord, ...]], None]


class FleetSource(typing.Protocol):
    """A source of the platform's list of minions."""

    async def get_fleet(self, after_revision: int = -1) -> platform.FleetList | None:
        """Return a page of the changes after a revision."""


class Health:
    """The health of all minions, as reported by the platform, probes, connections and peers."""

    def __init__(self, entry: ids.EntryId, broadcast: Broadcast, set_records: SetRecords) -> None:
        self.targets = targets.Targets(entry)
        self._broadcast = broadcast
        self._set_records = set_records

    def apply(self, update: targets.Update) -> None:
        """Apply an update: set the minions that get new work and inform the peers."""
        if update.changed:
            self._set_records(self.targets.get_records())
        if update.exclusions:
            for exclusion in update.exclusions:
                _log.info(
                    "Gave a minion no new work.",
                    minion=exclusion.minion,
                    cause=exclusion.cause.value,
                    detail=exclusion.detail,
                )
            self._broadcast(
                messages.MinionsExcluded(sender=self.targets.entry, exclusions=update.exclusions)
            )
        if update.recovered:
            _log.info("Gave minions new work again.", minions=update.recovered)
            message = messages.MinionsRecovered(sender=self.targets.entry, minions=update.recovered)
            self._broadcast(message)

    def handle_message(self, message: messages.MinionsExcluded | messages.MinionsRecovered) -> None:
        """Apply a peer's exclusions, and probe minions that recovered for a peer."""
        now_s = asyncio.get_running_loop().time()
        match message:
            case messages.MinionsExcluded():
                for exclusion in message.exclusions:
                    self.apply(self.targets.add_exclusion(exclusion, now_s))
            case messages.MinionsRecovered():
                for minion in message.minions:
                    self.targets.request_probe(minion, now_s)

    def record_refusal(self, minion: ids.MinionId, detail: str) -> None:
        """Exclude a minion that refused a connection."""
        exclusion = targets.Exclusion(
            minion=minion, cause=targets.Cause.FAILED, source=self.targets.entry, detail=detail
        )
        self.apply(self.targets.add_exclusion(exclusion, asyncio.get_running_loop().time()))

    def request_probe(self, minion: ids.MinionId) -> None:
        """Request an early probe of a minion that closed a connection."""
        self.targets.request_probe(minion, asyncio.get_running_loop().time())

    def broadcast_exclusions(self) -> None:
        """Broadcast all current exclusions after a new peer has joined."""
        if exclusions := self.targets.get_exclusions():
            self._broadcast(
                messages.MinionsExcluded(sender=self.targets.entry, exclusions=exclusions)
            )


class FleetWatcher:
    """A poller of the platform's list at a fixed rate, independent of response times."""

    def __init__(
        self,
        source: FleetSource,
        health: Health,
        interval_s: float,
        *,
        is_shared: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        self._source = source
        self._health = health
        self._interval_s = interval_s
        self._is_shared = is_shared
        self._reads: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Poll continuously; a slow read does not delay the next one."""
        try:
            while True:
                if len(self._reads) < _MAX_CONCURRENT_READS:
                    task = asyncio.ensure_future(self._read())
                    self._reads.add(task)
                    task.add_done_callback(self._reads.discard)
                # Peers poll at other times and announce departing minions at once.
                factor = _SHARED_INTERVAL_FACTOR if self._is_shared() else 1
                await asyncio.sleep(factor * self._interval_s)
        finally:
            for task in self._reads:
                task.cancel()

    async def _read(self) -> None:
        try:
            await self.refresh()
        except exceptions.TableError as error:
            _log.warning("Kept the last fleet list.", error=str(error))

    async def refresh(self) -> None:
        """Apply all changes after the last revision; raises TableUnavailable."""
        minion_targets = self._health.targets
        while page := await self._source.get_fleet(minion_targets.revision):
            if page.revision <= minion_targets.revision:
                return
            self._health.apply(minion_targets.apply_page(page, asyncio.get_running_loop().time()))
            if not page.more:
                return


class Prober:
    """A prober of the minions that are due, at a bounded rate."""

    def __init__(self, health: Health, path: str) -> None:
        self._health = health
        self._path = path
        self._probes: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probe continuously."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                available = _MAX_CONCURRENT_PROBES - len(self._probes)
                limit = min(MAX_PROBES_PER_TICK, available)
                for record in self._health.targets.take_due(loop.time(), limit):
                    task = asyncio.ensure_future(self._probe(record))
                    self._probes.add(task)
                    task.add_done_callback(self._probes.discard)
                await asyncio.sleep(_TICK_INTERVAL_S)
        finally:
            for task in self._probes:
                task.cancel()

    async def _probe(self, record: platform.MinionRecord) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        result, detail = await probe(record, self._path)
        minion_targets = self._health.targets
        self._health.apply(
            minion_targets.record_probe(record.minion, result, started_s, loop.time(), detail)
        )


async def probe(record: platform.MinionRecord, path: str) -> tuple[targets.ProbeResult, str]:
    """Request a minion's health over a new connection."""
    connection = None
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT_S):
            connection = await client.open_channel(record.host, record.port)
            headers = [(b"host", record.host.encode()), (b"connection", b"close")]
            request = h11.Request(method="GET", target=path, headers=headers)
            await connection.send(request, h11.EndOfMessage())
            head = await client.receive_response_head(connection)
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        return targets.ProbeResult.FAILED, f"probe: {error!r}"
    finally:
        if connection is not None:
            with contextlib.suppress(OSError):
                connection.abort()
    if head.status_code == 503:
        return targets.ProbeResult.SHUTTING_DOWN, "probe: status 503"
    if head.status_code >= 500:
        return targets.ProbeResult.FAILED, f"probe: status {head.status_code}"
    return targets.ProbeResult.HEALTHY, ""
