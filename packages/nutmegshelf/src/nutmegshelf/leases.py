"""Allocate the leases of pools to entries, and make transactions that only the holder can apply."""

import collections.abc
import dataclasses
import hashlib
import math

import msgspec

from nutmegshelf import codecs, ids, platform

PREFIX = "leases/"
_RANK_DELAY_FRACTION = 0.1
_ABANDONED_AFTER_DURATIONS = 2.0
_RENEWAL_FRACTION = 0.25
_MIN_HELD_DURATIONS = 4.0
_DELAY_PER_HELD_LEASE_S = 0.15


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """The lease of a pool.

    The epoch grows with each holder, the beat with each transaction of the holder, and the
    revision with each change to rows of hosts. A lease that was given back tells whether its holder
    left starts without an answer.
    """

    pool: ids.PoolName
    holder: ids.EntryId | None
    incarnation: str
    epoch: ids.Epoch
    beat: int = 0
    revision: int = 0
    address: str = ""
    leaves_starts: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that this entry holds, with the row version that its transactions depend on."""

    lease: LeaseRow
    version: int


@dataclasses.dataclass(slots=True)
class _Observation:
    version: int
    since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Relinquished:
    epoch: ids.Epoch
    since_s: float
    leaves_starts: bool


def key(pool: ids.PoolName) -> str:
    """Return the key of the row with a pool's lease."""
    return PREFIX + pool


def get_pool(row_key: str) -> ids.PoolName:
    """Return the pool of a lease's row."""
    return ids.PoolName(row_key.removeprefix(PREFIX))


def make_operation_id(lease: LeaseRow, subject: str, step: int) -> ids.OperationId:
    """Return the id of an order, which consists of pool, epoch, subject and step."""
    return ids.OperationId(f"{lease.pool}:{lease.epoch}:{subject}:{step}")


def make_fenced_transaction(
    held: HeldLease,
    conditions: tuple[platform.Condition, ...] = (),
    writes: tuple[platform.Write, ...] = (),
    *,
    bumps_revision: bool = True,
) -> platform.Transaction:
    """Return a transaction that depends on an unchanged lease, and renews it.

    The revision of the lease grows if the transaction writes rows, unless bumps_revision is false.
    """
    renewed = msgspec.structs.replace(
        held.lease,
        beat=held.lease.beat + 1,
        revision=held.lease.revision + int(bumps_revision and bool(writes)),
    )
    lease_key = key(held.lease.pool)
    return platform.Transaction(
        conditions=(platform.Condition(lease_key, held.version), *conditions),
        writes=(platform.Write(lease_key, codecs.pack(renewed)), *writes),
    )


class Leases:
    """The leases of all pools as this entry sees them, timed by its own clock alone.

    With a delay, other entries can acquire a free lease first.
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
        self._observations: dict[ids.PoolName, _Observation] = {}
        self._held_since_s: dict[ids.PoolName, float] = {}
        # Leases whose holders announced that they gave them up.
        self._relinquished: dict[ids.PoolName, _Relinquished] = {}

    def observe(self, rows: list[platform.Row], now_s: float) -> list[ids.PoolName]:
        """Apply the lease rows as read, and return the pools whose lease this entry lost."""
        before = set(self.held)
        self.held.clear()
        for row in rows:
            if not row.version:
                self._forget(get_pool(row.key), now_s)
                continue
            lease = codecs.unpack(row.value, LeaseRow)
            observation = self._observations.get(lease.pool)
            if observation is None or observation.version != row.version:
                self._observations[lease.pool] = _Observation(row.version, now_s)
            self._rows[lease.pool], self._leases[lease.pool] = row, lease
            if lease.holder == self.entry and lease.incarnation == self.incarnation:
                self.held[lease.pool] = HeldLease(lease, row.version)
                self._held_since_s.setdefault(lease.pool, now_s)
        lost = sorted(before - self.held.keys())
        for pool in lost:
            self._held_since_s.pop(pool, None)
        return lost

    def _forget(self, pool: ids.PoolName, now_s: float) -> None:
        """Apply the deletion of a lease's row."""
        if self._rows.pop(pool, None) is not None:
            self._leases.pop(pool, None)
            self._observations[pool] = _Observation(0, now_s)

    def observe_held(self, row: platform.Row, now_s: float) -> None:
        """Apply the row of a lease that this entry wrote as its holder."""
        lease = codecs.unpack(row.value, LeaseRow)
        self._rows[lease.pool], self._leases[lease.pool] = row, lease
        self._observations[lease.pool] = _Observation(row.version, now_s)
        self.held[lease.pool] = HeldLease(lease, row.version)
        self._held_since_s.setdefault(lease.pool, now_s)

    def is_held(self, row: platform.Row) -> bool:
        """Return whether a row is that of a lease that this entry holds."""
        if not row.version:
            return False
        lease = codecs.unpack(row.value, LeaseRow)
        held = self.held.get(lease.pool)
        return held is not None and (lease.incarnation, lease.epoch) == (
            held.lease.incarnation,
            held.lease.epoch,
        )

    def holder(self, pool: ids.PoolName) -> LeaseRow | None:
        """Return the latest known lease of a pool, or None where no entry holds it."""
        lease = self._leases.get(pool)
        return lease if lease is not None and lease.holder is not None else None

    def list_unreleased(self) -> list[ids.PoolName]:
        """Return the pools whose lease was acquired and not given back, expired ones included."""
        return [pool for pool, lease in self._leases.items() if lease.holder is not None]

    def drop(self, pool: ids.PoolName) -> None:
        """Stop holding a lease, for example after another transaction changed its row."""
        self.held.pop(pool, None)
        self._held_since_s.pop(pool, None)

    def mark_relinquished(
        self, pool: ids.PoolName, epoch: ids.Epoch, now_s: float, *, leaves_starts: bool
    ) -> None:
        """Record that the holder of an epoch issues no orders any more."""
        self._relinquished[pool] = _Relinquished(epoch, now_s, leaves_starts)

    def has_left_starts(self, pool: ids.PoolName) -> bool:
        """Return whether the last holder said that it leaves starts without an answer."""
        lease, relinquished = self._leases.get(pool), self._relinquished.get(pool)
        if lease is None:
            return False
        if relinquished is not None and relinquished.epoch == lease.epoch:
            return relinquished.leaves_starts
        return lease.leaves_starts

    def expired_holders(self, now_s: float) -> set[ids.EntryId]:
        """Return the other entries that hold an expired lease."""
        return {
            lease.holder
            for pool, lease in self._leases.items()
            if lease.holder is not None
            and lease.holder != self.entry
            and self._get_unchanged_s(pool, now_s) >= self.duration_s
        }

    def revisions(self) -> dict[ids.PoolName, int]:
        """Return the latest known revision of each lease by pool."""
        return {pool: lease.revision for pool, lease in self._leases.items()}

    def is_renewal_due(self, pool: ids.PoolName, now_s: float) -> bool:
        """Return whether a fraction of the lease duration has passed since the last renewal."""
        return self._get_unchanged_s(pool, now_s) >= _RENEWAL_FRACTION * self.duration_s

    def select_to_acquire(
        self, pools: list[ids.PoolName], entries: list[ids.EntryId], now_s: float
    ) -> list[ids.PoolName]:
        """Choose the leases to acquire now, so that they spread evenly over the live entries."""
        share = _get_share(pools, entries)
        selected: list[ids.PoolName] = []
        for pool in sorted(pools):
            self._observations.setdefault(pool, _Observation(0, now_s))
            if pool in self.held or not self._may_acquire(pool, entries, now_s):
                continue
            if len(self.held) + len(selected) < share or self._is_abandoned(pool, now_s):
                selected.append(pool)
        return selected

    def select_next_to_acquire(
        self,
        pools: list[ids.PoolName],
        running: collections.abc.Collection[ids.PoolName],
        now_s: float,
    ) -> ids.PoolName | None:
        """Choose one free lease; an entry waits longer the more pools run at it.

        An entry does not leave leases beyond its share to others, as the work of a pool stops while
        no entry holds its lease. A lease that this entry holds without running the pool is free.
        """
        delay_s = self._delay_s + _DELAY_PER_HELD_LEASE_S * len(running)
        for pool in sorted(pools, key=lambda pool: -_get_weight(pool, self.entry)):
            if pool in running:
                continue
            self._observations.setdefault(pool, _Observation(0, now_s))
            if now_s >= self._get_free_since_s(pool) + delay_s:
                return pool
        return None

    def _get_free_since_s(self, pool: ids.PoolName) -> float:
        lease, since_s = self._leases.get(pool), self._observations[pool].since_s
        if lease is None or lease.holder is None or lease.holder == self.entry:
            return since_s
        relinquished = self._relinquished.get(pool)
        if relinquished is not None and relinquished.epoch == lease.epoch:
            return relinquished.since_s
        return since_s + self.duration_s

    def select_to_reacquire(
        self, pools: list[ids.PoolName], running: collections.abc.Collection[ids.PoolName]
    ) -> ids.PoolName | None:
        """Choose one lease that an earlier process of this entry held and did not release."""
        for pool in sorted(pools):
            lease = self._leases.get(pool)
            if lease is not None and lease.holder == self.entry and pool not in running:
                return pool
        return None

    def select_to_release(
        self, pools: list[ids.PoolName], entries: list[ids.EntryId], now_s: float
    ) -> list[ids.PoolName]:
        """Choose the leases beyond the entry's share, and those of undeclared pools."""
        undeclared = sorted(self.held.keys() - set(pools))
        min_held_s = _MIN_HELD_DURATIONS * self.duration_s
        releasable = [
            pool for pool in self.held if now_s - self._held_since_s.get(pool, now_s) >= min_held_s
        ]
        by_weight = sorted(
            set(releasable) & set(pools), key=lambda pool: _get_weight(pool, self.entry)
        )
        excess = len(self.held) - len(undeclared) - _get_share(pools, entries)
        return undeclared + by_weight[: max(0, excess)]

    def get_next_epoch(self, pool: ids.PoolName) -> ids.Epoch:
        """Return the epoch in which the next acquisition holds a lease."""
        lease = self._leases.get(pool)
        return ids.Epoch(lease.epoch + 1 if lease else 1)

    def make_acquisition(self, pool: ids.PoolName) -> platform.Transaction:
        """Return the transaction that acquires a lease with the next epoch."""
        row, lease = self._rows.get(pool), self._leases.get(pool)
        acquired = LeaseRow(
            pool=pool,
            holder=self.entry,
            incarnation=self.incarnation,
            epoch=self.get_next_epoch(pool),
            revision=lease.revision if lease else 0,
            address=self._address,
        )
        return platform.Transaction(
            conditions=(platform.Condition(key(pool), row.version if row else 0),),
            writes=(platform.Write(key(pool), codecs.pack(acquired)),),
        )

    def make_release(
        self, pool: ids.PoolName, *, leaves_starts: bool = False
    ) -> platform.Transaction:
        """Return the transaction that releases a lease and keeps its epoch."""
        held = self.held[pool]
        released = msgspec.structs.replace(
            held.lease, holder=None, incarnation="", address="", leaves_starts=leaves_starts
        )
        return platform.Transaction(
            conditions=(platform.Condition(key(pool), held.version),),
            writes=(platform.Write(key(pool), codecs.pack(released)),),
        )

    def _may_acquire(self, pool: ids.PoolName, entries: list[ids.EntryId], now_s: float) -> bool:
        lease = self._leases.get(pool)
        if lease is None or lease.holder is None:
            return True
        if lease.holder == self.entry:
            # An earlier process of this entry held the lease and has ended.
            return True
        # A delay by rank prevents entries from competing for an expired lease at the same time.
        rank = sum(_get_weight(pool, entry) > _get_weight(pool, self.entry) for entry in entries)
        wait_s = self.duration_s * (1 + _RANK_DELAY_FRACTION * rank)
        return self._get_unchanged_s(pool, now_s) >= wait_s

    def _is_abandoned(self, pool: ids.PoolName, now_s: float) -> bool:
        # Entries may disagree on which entries are live, and so on their shares. A lease that stays
        # unchanged for two durations is acquired regardless of the share.
        return self._get_unchanged_s(pool, now_s) >= _ABANDONED_AFTER_DURATIONS * self.duration_s

    def _get_unchanged_s(self, pool: ids.PoolName, now_s: float) -> float:
        return now_s - self._observations[pool].since_s


def _get_share(pools: list[ids.PoolName], entries: list[ids.EntryId]) -> int:
    return math.ceil(len(pools) / max(1, len(entries)))


def _get_weight(pool: ids.PoolName, entry: ids.EntryId) -> int:
    digest = hashlib.blake2b(f"{pool}\0{entry}".encode(), digest_size=8).digest()
    return int.from_bytes(digest)
