"""Decide which minions may get new work: the union of all bad news, undone by evidence."""

import collections.abc
import dataclasses
import enum
import heapq
import zlib

import msgspec

from nutmegshelf import ids, platform

PROBE_INTERVAL_S = 2.0
MIN_RETRY_S = 0.25
MAX_RETRY_S = 5.0
MIN_SUCCESSES = 2
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


class ProbeResult(enum.Enum):
    """Say what a health probe found."""

    HEALTHY = "healthy"
    SHUTTING_DOWN = "shutting-down"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exclusion:
    """Tell one bad thing of a minion; the revision is the list's that said it."""

    minion: ids.MinionId
    cause: Cause
    source: ids.EntryId
    detail: str = ""
    revision: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """Say what an event changed: bad news to spread, and minions that came back."""

    exclusions: tuple[Exclusion, ...] = ()
    recovered: tuple[ids.MinionId, ...] = ()
    changed: bool = False


@dataclasses.dataclass(slots=True)
class Target:
    """Keep all that is known of one minion."""

    record: platform.MinionRecord
    exclusions: dict[Cause, Exclusion] = dataclasses.field(default_factory=dict)
    excluded_since_s: float = 0.0
    successes: int = 0
    retry_interval_s: float = MIN_RETRY_S
    next_probe_s: float = 0.0
    is_suspected: bool = False

    def get_effective_record(self) -> platform.MinionRecord:
        """Give the record as routing must see it."""
        if not self.exclusions or self.record.state is platform.HostState.LEAVING:
            return self.record
        return msgspec.structs.replace(self.record, state=platform.HostState.LEAVING)


class Targets:
    """Own what one entry knows of every minion."""

    def __init__(self, entry: ids.EntryId) -> None:
        self.entry = entry
        self.revision = -1
        self.by_minion: dict[ids.MinionId, Target] = {}
        self._early: dict[ids.MinionId, list[Exclusion]] = {}
        self._entries: frozenset[ids.EntryId] = frozenset({entry})
        self._routine: list[tuple[float, ids.MinionId]] = []
        self._urgent: list[tuple[float, ids.MinionId]] = []
        self._turn = 0

    def get_records(self) -> tuple[platform.MinionRecord, ...]:
        """Give all minions, those without new work as leaving."""
        return tuple(target.get_effective_record() for target in self.by_minion.values())

    def describe_exclusions(self, minion: ids.MinionId) -> list[str]:
        """Explain why a minion gets no new work; nothing where it may."""
        target = self.by_minion.get(minion)
        bad = target.exclusions.values() if target else ()
        return [f"{news.cause.value} by {news.source}: {news.detail}" for news in bad]

    def count_excluded(self) -> int:
        """Count the minions that get no new work."""
        leaving = platform.HostState.LEAVING
        return sum(record.state is leaving for record in self.get_records())

    def get_exclusions(self) -> tuple[Exclusion, ...]:
        """Give all news that a new peer should hear."""
        return tuple(
            news for target in self.by_minion.values() for news in target.exclusions.values()
        )

    def apply_page(self, page: platform.FleetList, now_s: float) -> Update:
        """Take changes of the platform's list; an older or known revision is no news."""
        if page.revision <= self.revision:
            return Update()
        first = self.revision < 0
        self.revision = page.revision
        for minion in page.gone:
            self.by_minion.pop(minion, None)
        spread: list[Exclusion] = []
        for record in page.minions:
            spread += self._take_record(record, page.revision, now_s)
        # What a starting entry reads first is known to all the others.
        return Update(() if first else tuple(spread), changed=True)

    def _take_record(
        self, record: platform.MinionRecord, revision: int, now_s: float
    ) -> list[Exclusion]:
        target = self.by_minion.get(record.minion)
        if target is None:
            target = self.by_minion[record.minion] = Target(record)
            self._schedule(target, now_s + PROBE_INTERVAL_S * _spread(record.minion))
            for early in self._early.pop(record.minion, ()):
                if early.cause is not Cause.LISTED or early.revision > revision:
                    self._close(target, early, now_s)
        target.record = record
        if record.state is platform.HostState.LEAVING:
            listed = Exclusion(
                minion=record.minion,
                cause=Cause.LISTED,
                source=self.entry,
                detail=f"the list's revision {revision} says leaving",
                revision=revision,
            )
            return [listed] if self._close(target, listed, now_s) else []
        said = target.exclusions.get(Cause.LISTED)
        if said is not None and said.revision < revision:
            # The list takes it back; a probe has to confirm that the minion is there again.
            del target.exclusions[Cause.LISTED]
            self._close(
                target,
                Exclusion(
                    minion=record.minion,
                    cause=Cause.FAILED,
                    source=self.entry,
                    detail="listed live again, not yet probed",
                ),
                now_s,
            )
        return []

    def add_exclusion(self, news: Exclusion, now_s: float) -> Update:
        """Take bad news of our own or of a peer; it counts at once."""
        target = self.by_minion.get(news.minion)
        if target is None:
            if len(self._early) < _MAX_EARLY:
                self._early.setdefault(news.minion, []).append(news)
            return Update()
        if news.cause is Cause.LISTED and self._is_taken_back(target, news):
            return Update()
        by_peer = news.source != self.entry
        if by_peer and news.cause is Cause.FAILED and self._is_last_open(target):
            # One peer that is cut off must not close a whole service everywhere.
            self.request_probe(news.minion, now_s)
            return Update()
        if not self._close(target, news, now_s):
            return Update()
        return Update(() if by_peer else (news,), changed=True)

    def _is_taken_back(self, target: Target, news: Exclusion) -> bool:
        live = target.record.state is platform.HostState.LIVE
        return live and news.revision <= self.revision

    def _is_last_open(self, target: Target) -> bool:
        service = target.record.service
        return not any(
            other is not target and other.record.service == service and not other.exclusions
            for other in self.by_minion.values()
        )

    def _close(self, target: Target, news: Exclusion, now_s: float) -> bool:
        known = target.exclusions.get(news.cause)
        if known is not None and known.revision >= news.revision:
            return False
        target.exclusions[news.cause] = news
        target.excluded_since_s = now_s
        target.successes = 0
        if len(target.exclusions) == 1:
            target.retry_interval_s = MIN_RETRY_S
        by_self = news.source == self.entry and news.cause is not Cause.LISTED
        self._schedule(target, now_s + (MIN_RETRY_S if by_self else 0.0))
        return known is None

    def request_probe(self, minion: ids.MinionId, now_s: float) -> None:
        """Ask for a probe soon, without closing the minion."""
        if target := self.by_minion.get(minion):
            target.is_suspected = True
            self._schedule(target, now_s)

    def record_probe(
        self,
        minion: ids.MinionId,
        found: ProbeResult,
        started_s: float,
        now_s: float,
        detail: str = "",
    ) -> Update:
        """Take a probe's finding; success counts only where it began after the bad news."""
        target = self.by_minion.get(minion)
        if target is None:
            return Update()
        target.is_suspected = False
        if found is ProbeResult.HEALTHY:
            return self._probed_healthy(target, started_s, now_s)
        target.successes = 0
        target.retry_interval_s = (
            min(target.retry_interval_s * 2, MAX_RETRY_S) if target.exclusions else MIN_RETRY_S
        )
        cause = Cause.FAILED if found is ProbeResult.FAILED else Cause.SHUTTING_DOWN
        news = Exclusion(minion=minion, cause=cause, source=self.entry, detail=detail)
        new = cause not in target.exclusions
        if new:
            self._close(target, news, now_s)
        self._schedule(target, now_s + target.retry_interval_s)
        return Update((news,) if new else (), changed=new)

    def _probed_healthy(self, target: Target, started_s: float, now_s: float) -> Update:
        fresh = started_s >= target.excluded_since_s
        target.successes += fresh
        undoable = target.exclusions.keys() - {Cause.LISTED}
        if not undoable:
            self._schedule(target, now_s + PROBE_INTERVAL_S)
            return Update()
        if target.successes < MIN_SUCCESSES:
            self._schedule(target, now_s + MIN_RETRY_S)
            return Update()
        for cause in undoable:
            del target.exclusions[cause]
        self._schedule(target, now_s + PROBE_INTERVAL_S)
        if target.exclusions:
            return Update()
        return Update(recovered=(target.record.minion,), changed=True)

    def set_entries(self, entries: collections.abc.Iterable[ids.EntryId], now_s: float) -> None:
        """Share the probing anew among the entries that live."""
        entries = frozenset(entries) | {self.entry}
        if entries == self._entries:
            return
        self._entries = entries
        self._routine = [(target.next_probe_s, minion) for minion, target in self.by_minion.items()]
        heapq.heapify(self._routine)

    def _is_ours(self, target: Target) -> bool:
        # Whoever holds bad news probes for itself: the path from here may be what broke.
        if target.exclusions or target.is_suspected:
            return True
        return self._owner(target.record.minion) == self.entry

    def _owner(self, minion: ids.MinionId) -> ids.EntryId:
        return max(self._entries, key=lambda entry: (_weight(entry, minion), entry))

    def _schedule(self, target: Target, at_s: float) -> None:
        target.next_probe_s = at_s
        queue = self._urgent if target.exclusions or target.is_suspected else self._routine
        heapq.heappush(queue, (at_s, target.record.minion))

    def take_due(self, now_s: float, limit: int) -> list[platform.MinionRecord]:
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
            target = self.by_minion.get(minion)
            if target is None or target.next_probe_s != at_s:
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
