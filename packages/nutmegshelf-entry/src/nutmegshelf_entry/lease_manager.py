"""Hold a share of the services: take leases, run their holders, give leases back."""

import asyncio
import collections.abc
import typing

import msgspec
from nutmegshelf import calls, codecs, exceptions, ids, leases, members, platform

from nutmegshelf_entry import logs, ports, writer

_TICK_S = 0.1
# Leases are looked at together, so that a change does not cost a call by itself.
_WATCH_GAP_S = 0.35
_WATCH_WAIT_S = 1.0
_RETRY_S = 0.25
HEARTBEAT_INTERVAL_S = 2.0
MEMBER_TIMEOUT_S = 5.0
# A starting entry first learns who else is there, so that leases spread evenly.
_SETTLE_S = 0.7
# What it held before it started again is taken as soon as it is seen.
_RESUME_TICK_S = 0.02
# After a holder failed here, other entries may take its lease for this long.
_RETAKE_AFTER_S = 1.0
_RELEASE_LIMIT_S = 1.0
_RELEASE_TRIES = 3
# A holder without the table gives its leases up after this time, if others reach the table.
_GIVE_UP_AFTER_S = 0.3
_MOST_ASKED = 3
_ASK_AGAIN_S = 0.4
_PROOF_LIMIT_S = 0.2
_TELL_LIMIT_S = 0.3

_log = logs.get_logger("shards")


class LeaseHolder(typing.Protocol):
    """Name what the shards need of a holder."""

    writer: writer.Writer

    async def run(self) -> None:
        """Serve until the lease is lost."""

    async def handle_call(self, call: calls.AnyCall) -> calls.Reply:
        """Answer a call."""


HolderFactory = collections.abc.Callable[[ids.PoolName, float], LeaseHolder]


class LeaseManager:
    """Own the leases of this entry and the holders that run under them."""

    def __init__(
        self,
        rows: ports.RowStore,
        book: leases.Leases,
        known: members.Members,
        *,
        row: collections.abc.Callable[[int], members.EntryRow],
        make: HolderFactory,
        peers: ports.PeerClient,
    ) -> None:
        self._rows = rows
        self._book = book
        self._members = known
        self._row = row
        self._make = make
        self._peers = peers
        self._loop = asyncio.get_running_loop()
        self._holders: dict[ids.PoolName, tuple[LeaseHolder, asyncio.Task[None]]] = {}
        self._lease_rows: dict[str, platform.Row] = {}
        self._leaving = False
        self._broken: set[ids.PoolName] = set()
        self._retaken_from_s: dict[ids.PoolName, float] = {}
        self._beat_done = False
        self.pools: list[ids.PoolName] = []
        self.is_watching = False

    def get_holder(self, pool: str) -> LeaseHolder | None:
        """Give the own holder of a pool, or none."""
        found = self._holders.get(ids.PoolName(pool))
        return found[0] if found else None

    def get_holders(self) -> dict[ids.PoolName, LeaseHolder]:
        """Give all own holders."""
        return {pool: held for pool, (held, _) in self._holders.items()}

    def get_holder_address(self, pool: str) -> str | None:
        """Give the address of the entry that holds a pool, as last seen."""
        lease = self._book.holder(ids.PoolName(pool))
        return lease.address if lease is not None and lease.address else None

    async def run(self) -> None:
        """Take part until the entry leaves."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch())
            group.create_task(self._beat())
            group.create_task(self._hold(group))
            group.create_task(self._watch_reachability())

    async def _watch(self) -> None:
        after = 0
        while True:
            try:
                found = await self._rows.wait_for_changes("leases", after, _WATCH_WAIT_S)
            except exceptions.TableError as error:
                _log.warning("Leases can't be watched.", why=str(error))
                self.is_watching = False
                await asyncio.sleep(_RETRY_S)
                continue
            after = found.version
            self.is_watching = True
            for row in found.rows:
                known = self._lease_rows.get(row.key)
                if known is None or row.version >= known.version:
                    self._lease_rows[row.key] = row
            self._observe()
            await asyncio.sleep(_WATCH_GAP_S)

    def _observe(self) -> None:
        newest: list[platform.Row] = []
        for row in self._lease_rows.values():
            own = self._book.held.get(_pool_of(row.key))
            # An own transaction may have gone on from what was watched.
            is_older = own is not None and own.version > row.version
            newest.append(_row_of(own) if own is not None and is_older else row)
        for pool in self._book.observe(newest, self._loop.time()):
            _log.warning("A lease was lost.", pool=pool)
            self._end(pool)

    async def _beat(self) -> None:
        beat = 0
        while True:
            beat += 1
            row = self._row(beat)
            write = platform.Write(f"entries//{row.entry}", codecs.pack(row))
            try:
                await self._rows.commit(platform.Transaction(writes=(write,)))
                found = await self._rows.scan("entries//")
                rows = [codecs.unpack(one.value, members.EntryRow) for one in found]
                self._members.apply_rows(rows, self._loop.time())
                self._beat_done = True
            except (exceptions.TableError, msgspec.DecodeError) as error:
                _log.warning("The own row can't be renewed.", why=str(error))
                await asyncio.sleep(_RETRY_S)
                continue
            await asyncio.sleep(HEARTBEAT_INTERVAL_S if beat > 1 else _SETTLE_S)

    async def _hold(self, group: asyncio.TaskGroup) -> None:
        await self._resume(group)
        while True:
            if self.is_watching and self._beat_done and not self._leaving:
                now_s = self._loop.time()
                for broken in list(self._broken):
                    self._broken.discard(broken)
                    await self._release_lease(broken)
                    self._retaken_from_s[broken] = self._loop.time() + _RETAKE_AFTER_S
                pool = self._book.select_next_to_acquire(self._takeable(now_s), now_s)
                if pool is not None:
                    await self._take(pool, group)
                # One lease above the own share is kept, as every change of hands costs a pause.
                excess = self._book.select_to_release(self.pools, self._entries(now_s), now_s)
                for pool in excess[:-1]:
                    await self._release(pool)
            await asyncio.sleep(_TICK_S)

    def _takeable(self, now_s: float) -> list[ids.PoolName]:
        return [pool for pool in self.pools if self._retaken_from_s.get(pool, now_s) <= now_s]

    async def _resume(self, group: asyncio.TaskGroup) -> None:
        """Take what an earlier process of this entry held, until the other entries are known."""
        until_s = self._loop.time() + _SETTLE_S
        while self._loop.time() < until_s:
            pool = self._book.select_to_reacquire(self.pools) if self.is_watching else None
            if pool is not None:
                await self._take(pool, group)
            await asyncio.sleep(_RESUME_TICK_S)

    def _entries(self, now_s: float) -> list[ids.EntryId]:
        live = {row.entry for row in self._members.get_live(now_s) if not row.leaving}
        live -= self._book.expired_holders(now_s)
        return sorted(live | {self._book.entry})

    async def _take(self, pool: ids.PoolName, group: asyncio.TaskGroup) -> None:
        sent_s = self._loop.time()
        try:
            committed = await self._rows.commit(self._book.make_acquisition(pool))
        except exceptions.TableError as error:
            _log.warning("A lease can't be taken.", pool=pool, why=str(error))
            await asyncio.sleep(_RETRY_S)
            return
        for row in committed.rows:
            self._lease_rows[row.key] = row
        if not committed.ok:
            self._observe()
            return
        own = leases.key(pool)
        row = next(row for row in committed.rows if row.key == own)
        self._book.observe_held(row, self._loop.time())
        _log.info("A lease is taken.", pool=pool, epoch=self._book.held[pool].lease.epoch)
        held = self._make(pool, sent_s)
        self._holders[pool] = held, group.create_task(self._serve(pool, held))

    async def _serve(self, pool: ids.PoolName, held: LeaseHolder) -> None:
        try:
            await held.run()
        except* writer.LeaseLost as lost:
            _log.warning("A lease was lost.", pool=pool, why=str(lost.exceptions[0]))
            self._book.drop(pool)
        except* Exception as fault:
            # Another entry, or a new holder here, starts from what is stored.
            _log.error("A holder failed.", pool=pool, exc_info=fault)
            self._broken.add(pool)
        finally:
            found = self._holders.get(pool)
            if found is not None and found[0] is held:
                del self._holders[pool]

    def _end(self, pool: ids.PoolName) -> None:
        found = self._holders.pop(pool, None)
        if found is not None:
            found[1].cancel()

    async def _release_lease(self, pool: ids.PoolName) -> bool:
        for _ in range(_RELEASE_TRIES):
            if pool not in self._book.held:
                return False
            try:
                committed = await self._rows.commit(self._book.make_release(pool))
            except exceptions.TableError as error:
                _log.warning("A lease was not given back.", pool=pool, why=str(error))
                break
            if committed.ok:
                self._book.drop(pool)
                return True
            # The holder's last transaction may have changed the row after it was told to end.
            row = next((one for one in committed.rows if one.key == leases.key(pool)), None)
            if row is None or not self._book.is_held(row):
                break
            self._book.observe_held(row, self._loop.time())
        self._book.drop(pool)
        return False

    async def _release(self, pool: ids.PoolName) -> None:
        found = self._holders.get(pool)
        self._end(pool)
        if found is not None:
            await asyncio.wait([found[1]])
            if await self._release_lease(pool):
                _log.info("A lease is given back.", pool=pool)

    async def _watch_reachability(self) -> None:
        """Give all leases up when the table can't be reached from here, but from elsewhere."""
        failing_since_s: float | None = None
        while True:
            await asyncio.sleep(_TICK_S)
            if self._rows.is_available or not self._holders:
                failing_since_s = None
                continue
            now_s = self._loop.time()
            failing_since_s = failing_since_s if failing_since_s is not None else now_s
            if now_s - failing_since_s < _GIVE_UP_AFTER_S:
                continue
            peers = self._members.get_active(now_s)
            if await self._is_reached_by(peers):
                await self._give_up(peers)
            else:
                await asyncio.sleep(_ASK_AGAIN_S)

    async def _is_reached_by(self, peers: list[members.EntryRow]) -> bool:
        pool = next(iter(self._holders))
        call = calls.CheckTableAccess(service=ids.ServiceName(pool))
        asked = peers[:_MOST_ASKED]
        replies = await asyncio.gather(*(self._tell(row, call) for row in asked))
        return any(reply.status is calls.Status.DONE for reply in replies if reply is not None)

    async def _give_up(self, peers: list[members.EntryRow]) -> None:
        given = {pool: self._book.held[pool].lease.epoch for pool in self._book.held}
        # The holders end first, so that no order of theirs goes out after the others know.
        tasks = [task for _, task in self._holders.values()]
        for pool in list(self._holders):
            self._end(pool)
        if tasks:
            await asyncio.wait(tasks)
        for pool, epoch in given.items():
            self._book.drop(pool)
            _log.warning("A lease is given up, as only others reach the table.", pool=pool)
            call = calls.LeaseRelinquished(service=ids.ServiceName(pool), epoch=epoch)
            await asyncio.gather(*(self._tell(row, call) for row in peers))

    async def _tell(self, row: members.EntryRow, call: calls.AnyCall) -> calls.Reply | None:
        try:
            return await self._peers.call(row.peer_address, call, _TELL_LIMIT_S)
        except exceptions.PeerError as error:
            _log.info("A peer can't be told.", entry=row.entry, why=str(error))
            return None

    async def can_read_table(self, pool: str) -> bool:
        """Say whether the table answers here, by reading a lease."""
        try:
            async with asyncio.timeout(_PROOF_LIMIT_S):
                await self._rows.read(leases.key(ids.PoolName(pool)))
        except (exceptions.TableError, TimeoutError) as error:
            _log.info("The table does not answer here either.", why=repr(error))
            return False
        return True

    def record_relinquished(self, pool: str, epoch: ids.Epoch) -> None:
        """Note that a lease may be taken at once."""
        _log.info("A lease was given up.", pool=pool, epoch=epoch)
        self._book.mark_relinquished(ids.PoolName(pool), epoch, self._loop.time())

    async def leave(self) -> None:
        """Give all leases back and say that the entry leaves."""
        self._leaving = True
        try:
            async with asyncio.timeout(_RELEASE_LIMIT_S):
                await asyncio.gather(*[self._release(pool) for pool in list(self._holders)])
                row = msgspec.structs.replace(self._row(0), leaving=True)
                write = platform.Write(f"entries//{row.entry}", codecs.pack(row))
                await self._rows.commit(platform.Transaction(writes=(write,)))
        except (exceptions.TableError, TimeoutError) as error:
            _log.warning("The leases were not all given back.", why=repr(error))


def _row_of(own: leases.HeldLease) -> platform.Row:
    return platform.Row(leases.key(own.lease.pool), own.version, codecs.pack(own.lease))


def _pool_of(key: str) -> ids.PoolName:
    return ids.PoolName(key.removeprefix(leases.PREFIX))
