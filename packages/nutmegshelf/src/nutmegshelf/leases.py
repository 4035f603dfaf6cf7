"""Decide who holds the lease of a pool, and fence every effect with its row."""

import dataclasses
import hashlib
import math

import msgspec

from nutmegshelf import codecs, ids, platform

PREFIX = "leases/"
_RANK_DELAY_FRACTION = 0.1
_ABANDONED_LEASES = 2.0
_RENEWAL_FRACTION = 0.25
_KEPT_LEASES = 4.0
_STEP_DELAY_S = 0.15


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one pool's lease: epoch by holder, beat by effect, revision by change of hosts' rows."""

    pool: ids.PoolName
    holder: ids.EntryId | None
    incarnation: str
    epoch: ids.Epoch
    beat: int = 0
    revision: int = 0
    address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """Keep a lease of this entry with the row version that its effects are conditional on."""

    lease: LeaseRow
    version: int


@dataclasses.dataclass(slots=True)
class _Sight:
    version: int
    since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _GivenUp:
    epoch: ids.Epoch
    since_s: float


def key(pool: ids.PoolName) -> str:
    """Name the row of a pool's lease."""
    return PREFIX + pool


def make_operation_id(lease: LeaseRow, subject: str, step: int) -> ids.OperationId:
    """Name an order by pool, epoch and step."""
    return ids.OperationId(f"{lease.pool}:{lease.epoch}:{subject}:{step}")


def make_fenced_transaction(
    held: HeldLease,
    conditions: tuple[platform.Condition, ...] = (),
    writes: tuple[platform.Write, ...] = (),
    *,
    bumps_revision: bool = True,
) -> platform.Transaction:
    """Make a transaction conditional on the lease's row; it renews and may revise the lease."""
    renewed = msgspec.structs.replace(
        held.lease,
        beat=held.lease.beat + 1,
        revision=held.lease.revision + int(bumps_revision and bool(writes)),
    )
    own = key(held.lease.pool)
    return platform.Transaction(
        conditions=(platform.Condition(own, held.version), *conditions),
        writes=(platform.Write(own, codecs.pack(renewed)), *writes),
    )


class Leases:
    """Watch the lease rows on the own clock alone and choose which to take.

    With a delay, other entries may take a free lease first.
    """

    def __init__(
        self,
        entry: ids.EntryId,
        incarnation: str,
        duration_s: float,
        address: str = "",
        *,
        delay_s: float = 0.0,
    ) -> None:
        self.entry = entry
        self._address = address
        self._delay_s = delay_s
        self.incarnation = incarnation
        self.duration_s = duration_s
        self.held: dict[ids.PoolName, HeldLease] = {}
        self._rows: dict[ids.PoolName, platform.Row] = {}
        self._leases: dict[ids.PoolName, LeaseRow] = {}
        self._sights: dict[ids.PoolName, _Sight] = {}
        self._since_s: dict[ids.PoolName, float] = {}
        # Leases whose holders said that they gave them up.
        self._given_up: dict[ids.PoolName, _GivenUp] = {}

    def observe(self, rows: list[platform.Row], now_s: float) -> list[ids.PoolName]:
        """Take the lease rows as read; gives the pools whose lease was lost."""
        before = set(self.held)
        self.held.clear()
        for row in rows:
            lease = codecs.unpack(row.value, LeaseRow)
            sight = self._sights.get(lease.pool)
            if sight is None or sight.version != row.version:
                self._sights[lease.pool] = _Sight(row.version, now_s)
            self._rows[lease.pool], self._leases[lease.pool] = row, lease
            if lease.holder == self.entry and lease.incarnation == self.incarnation:
                self.held[lease.pool] = HeldLease(lease, row.version)
                self._since_s.setdefault(lease.pool, now_s)
        lost = sorted(before - self.held.keys())
        for pool in lost:
            self._since_s.pop(pool, None)
        return lost

    def observe_held(self, row: platform.Row, now_s: float) -> None:
        """Take the own lease's row as an own transaction wrote it."""
        lease = codecs.unpack(row.value, LeaseRow)
        self._rows[lease.pool], self._leases[lease.pool] = row, lease
        self._sights[lease.pool] = _Sight(row.version, now_s)
        self.held[lease.pool] = HeldLease(lease, row.version)
        self._since_s.setdefault(lease.pool, now_s)

    def is_held(self, row: platform.Row) -> bool:
        """Say whether a row is that of a lease held here."""
        if not row.version:
            return False
        lease = codecs.unpack(row.value, LeaseRow)
        held = self.held.get(lease.pool)
        return held is not None and (lease.incarnation, lease.epoch) == (
            held.lease.incarnation,
            held.lease.epoch,
        )

    def holder(self, pool: ids.PoolName) -> LeaseRow | None:
        """Give a pool's lease as last seen, or none where nobody holds it."""
        lease = self._leases.get(pool)
        return lease if lease is not None and lease.holder is not None else None

    def drop(self, pool: ids.PoolName) -> None:
        """Stop holding a lease whose row another transaction changed."""
        self.held.pop(pool, None)
        self._since_s.pop(pool, None)

    def mark_relinquished(self, pool: ids.PoolName, epoch: ids.Epoch, now_s: float) -> None:
        """Note that the holder of a lease's epoch gives no orders any more."""
        self._given_up[pool] = _GivenUp(epoch, now_s)

    def expired_holders(self, now_s: float) -> set[ids.EntryId]:
        """Give the entries that let a lease lapse."""
        return {
            lease.holder
            for pool, lease in self._leases.items()
            if lease.holder is not None
            and lease.holder != self.entry
            and self._unchanged_s(pool, now_s) >= self.duration_s
        }

    def revisions(self) -> dict[ids.PoolName, int]:
        """Give the revision of each pool as its lease's row was last seen."""
        return {pool: lease.revision for pool, lease in self._leases.items()}

    def is_renewal_due(self, pool: ids.PoolName, now_s: float) -> bool:
        """Say whether a held lease's row has stood unchanged for a part of its time."""
        return self._unchanged_s(pool, now_s) >= _RENEWAL_FRACTION * self.duration_s

    def select_to_acquire(
        self, pools: list[ids.PoolName], entries: list[ids.EntryId], now_s: float
    ) -> list[ids.PoolName]:
        """Choose the leases to take now, spread evenly over the live entries."""
        share = _share(pools, entries)
        chosen: list[ids.PoolName] = []
        for pool in sorted(pools):
            self._sights.setdefault(pool, _Sight(0, now_s))
            if pool in self.held or not self._may_take(pool, entries, now_s):
                continue
            if len(self.held) + len(chosen) < share or self._is_abandoned(pool, now_s):
                chosen.append(pool)
        return chosen

    def select_next_to_acquire(
        self, pools: list[ids.PoolName], now_s: float
    ) -> ids.PoolName | None:
        """Choose one lease that nobody holds; the more an entry holds, the longer it waits.

        No lease waits for an entry with a free share, as work stands still until it is held.
        """
        delay_s = self._delay_s + _STEP_DELAY_S * len(self.held)
        for pool in sorted(pools, key=lambda pool: -_weight(pool, self.entry)):
            if pool in self.held:
                continue
            self._sights.setdefault(pool, _Sight(0, now_s))
            if now_s >= self._free_from_s(pool) + delay_s:
                return pool
        return None

    def _free_from_s(self, pool: ids.PoolName) -> float:
        lease, since_s = self._leases.get(pool), self._sights[pool].since_s
        if lease is None or lease.holder is None or lease.holder == self.entry:
            return since_s
        given_up = self._given_up.get(pool)
        if given_up is not None and given_up.epoch == lease.epoch:
            return given_up.since_s
        return since_s + self.duration_s

    def select_to_reacquire(self, pools: list[ids.PoolName]) -> ids.PoolName | None:
        """Choose one lease that an earlier process of this entry held, which has ended."""
        for pool in sorted(pools):
            lease = self._leases.get(pool)
            if lease is not None and lease.holder == self.entry and pool not in self.held:
                return pool
        return None

    def select_to_release(
        self, pools: list[ids.PoolName], entries: list[ids.EntryId], now_s: float
    ) -> list[ids.PoolName]:
        """Choose the leases above the own share, and those of pools no longer declared."""
        undeclared = sorted(self.held.keys() - set(pools))
        kept_s = _KEPT_LEASES * self.duration_s
        settled = [pool for pool in self.held if now_s - self._since_s.get(pool, now_s) >= kept_s]
        mine = sorted(set(settled) & set(pools), key=lambda pool: _weight(pool, self.entry))
        excess = len(self.held) - len(undeclared) - _share(pools, entries)
        return undeclared + mine[: max(0, excess)]

    def make_acquisition(self, pool: ids.PoolName) -> platform.Transaction:
        """Make the transaction that takes a lease with the next epoch."""
        row, lease = self._rows.get(pool), self._leases.get(pool)
        taken = LeaseRow(
            pool=pool,
            holder=self.entry,
            incarnation=self.incarnation,
            epoch=ids.Epoch(lease.epoch + 1 if lease else 1),
            revision=lease.revision if lease else 0,
            address=self._address,
        )
        return platform.Transaction(
            conditions=(platform.Condition(key(pool), row.version if row else 0),),
            writes=(platform.Write(key(pool), codecs.pack(taken)),),
        )

    def make_release(self, pool: ids.PoolName) -> platform.Transaction:
        """Make the transaction that gives a lease back; its epoch stays."""
        held = self.held[pool]
        free = msgspec.structs.replace(held.lease, holder=None, incarnation="", address="")
        return platform.Transaction(
            conditions=(platform.Condition(key(pool), held.version),),
            writes=(platform.Write(key(pool), codecs.pack(free)),),
        )

    def _may_take(self, pool: ids.PoolName, entries: list[ids.EntryId], now_s: float) -> bool:
        lease = self._leases.get(pool)
        if lease is None or lease.holder is None:
            return True
        if lease.holder == self.entry:
            # An earlier process of this entry held it, and that one has ended.
            return True
        # Entries queue by rank, so that they don't all race for a lapsed lease at once.
        rank = sum(_weight(pool, entry) > _weight(pool, self.entry) for entry in entries)
        wait_s = self.duration_s * (1 + _RANK_DELAY_FRACTION * rank)
        return self._unchanged_s(pool, now_s) >= wait_s

    def _is_abandoned(self, pool: ids.PoolName, now_s: float) -> bool:
        # Entries may disagree on who lives; after two lease times no share keeps a pool waiting.
        return self._unchanged_s(pool, now_s) >= _ABANDONED_LEASES * self.duration_s

    def _unchanged_s(self, pool: ids.PoolName, now_s: float) -> float:
        return now_s - self._sights[pool].since_s


def _share(pools: list[ids.PoolName], entries: list[ids.EntryId]) -> int:
    return math.ceil(len(pools) / max(1, len(entries)))


def _weight(pool: ids.PoolName, entry: ids.EntryId) -> int:
    found = hashlib.blake2b(f"{pool}\0{entry}".encode(), digest_size=8).digest()
    return int.from_bytes(found)
