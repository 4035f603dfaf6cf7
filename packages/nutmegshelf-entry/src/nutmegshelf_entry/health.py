"""Follow the platform's list of minions, probe them, and share bad news with peers."""

import asyncio
import collections.abc
import contextlib
import typing

import h11
from nutmegshelf import exceptions, ids, messages, platform, targets
from nutmegshelf_http import client

from nutmegshelf_entry import logs

_TICK_S = 0.1
MAX_PROBES_PER_TICK = 1
_MAX_RUNNING_PROBES = 16
_PROBE_TIMEOUT_S = 1.0
_MAX_RUNNING_READS = 4
_SHARED_INTERVALS = 2
_log = logs.part("health")

Broadcast = collections.abc.Callable[[messages.AnyMessage], None]
SetRecords = collections.abc.Callable[[tuple[platform.MinionRecord, ...]], None]


class FleetSource(typing.Protocol):
    """Name what is needed of the platform's list, so that tests can fake it."""

    async def get_fleet(self, after_revision: int = -1) -> platform.FleetList | None:
        """Read a page of changes after a revision."""


class Health:
    """Own the state of all minions: feed it events and carry out what changes."""

    def __init__(self, own: ids.EntryId, broadcast: Broadcast, set_records: SetRecords) -> None:
        self.targets = targets.Targets(own)
        self._broadcast = broadcast
        self._set_records = set_records

    def apply(self, step: targets.Update) -> None:
        """Stop or start new work as a step says, and tell the peers."""
        if step.changed:
            self._set_records(self.targets.get_records())
        if step.exclusions:
            for news in step.exclusions:
                _log.info(
                    "Gave a minion no new work.",
                    minion=news.minion,
                    cause=news.cause.value,
                    detail=news.detail,
                )
            self._broadcast(
                messages.MinionsExcluded(sender=self.targets.entry, exclusions=step.exclusions)
            )
        if step.recovered:
            _log.info("Gave minions new work again.", minions=step.recovered)
            recovered = messages.MinionsRecovered(sender=self.targets.entry, minions=step.recovered)
            self._broadcast(recovered)

    def handle_message(self, message: messages.MinionsExcluded | messages.MinionsRecovered) -> None:
        """Take what a peer says of minions."""
        now_s = asyncio.get_running_loop().time()
        match message:
            case messages.MinionsExcluded():
                for news in message.exclusions:
                    self.apply(self.targets.add_exclusion(news, now_s))
            case messages.MinionsRecovered():
                for minion in message.minions:
                    self.targets.request_probe(minion, now_s)

    def record_refusal(self, minion: ids.MinionId, detail: str) -> None:
        """Take it as failed that a minion refused a connection."""
        news = targets.Exclusion(
            minion=minion, cause=targets.Cause.FAILED, source=self.targets.entry, detail=detail
        )
        self.apply(self.targets.add_exclusion(news, asyncio.get_running_loop().time()))

    def request_probe(self, minion: ids.MinionId) -> None:
        """Probe soon a minion that ended a connection."""
        self.targets.request_probe(minion, asyncio.get_running_loop().time())

    def broadcast_exclusions(self) -> None:
        """Tell all bad news to peers, as one of them is new."""
        if news := self.targets.get_exclusions():
            self._broadcast(messages.MinionsExcluded(sender=self.targets.entry, exclusions=news))


class FleetWatcher:
    """Read the changes of the platform's list at a fixed rate, however slow the answers are."""

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
        """Poll for ever; a slow read does not hold up the next one."""
        try:
            while True:
                if len(self._reads) < _MAX_RUNNING_READS:
                    task = asyncio.ensure_future(self._read())
                    self._reads.add(task)
                    task.add_done_callback(self._reads.discard)
                # Peers read at other moments and tell at once which minions leave.
                factor = _SHARED_INTERVALS if self._is_shared() else 1
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
        """Take all changes after the own revision; raises TableUnavailable."""
        own = self._health.targets
        while page := await self._source.get_fleet(own.revision):
            if page.revision <= own.revision:
                return
            self._health.apply(own.apply_page(page, asyncio.get_running_loop().time()))
            if not page.more:
                return


class Prober:
    """Probe the minions that are due, at a bounded rate."""

    def __init__(self, health: Health, path: str) -> None:
        self._health = health
        self._path = path
        self._running: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probe for ever."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                free = _MAX_RUNNING_PROBES - len(self._running)
                limit = min(MAX_PROBES_PER_TICK, free)
                for record in self._health.targets.take_due(loop.time(), limit):
                    task = asyncio.ensure_future(self._probe(record))
                    self._running.add(task)
                    task.add_done_callback(self._running.discard)
                await asyncio.sleep(_TICK_S)
        finally:
            for task in self._running:
                task.cancel()

    async def _probe(self, record: platform.MinionRecord) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        found, detail = await probe(record, self._path)
        known = self._health.targets
        self._health.apply(known.record_probe(record.minion, found, started_s, loop.time(), detail))


async def probe(record: platform.MinionRecord, path: str) -> tuple[targets.ProbeResult, str]:
    """Ask a minion for its health over a connection of its own."""
    link = None
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT_S):
            link = await client.open_channel(record.host, record.port)
            headers = [(b"host", record.host.encode()), (b"connection", b"close")]
            request = h11.Request(method="GET", target=path, headers=headers)
            await link.send(request, h11.EndOfMessage())
            head = await client.receive_head(link)
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        return targets.ProbeResult.FAILED, f"probe: {error!r}"
    finally:
        if link is not None:
            with contextlib.suppress(OSError):
                link.abort()
    if head.status_code == 503:
        return targets.ProbeResult.SHUTTING_DOWN, "probe: status 503"
    if head.status_code >= 500:
        return targets.ProbeResult.FAILED, f"probe: status {head.status_code}"
    return targets.ProbeResult.HEALTHY, ""
