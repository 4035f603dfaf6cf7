"""Track which minions may get new work.

A minion is excluded while any entry has a reason against it. Reasons other than the fleet list's
are removed only by successful probes of this entry.
"""

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
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_MAX_PENDING = 1000
_MAX_SCANNED = 200
_ROUTINE_INTERVAL = 4


class Cause(enum.Enum):
    """Why a minion gets no new work."""

    LISTED = "listed"
    SHUTTING_DOWN = "shutting-down"
    FAILED = "failed"


class ProbeResult(enum.Enum):
    """The result of one health probe."""

    HEALTHY = "healthy"
    SHUTTING_DOWN = "shutting-down"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exclusion:
    """One reason not to send new work to a minion, as found by one entry.

    The revision is that of the fleet list which named the minion as leaving.
    """

    minion: ids.MinionId
    cause: Cause
    source: ids.EntryId
    detail: str = ""
    revision: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """The effect of one event: exclusions to send to the peers, and minions that recovered."""

    exclusions: tuple[Exclusion, ...] = ()
    recovered: tuple[ids.MinionId, ...] = ()
    changed: bool = False


@dataclasses.dataclass(slots=True)
class Target:
    """The health of one minion, as known to this entry."""

    record: platform.MinionRecord
    exclusions: dict[Cause, Exclusion] = dataclasses.field(default_factory=dict)
    excluded_since_s: float = 0.0
    successes: int = 0
    retry_interval_s: float = MIN_RETRY_S
    next_probe_s: float = 0.0
    is_suspected: bool = False

    def get_effective_record(self) -> platform.MinionRecord:
        """Return the record for routing, as leaving where the minion is excluded."""
        if not self.exclusions or self.record.state is platform.HostState.LEAVING:
            return self.record
        return msgspec.structs.replace(self.record, state=platform.HostState.LEAVING)


class Targets:
    """The health of all minions, as known to one entry."""

    def __init__(self, entry: ids.EntryId) -> None:
        self.entry = entry
        self.revision = -1
        self.by_minion: dict[ids.MinionId, Target] = {}
        self._pending: dict[ids.MinionId, list[Exclusion]] = {}
        self._entries: frozenset[ids.EntryId] = frozenset({entry})
        self._routine: list[tuple[float, ids.MinionId]] = []
        self._urgent: list[tuple[float, ids.MinionId]] = []
        self._take_count = 0

    def get_records(self) -> tuple[platform.MinionRecord, ...]:
        """Return the records of all minions, the excluded ones as leaving."""
        return tuple(target.get_effective_record() for target in self.by_minion.values())

    def describe_exclusions(self, minion: ids.MinionId) -> list[str]:
        """Return a line for each reason why a minion is excluded."""
        target = self.by_minion.get(minion)
        exclusions = target.exclusions.values() if target else ()
        return [
            f"{exclusion.cause.value} by {exclusion.source}: {exclusion.detail}"
            for exclusion in exclusions
        ]

    def count_excluded(self) -> int:
        """Count the minions that are excluded or listed as leaving."""
        leaving = platform.HostState.LEAVING
        return sum(record.state is leaving for record in self.get_records())

    def get_exclusions(self) -> tuple[Exclusion, ...]:
        """Return all exclusions, to send to a new peer."""
        return tuple(
            exclusion
            for target in self.by_minion.values()
            for exclusion in target.exclusions.values()
        )

    def apply_page(self, page: platform.FleetList, now_s: float) -> Update:
        """Apply a page of the fleet list, unless its revision is already known."""
        if page.revision <= self.revision:
            return Update()
        is_first_page = self.revision < 0
        self.revision = page.revision
        for minion in page.gone:
            self.by_minion.pop(minion, None)
        exclusions: list[Exclusion] = []
        for record in page.minions:
            exclusions += self._apply_record(record, page.revision, now_s)
        # The peers already know what an entry reads at its start.
        return Update(() if is_first_page else tuple(exclusions), changed=True)

    def _apply_record(
        self, record: platform.MinionRecord, revision: int, now_s: float
    ) -> list[Exclusion]:
        target = self.by_minion.get(record.minion)
        if target is None:
            target = self.by_minion[record.minion] = Target(record)
            self._schedule(target, now_s + PROBE_INTERVAL_S * _compute_offset(record.minion))
            for exclusion in self._pending.pop(record.minion, ()):
                if exclusion.cause is not Cause.LISTED or exclusion.revision > revision:
                    self._exclude(target, exclusion, now_s)
        target.record = record
        if record.state is platform.HostState.LEAVING:
            listed = Exclusion(
                minion=record.minion,
                cause=Cause.LISTED,
                source=self.entry,
                detail=f"the list's revision {revision} says leaving",
                revision=revision,
            )
            return [listed] if self._exclude(target, listed, now_s) else []
        previous = target.exclusions.get(Cause.LISTED)
        if previous is not None and previous.revision < revision:
            # The list no longer excludes the minion; probes must confirm that it answers again.
            del target.exclusions[Cause.LISTED]
            self._exclude(
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

    def add_exclusion(self, exclusion: Exclusion, now_s: float) -> Update:
        """Exclude a minion for a reason found by this entry or a peer."""
        target = self.by_minion.get(exclusion.minion)
        if target is None:
            if len(self._pending) < _MAX_PENDING:
                self._pending.setdefault(exclusion.minion, []).append(exclusion)
            return Update()
        if exclusion.cause is Cause.LISTED and self._is_outdated(target, exclusion):
            return Update()
        is_from_peer = exclusion.source != self.entry
        if is_from_peer and exclusion.cause is Cause.FAILED and self._is_last_available(target):
            # A peer that has lost its network must not exclude a whole service at every entry.
            self.request_probe(exclusion.minion, now_s)
            return Update()
        if not self._exclude(target, exclusion, now_s):
            return Update()
        return Update(() if is_from_peer else (exclusion,), changed=True)

    def _is_outdated(self, target: Target, exclusion: Exclusion) -> bool:
        is_live = target.record.state is platform.HostState.LIVE
        return is_live and exclusion.revision <= self.revision

    def _is_last_available(self, target: Target) -> bool:
        service = target.record.service
        return not any(
            other is not target and other.record.service == service and not other.exclusions
            for other in self.by_minion.values()
        )

    def _exclude(self, target: Target, exclusion: Exclusion, now_s: float) -> bool:
        previous = target.exclusions.get(exclusion.cause)
        if previous is not None and previous.revision >= exclusion.revision:
            return False
        target.exclusions[exclusion.cause] = exclusion
        target.excluded_since_s = now_s
        target.successes = 0
        if len(target.exclusions) == 1:
            target.retry_interval_s = MIN_RETRY_S
        is_own_finding = exclusion.source == self.entry and exclusion.cause is not Cause.LISTED
        self._schedule(target, now_s + (MIN_RETRY_S if is_own_finding else 0.0))
        return previous is None

    def request_probe(self, minion: ids.MinionId, now_s: float) -> None:
        """Schedule a probe now, without excluding the minion."""
        if target := self.by_minion.get(minion):
            target.is_suspected = True
            self._schedule(target, now_s)

    def record_probe(
        self,
        minion: ids.MinionId,
        result: ProbeResult,
        started_s: float,
        now_s: float,
        detail: str = "",
    ) -> Update:
        """Apply a probe's result; a success counts only if it started after the exclusion."""
        target = self.by_minion.get(minion)
        if target is None:
            return Update()
        target.is_suspected = False
        if result is ProbeResult.HEALTHY:
            return self._record_success(target, started_s, now_s)
        target.successes = 0
        target.retry_interval_s = (
            min(target.retry_interval_s * 2, MAX_RETRY_S) if target.exclusions else MIN_RETRY_S
        )
        cause = Cause.FAILED if result is ProbeResult.FAILED else Cause.SHUTTING_DOWN
        exclusion = Exclusion(minion=minion, cause=cause, source=self.entry, detail=detail)
        is_new = cause not in target.exclusions
        if is_new:
            self._exclude(target, exclusion, now_s)
        self._schedule(target, now_s + target.retry_interval_s)
        return Update((exclusion,) if is_new else (), changed=is_new)

    def _record_success(self, target: Target, started_s: float, now_s: float) -> Update:
        is_current = started_s >= target.excluded_since_s
        target.successes += is_current
        removable = target.exclusions.keys() - {Cause.LISTED}
        if not removable:
            self._schedule(target, now_s + PROBE_INTERVAL_S)
            return Update()
        if target.successes < MIN_SUCCESSES:
            self._schedule(target, now_s + MIN_RETRY_S)
            return Update()
        for cause in removable:
            del target.exclusions[cause]
        self._schedule(target, now_s + PROBE_INTERVAL_S)
        if target.exclusions:
            return Update()
        return Update(recovered=(target.record.minion,), changed=True)

    def set_entries(self, entries: collections.abc.Iterable[ids.EntryId], now_s: float) -> None:
        """Redistribute the routine probes among the live entries."""
        entries = frozenset(entries) | {self.entry}
        if entries == self._entries:
            return
        self._entries = entries
        self._routine = [(target.next_probe_s, minion) for minion, target in self.by_minion.items()]
        heapq.heapify(self._routine)

    def _is_prober(self, target: Target) -> bool:
        # An excluded minion is probed by every entry, as the fault may be in its own network path.
        if target.exclusions or target.is_suspected:
            return True
        return self._get_prober(target.record.minion) == self.entry

    def _get_prober(self, minion: ids.MinionId) -> ids.EntryId:
        return max(self._entries, key=lambda entry: (_compute_weight(entry, minion), entry))

    def _schedule(self, target: Target, at_s: float) -> None:
        target.next_probe_s = at_s
        queue = self._urgent if target.exclusions or target.is_suspected else self._routine
        heapq.heappush(queue, (at_s, target.record.minion))

    def take_due(self, now_s: float, limit: int) -> list[platform.MinionRecord]:
        """Remove and return minions that are due for a probe; a probe schedules the next one."""
        # Where probes are late, urgent ones go first, but every few turns routine ones do.
        self._take_count += 1
        queues = [self._urgent, self._routine]
        if self._take_count % _ROUTINE_INTERVAL == 0:
            queues.reverse()
        records: list[platform.MinionRecord] = []
        for queue in queues:
            records += self._take_from(queue, now_s, limit - len(records))
        return records

    def _take_from(
        self, queue: list[tuple[float, ids.MinionId]], now_s: float, limit: int
    ) -> list[platform.MinionRecord]:
        records: list[platform.MinionRecord] = []
        # After a change of the entries most queued probes belong to others, so the scan is bounded.
        for _ in range(_MAX_SCANNED):
            if not queue or queue[0][0] > now_s or len(records) >= limit:
                break
            at_s, minion = heapq.heappop(queue)
            target = self.by_minion.get(minion)
            if target is None or target.next_probe_s != at_s:
                continue
            if self._is_prober(target):
                records.append(target.record)
        return records


def _compute_weight(entry: ids.EntryId, minion: ids.MinionId) -> int:
    # Rendezvous hashing; the multiplication breaks the linearity of the checksum.
    mixed = (zlib.crc32(entry.encode()) ^ zlib.crc32(minion.encode())) * _HASH_MULTIPLIER
    return (mixed ^ mixed >> 29) * _HASH_MULTIPLIER >> 32 & _MASK


def _compute_offset(minion: ids.MinionId) -> float:
    return zlib.crc32(minion.encode()) / _HASH_RANGE
