"""Acquire leases of services, run their holders, and release leases beyond this entry's share."""

import asyncio
import collections.abc
import dataclasses
import typing

import msgspec
from nutmegshelf import calls, codecs, exceptions, ids, leases, members, platform

from nutmegshelf_entry import logs, ports, rowcodec, supervision, writer

_TICK_S = 0.1
# Pause between two watch calls, so that one call returns the changes of several leases.
_WATCH_INTERVAL_S = 0.35
_WATCH_WAIT_S = 1.0
_RETRY_DELAY_S = 0.25
HEARTBEAT_INTERVAL_S = 2.0
MEMBER_TIMEOUT_S = 5.0
# A starting entry waits this long to learn of the other entries, so that leases spread evenly.
_STARTUP_DELAY_S = 0.7
# Leases that this entry held before a restart are acquired again as soon as they are seen.
_REACQUIRE_TICK_S = 0.02
# After a holder failed here, its lease is left to other entries for this long.
_REACQUIRE_DELAY_S = 1.0
_RELEASE_TIMEOUT_S = 1.0
_MAX_RELEASE_ATTEMPTS = 3
# An entry that can't reach the table gives its leases up after this time, if others can reach it.
_RELINQUISH_AFTER_S = 0.3
_MAX_PEERS_ASKED = 3
_ASK_INTERVAL_S = 0.4
_TABLE_CHECK_TIMEOUT_S = 0.2
_PEER_TIMEOUT_S = 0.3

_log = logs.get_logger("shards")


class LeaseHolder(typing.Protocol):
    """The interface of a holder, which runs while its lease is held."""

    writer: writer.Writer
    epoch: ids.Epoch

    async def run(self) -> None:
        """Serve until the lease is lost."""

    async def handle_call(self, call: calls.AnyCall) -> calls.Reply:
        """Answer a call about the service."""

    def has_unanswered_starts(self) -> bool:
        """Return whether starts may be carried out of which the next holder doesn't know."""

    def has_unfinished_jobs(self) -> bool:
        """Return whether the service needs a holder, even if it is not declared any more."""


# Creates the holder of a pool, given the time at which its lease was requested, and whether the
# former holder left starts without an answer.
HolderFactory = collections.abc.Callable[[ids.PoolName, float, bool], LeaseHolder]


@dataclasses.dataclass(frozen=True, slots=True)
class _Acquisition:
    """A lease that was requested at a time, in an epoch in which no holder has run yet."""

    epoch: ids.Epoch
    sent_s: float
    has_left_starts: bool


class LeaseManager:
    """The leases of this entry and the holders that run under them."""

    def __init__(
        self,
        rows: ports.RowStore,
        lease_set: leases.Leases,
        membership: members.Members,
        *,
        make_row: collections.abc.Callable[[int], members.EntryRow],
        make_holder: HolderFactory,
        peers: ports.PeerClient,
    ) -> None:
        self._rows = rows
        self._lease_set = lease_set
        self._members = membership
        self._make_row = make_row
        self._make_holder = make_holder
        self._peers = peers
        self._loop = asyncio.get_running_loop()
        self._holders: dict[ids.PoolName, tuple[LeaseHolder, asyncio.Task[None]]] = {}
        # Until its holder starts, as the answer to an acquisition may be lost.
        self._acquisitions: dict[ids.PoolName, _Acquisition] = {}
        self._lease_rows: dict[str, platform.Row] = {}
        self._is_leaving = False
        self._failed_pools: set[ids.PoolName] = set()
        self._reacquirable_from_s: dict[ids.PoolName, float] = {}
        self._has_sent_heartbeat = False
        self._is_predecessor_known = False
        self.pools: list[ids.PoolName] = []
        self.is_watching = False
        # Told once whether a process of this entry has ended without leaving.
        self.on_predecessor_known: collections.abc.Callable[[bool], None] = lambda existed: None

    def get_holder(self, pool: str) -> LeaseHolder | None:
        """Return the holder of a pool at this entry, or None."""
        running = self._holders.get(ids.PoolName(pool))
        return running[0] if running else None

    def get_holders(self) -> dict[ids.PoolName, LeaseHolder]:
        """Return the holders at this entry by pool."""
        return {pool: holder for pool, (holder, _) in self._holders.items()}

    def get_holder_address(self, pool: str) -> str | None:
        """Return the last known address of the entry that holds a pool's lease, or None."""
        lease = self._lease_set.holder(ids.PoolName(pool))
        return lease.address if lease is not None and lease.address else None

    def get_lease_version(self, pool: str) -> int:
        """Return the last known version of the row of a pool's lease, or 0."""
        row = self._lease_rows.get(leases.key(ids.PoolName(pool)))
        return row.version if row is not None else 0

    async def run(self) -> None:
        """Acquire, renew and release leases until cancelled."""
        async with asyncio.TaskGroup() as group:
            for name, run in {
                "watch of leases": self._watch_leases,
                "heartbeats": self._send_heartbeats,
                "allocation": lambda: self._allocate(group),
                "watch of the table": self._watch_table,
            }.items():
                group.create_task(supervision.keep_running(name, run))

    async def _watch_leases(self) -> None:
        after: int | None = None
        while True:
            try:
                changes = await self._rows.wait_for_changes("leases", after, _WATCH_WAIT_S)
            except exceptions.TableError as error:
                _log.warning("Failed to watch the leases.", why=str(error))
                self.is_watching = False
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            after = changes.version
            self.is_watching = True
            for row in changes.rows:
                latest = self._lease_rows.get(row.key)
                if latest is None or row.version >= latest.version:
                    self._store_lease_row(row)
            self._apply_lease_rows()
            await asyncio.sleep(_WATCH_INTERVAL_S)

    def _store_lease_row(self, row: platform.Row) -> None:
        # A deleted row has no value.
        if not row.version or rowcodec.decode(row, leases.LeaseRow) is not None:
            self._lease_rows[row.key] = row

    def _apply_lease_rows(self) -> None:
        latest_rows: list[platform.Row] = []
        for row in self._lease_rows.values():
            held = self._lease_set.held.get(leases.get_pool(row.key))
            # A transaction of this entry may have changed the row since the watch returned it.
            is_outdated = held is not None and held.version > row.version
            latest_rows.append(_make_lease_row(held) if held is not None and is_outdated else row)
        for pool in self._lease_set.observe(latest_rows, self._loop.time()):
            _log.warning("A lease was lost.", pool=pool)
            self._stop_holder(pool)

    async def _send_heartbeats(self) -> None:
        beat = 0
        while True:
            beat += 1
            row = self._make_row(beat)
            write = platform.Write(f"entries//{row.entry}", codecs.pack(row))
            try:
                if not self._is_predecessor_known:
                    await self._read_entries()
                    self.on_predecessor_known(self._members.is_listed_as_running(row.entry))
                    self._is_predecessor_known = True
                await self._rows.commit(platform.Transaction(writes=(write,)))
                await self._read_entries()
                self._has_sent_heartbeat = True
            except exceptions.TableError as error:
                _log.warning("Failed to renew the row of this entry.", why=str(error))
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            await asyncio.sleep(HEARTBEAT_INTERVAL_S if beat > 1 else _STARTUP_DELAY_S)

    async def _read_entries(self) -> None:
        entries = [
            entry
            for row in await self._rows.scan("entries//")
            if (entry := rowcodec.decode(row, members.EntryRow)) is not None
        ]
        self._members.apply_rows(entries, self._loop.time())

    async def _allocate(self, group: asyncio.TaskGroup) -> None:
        await self._reacquire(group)
        while True:
            self._align_holders(group)
            if self.is_watching and self._has_sent_heartbeat and not self._is_leaving:
                now_s = self._loop.time()
                for failed in list(self._failed_pools):
                    self._failed_pools.discard(failed)
                    if self._is_unfinished(failed):
                        self._lease_set.drop(failed)
                    else:
                        await self._release_lease(failed)
                    self._reacquirable_from_s[failed] = self._loop.time() + _REACQUIRE_DELAY_S
                pool = self._lease_set.select_next_to_acquire(
                    self._list_acquirable(now_s), self._holders, now_s
                )
                if pool is not None:
                    await self._acquire(pool)
                    self._align_holders(group)
                for pool in self._select_to_release(now_s):
                    # A holder whose starts have no answer is released by a later pass.
                    if not self._leaves_starts(pool):
                        await self._stop_and_release(pool)
            await asyncio.sleep(_TICK_S)

    def list_needed(self) -> list[ids.PoolName]:
        """Return the declared pools, and those that were left with unfinished jobs."""
        if not self.pools:
            return []
        return sorted({*self.pools, *self._lease_set.list_unreleased()})

    def _list_acquirable(self, now_s: float) -> list[ids.PoolName]:
        return [
            pool
            for pool in self.list_needed()
            if self._reacquirable_from_s.get(pool, now_s) <= now_s
        ]

    def _select_to_release(self, now_s: float) -> list[ids.PoolName]:
        selected = self._lease_set.select_to_release(self.pools, self._list_entries(now_s), now_s)
        undeclared = [pool for pool in selected if pool not in self.pools]
        excess = [pool for pool in selected if pool in self.pools]
        # One lease beyond the share is kept, as a service pauses whenever its lease changes hands.
        return [pool for pool in undeclared if not self._is_unfinished(pool)] + excess[:-1]

    def _is_unfinished(self, pool: ids.PoolName) -> bool:
        """Return whether a pool that is not declared needs a holder for its accepted jobs."""
        running = self._holders.get(pool)
        return pool not in self.pools and (running is None or running[0].has_unfinished_jobs())

    async def _reacquire(self, group: asyncio.TaskGroup) -> None:
        """Acquire what an earlier process of this entry held, while other entries become known."""
        until_s = self._loop.time() + _STARTUP_DELAY_S
        while self._loop.time() < until_s:
            pool = None
            if self.is_watching and not self._is_leaving:
                pool = self._lease_set.select_to_reacquire(self.list_needed(), self._holders)
            if pool is not None:
                await self._acquire(pool)
            self._align_holders(group)
            await asyncio.sleep(_REACQUIRE_TICK_S)

    def _list_entries(self, now_s: float) -> list[ids.EntryId]:
        live = {row.entry for row in self._members.get_live(now_s) if not row.leaving}
        live -= self._lease_set.expired_holders(now_s)
        return sorted(live | {self._lease_set.entry})

    async def _acquire(self, pool: ids.PoolName) -> None:
        acquisition = _Acquisition(
            self._lease_set.get_next_epoch(pool),
            self._loop.time(),
            self._lease_set.has_left_starts(pool),
        )
        earlier = self._acquisitions.get(pool)
        if earlier is None or earlier.epoch != acquisition.epoch:
            # Of several attempts without an answer, any one may be carried out; the first is the
            # safe one to count the age of the lease from.
            self._acquisitions[pool] = acquisition
        try:
            committed = await self._rows.commit(self._lease_set.make_acquisition(pool))
        except exceptions.TableError as error:
            _log.warning("Failed to acquire a lease.", pool=pool, why=str(error))
            await asyncio.sleep(_RETRY_DELAY_S)
            return
        for row in committed.rows:
            self._store_lease_row(row)
        if not committed.ok:
            self._apply_lease_rows()
            return
        self._acquisitions[pool] = acquisition
        lease_key = leases.key(pool)
        row = next(row for row in committed.rows if row.key == lease_key)
        self._lease_set.observe_held(row, self._loop.time())
        if self._is_leaving:
            await self._release_lease(pool)

    def _align_holders(self, group: asyncio.TaskGroup) -> None:
        """Start the holders of held leases, and stop those whose lease is not held any more.

        A holder starts in an epoch that was acquired for it and in which none has run before. Any
        other lease that is held without a holder is acquired anew.
        """
        held_by_pool = self._lease_set.held
        for pool, (holder, _) in list(self._holders.items()):
            held = held_by_pool.get(pool)
            if held is None or held.lease.epoch != holder.epoch:
                _log.warning("A lease was lost.", pool=pool, epoch=holder.epoch)
                self._stop_holder(pool)
        if self._is_leaving:
            return
        for pool, held in list(held_by_pool.items()):
            acquisition = self._acquisitions.get(pool)
            if pool in self._holders or acquisition is None:
                continue
            if acquisition.epoch == held.lease.epoch:
                del self._acquisitions[pool]
                self._start_holder(pool, acquisition, group)

    def _start_holder(
        self, pool: ids.PoolName, acquisition: _Acquisition, group: asyncio.TaskGroup
    ) -> None:
        age_s = round(self._loop.time() - acquisition.sent_s, 3)
        _log.info("A lease is taken.", pool=pool, epoch=acquisition.epoch, age_s=age_s)
        holder = self._make_holder(pool, acquisition.sent_s, acquisition.has_left_starts)
        self._holders[pool] = holder, group.create_task(self._run_holder(pool, holder))

    async def _run_holder(self, pool: ids.PoolName, holder: LeaseHolder) -> None:
        try:
            await holder.run()
        except* writer.LeaseLost as lost:
            _log.warning("A lease was lost.", pool=pool, why=str(lost.exceptions[0]))
            held = self._lease_set.held.get(pool)
            if held is not None and held.lease.epoch == holder.epoch:
                self._lease_set.drop(pool)
        except* Exception as fault:
            # Another entry, or a new holder at this entry, resumes from the stored rows.
            _log.error("A holder failed.", pool=pool, exc_info=fault)
            self._failed_pools.add(pool)
        finally:
            running = self._holders.get(pool)
            if running is not None and running[0] is holder:
                del self._holders[pool]

    def _stop_holder(self, pool: ids.PoolName) -> None:
        running = self._holders.pop(pool, None)
        if running is not None:
            running[1].cancel()

    async def _release_lease(self, pool: ids.PoolName, *, leaves_starts: bool = False) -> bool:
        for _ in range(_MAX_RELEASE_ATTEMPTS):
            if pool not in self._lease_set.held:
                return False
            try:
                release = self._lease_set.make_release(pool, leaves_starts=leaves_starts)
                committed = await self._rows.commit(release)
            except exceptions.TableError as error:
                _log.warning("Failed to release a lease.", pool=pool, why=str(error))
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            for row in committed.rows:
                self._store_lease_row(row)
            if committed.ok:
                self._lease_set.drop(pool)
                return True
            # The holder's last transaction may have changed the row after the holder was cancelled.
            changed = next((row for row in committed.rows if row.key == leases.key(pool)), None)
            if changed is None or not self._lease_set.is_held(changed):
                break
            self._lease_set.observe_held(changed, self._loop.time())
        self._lease_set.drop(pool)
        return False

    def _leaves_starts(self, pool: ids.PoolName) -> bool:
        """Return whether a holder leaves starts that the next one has to wait for.

        The next holder doesn't know of them, and waits from when it asked for the lease.
        """
        running = self._holders.get(pool)
        return running is not None and running[0].has_unanswered_starts()

    async def _stop_and_release(self, pool: ids.PoolName) -> None:
        running = self._holders.get(pool)
        leaves_starts, is_unfinished = self._leaves_starts(pool), self._is_unfinished(pool)
        self._stop_holder(pool)
        if running is not None:
            await asyncio.wait([running[1]])
        if is_unfinished:
            # Others take a lease that nobody has given back, whether it is declared or not.
            _log.info("A lease expires, as an undeclared service has jobs.", pool=pool)
            self._lease_set.drop(pool)
        elif await self._release_lease(pool, leaves_starts=leaves_starts):
            _log.info("A lease is given back.", pool=pool, leaves_starts=leaves_starts)

    async def _watch_table(self) -> None:
        """Relinquish all leases when other entries reach the table, but this one does not."""
        failing_since_s: float | None = None
        while True:
            await asyncio.sleep(_TICK_S)
            if self._rows.is_available or not self._holders:
                failing_since_s = None
                continue
            now_s = self._loop.time()
            failing_since_s = failing_since_s if failing_since_s is not None else now_s
            if now_s - failing_since_s < _RELINQUISH_AFTER_S:
                continue
            peers = self._members.get_active(now_s)
            if await self._can_any_read_table(peers):
                await self._relinquish(peers)
            else:
                await asyncio.sleep(_ASK_INTERVAL_S)

    async def _can_any_read_table(self, peers: list[members.EntryRow]) -> bool:
        pool = next(iter(self._holders))
        call = calls.CheckTableAccess(service=ids.ServiceName(pool))
        asked_peers = peers[:_MAX_PEERS_ASKED]
        replies = await asyncio.gather(*(self._call_peer(row, call) for row in asked_peers))
        return any(reply.status is calls.Status.DONE for reply in replies if reply is not None)

    async def _relinquish(self, peers: list[members.EntryRow]) -> None:
        epochs = {pool: self._lease_set.held[pool].lease.epoch for pool in self._lease_set.held}
        leaving_starts = {pool for pool in self._holders if self._leaves_starts(pool)}
        # The holders end first, so that they issue no orders after the other entries are notified.
        tasks = [task for _, task in self._holders.values()]
        for pool in list(self._holders):
            self._stop_holder(pool)
        if tasks:
            await asyncio.wait(tasks)
        for pool, epoch in epochs.items():
            self._lease_set.drop(pool)
            leaves_starts = pool in leaving_starts
            _log.warning(
                "A lease is given up, as only others reach the table.",
                pool=pool,
                leaves_starts=leaves_starts,
            )
            call = calls.LeaseRelinquished(
                service=ids.ServiceName(pool), epoch=epoch, leaves_starts=leaves_starts
            )
            await asyncio.gather(*(self._call_peer(row, call) for row in peers))

    async def _call_peer(self, row: members.EntryRow, call: calls.AnyCall) -> calls.Reply | None:
        try:
            return await self._peers.call(row.peer_address, call, _PEER_TIMEOUT_S)
        except exceptions.PeerError as error:
            _log.info("A call to a peer failed.", entry=row.entry, why=str(error))
            return None

    async def can_read_table(self, pool: str) -> bool:
        """Return whether this entry can read a lease from the table."""
        try:
            async with asyncio.timeout(_TABLE_CHECK_TIMEOUT_S):
                await self._rows.read(leases.key(ids.PoolName(pool)))
        except (exceptions.TableError, TimeoutError) as error:
            _log.info("The table does not answer this entry either.", why=repr(error))
            return False
        return True

    def record_relinquished(self, pool: str, epoch: ids.Epoch, *, leaves_starts: bool) -> None:
        """Record that a holder gave its lease up, so that it can be acquired at once."""
        _log.info("A lease was given up.", pool=pool, epoch=epoch)
        self._lease_set.mark_relinquished(
            ids.PoolName(pool), epoch, self._loop.time(), leaves_starts=leaves_starts
        )

    async def leave(self) -> None:
        """Release all leases, and mark this entry as leaving in its row."""
        self._is_leaving = True
        try:
            async with asyncio.timeout(_RELEASE_TIMEOUT_S):
                pools = self._holders.keys() | self._lease_set.held.keys()
                await asyncio.gather(*[self._stop_and_release(pool) for pool in sorted(pools)])
                row = msgspec.structs.replace(self._make_row(0), leaving=True)
                write = platform.Write(f"entries//{row.entry}", codecs.pack(row))
                await self._rows.commit(platform.Transaction(writes=(write,)))
        except (exceptions.TableError, TimeoutError) as error:
            _log.warning("Not all leases were released.", why=repr(error))


def _make_lease_row(held: leases.HeldLease) -> platform.Row:
    return platform.Row(leases.key(held.lease.pool), held.version, codecs.pack(held.lease))
