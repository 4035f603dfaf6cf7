"""Decide which minions may get new work: the union of all bad news, undone by evidence."""

import collections.abc
import dataclasses
import enum
import heapq
import zlib

import msgspec

from nutmegshelf import ids, platform

PROBE_INTERVAL_S = 2.0
FIRST_RETRY_S = 0.25
MAX_RETRY_S = 5.0
SUCCESSES_NEEDED = 2
_HASH_RANGE = 2**32
_MASK = _HASH_RANGE - 1
_MIX = 0x9E3779B97F4A7C15
_MAX_EARLY = 1000
_MAX_LOOKS = 200
_ROUTINE_TURN = 4


class Cause(enum.Enum):
    """Say why a minion gets no new work."""

    LISTED = "listed"
    SHUTTING_DOWN = "shutting-down"
    FAILED = "failed"


class Probe(enum.Enum):
    """Say what a health probe found."""

    HEALTHY = "healthy"
    SHUTTING_DOWN = "shutting-down"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class News:
    """Tell one bad thing of a minion; the revision is the list's that said it."""

    minion: ids.MinionId
    cause: Cause
    source: ids.EntryId
    detail: str = ""
    revision: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Say what an event changed: bad news to spread, and minions that came back."""

    spread: tuple[News, ...] = ()
    recovered: tuple[ids.MinionId, ...] = ()
    changed: bool = False


@dataclasses.dataclass(slots=True)
class Target:
    """Keep all that is known of one minion."""

    record: platform.MinionRecord
    bad: dict[Cause, News] = dataclasses.field(default_factory=dict)
    bad_since_s: float = 0.0
    successes: int = 0
    retry_s: float = FIRST_RETRY_S
    probe_at_s: float = 0.0
    suspected: bool = False

    def effective(self) -> platform.MinionRecord:
        """Give the record as routing must see it."""
        if not self.bad or self.record.state is platform.HostState.LEAVING:
            return self.record
        return msgspec.structs.replace(self.record, state=platform.HostState.LEAVING)


class Targets:
    """Own what one entry knows of every minion."""

    def __init__(self, own: ids.EntryId) -> None:
        self.own = own
        self.revision = -1
        self.known: dict[ids.MinionId, Target] = {}
        self._early: dict[ids.MinionId, list[News]] = {}
        self._entries: frozenset[ids.EntryId] = frozenset({own})
        self._routine: list[tuple[float, ids.MinionId]] = []
        self._urgent: list[tuple[float, ids.MinionId]] = []
        self._turn = 0

    def records(self) -> tuple[platform.MinionRecord, ...]:
        """Give all minions, those without new work as leaving."""
        return tuple(target.effective() for target in self.known.values())

    def why(self, minion: ids.MinionId) -> list[str]:
        """Explain why a minion gets no new work; nothing where it may."""
        target = self.known.get(minion)
        bad = target.bad.values() if target else ()
        return [f"{news.cause.value} by {news.source}: {news.detail}" for news in bad]

    def count_closed(self) -> int:
        """Count the minions that get no new work."""
        leaving = platform.HostState.LEAVING
        return sum(record.state is leaving for record in self.records())

    def bad_news(self) -> tuple[News, ...]:
        """Give all news that a new peer should hear."""
        return tuple(news for target in self.known.values() for news in target.bad.values())

    def take_page(self, page: platform.FleetList, now_s: float) -> Step:
        """Take changes of the platform's list; an older or known revision is no news."""
        if page.revision <= self.revision:
            return Step()
        first = self.revision < 0
        self.revision = page.revision
        for minion in page.gone:
            self.known.pop(minion, None)
        spread: list[News] = []
        for record in page.minions:
            spread += self._take_record(record, page.revision, now_s)
        # What a starting entry reads first is known to all the others.
        return Step(() if first else tuple(spread), changed=True)

    def _take_record(
        self, record: platform.MinionRecord, revision: int, now_s: float
    ) -> list[News]:
        target = self.known.get(record.minion)
        if target is None:
            target = self.known[record.minion] = Target(record)
            self._schedule(target, now_s + PROBE_INTERVAL_S * _spread(record.minion))
            for early in self._early.pop(record.minion, ()):
                if early.cause is not Cause.LISTED or early.revision > revision:
                    self._close(target, early, now_s)
        target.record = record
        if record.state is platform.HostState.LEAVING:
            listed = News(
                minion=record.minion,
                cause=Cause.LISTED,
                source=self.own,
                detail=f"the list's revision {revision} says leaving",
                revision=revision,
            )
            return [listed] if self._close(target, listed, now_s) else []
        said = target.bad.get(Cause.LISTED)
        if said is not None and said.revision < revision:
            # The list takes it back; a probe has to confirm that the minion is there again.
            del target.bad[Cause.LISTED]
            self._close(
                target,
                News(
                    minion=record.minion,
                    cause=Cause.FAILED,
                    source=self.own,
                    detail="listed live again, not yet probed",
                ),
                now_s,
            )
        return []

    def take_news(self, news: News, now_s: float) -> Step:
        """Take bad news of our own or of a peer; it counts at once."""
        target = self.known.get(news.minion)
        if target is None:
            if len(self._early) < _MAX_EARLY:
                self._early.setdefault(news.minion, []).append(news)
            return Step()
        if news.cause is Cause.LISTED and self._is_taken_back(target, news):
            return Step()
        by_peer = news.source != self.own
        if by_peer and news.cause is Cause.FAILED and self._is_last_open(target):
            # One peer that is cut off must not close a whole service everywhere.
            self.suspect(news.minion, now_s)
            return Step()
        if not self._close(target, news, now_s):
            return Step()
        return Step(() if by_peer else (news,), changed=True)

    def _is_taken_back(self, target: Target, news: News) -> bool:
        live = target.record.state is platform.HostState.LIVE
        return live and news.revision <= self.revision

    def _is_last_open(self, target: Target) -> bool:
        service = target.record.service
        return not any(
            other is not target and other.record.service == service and not other.bad
            for other in self.known.values()
        )

    def _close(self, target: Target, news: News, now_s: float) -> bool:
        known = target.bad.get(news.cause)
        if known is not None and known.revision >= news.revision:
            return False
        target.bad[news.cause] = news
        target.bad_since_s = now_s
        target.successes = 0
        if len(target.bad) == 1:
            target.retry_s = FIRST_RETRY_S
        by_self = news.source == self.own and news.cause is not Cause.LISTED
        self._schedule(target, now_s + (FIRST_RETRY_S if by_self else 0.0))
        return known is None

    def suspect(self, minion: ids.MinionId, now_s: float) -> None:
        """Ask for a probe soon, without closing the minion."""
        if target := self.known.get(minion):
            target.suspected = True
            self._schedule(target, now_s)

    def probed(
        self, minion: ids.MinionId, found: Probe, started_s: float, now_s: float, detail: str = ""
    ) -> Step:
        """Take a probe's finding; success counts only where it began after the bad news."""
        target = self.known.get(minion)
        if target is None:
            return Step()
        target.suspected = False
        if found is Probe.HEALTHY:
            return self._probed_healthy(target, started_s, now_s)
        target.successes = 0
        target.retry_s = min(target.retry_s * 2, MAX_RETRY_S) if target.bad else FIRST_RETRY_S
        cause = Cause.FAILED if found is Probe.FAILED else Cause.SHUTTING_DOWN
        news = News(minion=minion, cause=cause, source=self.own, detail=detail)
        new = cause not in target.bad
        if new:
            self._close(target, news, now_s)
        self._schedule(target, now_s + target.retry_s)
        return Step((news,) if new else (), changed=new)

    def _probed_healthy(self, target: Target, started_s: float, now_s: float) -> Step:
        fresh = started_s >= target.bad_since_s
        target.successes += fresh
        undoable = target.bad.keys() - {Cause.LISTED}
        if not undoable:
            self._schedule(target, now_s + PROBE_INTERVAL_S)
            return Step()
        if target.successes < SUCCESSES_NEEDED:
            self._schedule(target, now_s + FIRST_RETRY_S)
            return Step()
        for cause in undoable:
            del target.bad[cause]
        self._schedule(target, now_s + PROBE_INTERVAL_S)
        if target.bad:
            return Step()
        return Step(recovered=(target.record.minion,), changed=True)

    def set_entries(self, entries: collections.abc.Iterable[ids.EntryId], now_s: float) -> None:
        """Share the probing anew among the entries that live."""
        entries = frozenset(entries) | {self.own}
        if entries == self._entries:
            return
        self._entries = entries
        self._routine = [(target.probe_at_s, minion) for minion, target in self.known.items()]
        heapq.heapify(self._routine)

    def _is_ours(self, target: Target) -> bool:
        # Whoever holds bad news probes for itself: the path from here may be what broke.
        if target.bad or target.suspected:
            return True
        return self._owner(target.record.minion) == self.own

    def _owner(self, minion: ids.MinionId) -> ids.EntryId:
        return max(self._entries, key=lambda entry: (_weight(entry, minion), entry))

    def _schedule(self, target: Target, at_s: float) -> None:
        target.probe_at_s = at_s
        queue = self._urgent if target.bad or target.suspected else self._routine
        heapq.heappush(queue, (at_s, target.record.minion))

    def due(self, now_s: float, limit: int) -> list[platform.MinionRecord]:
        """Give at most so many minions to probe now; each comes back once it was probed."""
        # Where all probes are late, doubts go first, but never take every turn.
        self._turn += 1
        queues = [self._urgent, self._routine]
        if self._turn % _ROUTINE_TURN == 0:
            queues.reverse()
        found: list[platform.MinionRecord] = []
        for queue in queues:
            found += self._take_due(queue, now_s, limit - len(found))
        return found

    def _take_due(
        self, queue: list[tuple[float, ids.MinionId]], now_s: float, limit: int
    ) -> list[platform.MinionRecord]:
        found: list[platform.MinionRecord] = []
        # A bounded look keeps a change of the entries from holding up everything else.
        for _ in range(_MAX_LOOKS):
            if not queue or queue[0][0] > now_s or len(found) >= limit:
                break
            at_s, minion = heapq.heappop(queue)
            target = self.known.get(minion)
            if target is None or target.probe_at_s != at_s:
                continue
            if self._is_ours(target):
                found.append(target.record)
        return found


def _weight(entry: ids.EntryId, minion: ids.MinionId) -> int:
    # Rendezvous hashing; the multiplication undoes the linearity of the checksum.
    mixed = (zlib.crc32(entry.encode()) ^ zlib.crc32(minion.encode())) * _MIX
    return (mixed ^ mixed >> 29) * _MIX >> 32 & _MASK


def _spread(minion: ids.MinionId) -> float:
    return zlib.crc32(minion.encode()) / _HASH_RANGE
