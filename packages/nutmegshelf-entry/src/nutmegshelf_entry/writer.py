"""Store the changes of one service in groups, under the condition that its lease still holds."""

import asyncio
import collections.abc

import msgspec
from nutmegshelf import codecs, exceptions, ids, jobs, leases, platform, registry

from nutmegshelf_entry import histograms, logs, ports

# Changes that come within this time are stored together.
_LINGER_S = 0.012
# The platform takes so many conditions and writes in one transaction; two are the lease's own.
_MOST_ENTRIES = 100
_LEASE_ENTRIES = 2
_MOST_BYTES = 400_000
_RETRY_S = 0.1
_RENEW_FRACTION = 0.25
# Single lost answers end sooner than this.
_SILENT_S = 0.7

_log = logs.get_logger("writer")


class LeaseLost(exceptions.NutmegshelfError):
    """Report that another entry holds the lease."""


class _Room:
    """Count what still fits into one transaction."""

    def __init__(self) -> None:
        self.entries = _MOST_ENTRIES - _LEASE_ENTRIES
        self._left_bytes = _MOST_BYTES

    def take(self, entries: int, size_bytes: int) -> bool:
        """Take room, or say that there is none; something always fits into an empty one."""
        if entries > self.entries or (
            size_bytes > self._left_bytes and self.entries < _MOST_ENTRIES - _LEASE_ENTRIES
        ):
            return False
        self.entries -= entries
        self._left_bytes -= size_bytes
        return True


PendingJobs = dict[ids.JobId, tuple[jobs.Job, asyncio.Future[None]]]


class Writer:
    """Own the transactions of one held lease; they go one after the other."""

    def __init__(
        self, rows: ports.RowStore, book: leases.Leases, pool: ids.PoolName, book_s: float
    ) -> None:
        self._rows = rows
        self._book = book
        self._pool = pool
        self._accepting: PendingJobs = {}
        self._writes: dict[str, platform.Write] = {}
        self._work = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._lease = book.held[pool].lease
        self.renewed_s = book_s
        self.on_stored: ports.Wake = lambda: None
        self.on_accepted: collections.abc.Callable[[jobs.Job], None] = lambda job: None
        # Jobs of which a transaction was sent, so that they may be stored.
        self._sent: set[ids.JobId] = set()
        self._storing: set[str] = set()
        self._stored = asyncio.Event()
        self._failed_s: float | None = None
        # How long the last transaction took, with the wait for others to join it.
        self.store_duration_s = _LINGER_S
        self.stages = histograms.StageDurations(pool)

    @property
    def lease_age_s(self) -> float:
        """Give how long ago the lease was last renewed."""
        return self._loop.time() - self.renewed_s

    @property
    def is_stalled(self) -> bool:
        """Say whether the table answers, but not for this service."""
        if self._failed_s is None or not self._rows.is_available:
            return False
        return self._loop.time() - self._failed_s >= _SILENT_S

    def schedule_store(self) -> None:
        """Note that there may be something to store."""
        self._work.set()

    def write(self, change: platform.Write) -> None:
        """Change another row of the service with the next transaction."""
        self._writes[change.key] = change
        self._work.set()

    async def write_and_wait(self, change: platform.Write) -> None:
        """Change another row and wait until that is stored."""
        self.write(change)
        while self._writes.get(change.key) is change or change.key in self._storing:
            self._stored.clear()
            await self._stored.wait()

    async def accept(self, job: jobs.Job, limit_s: float) -> None:
        """Store a new job; raises TableUnavailable where it surely isn't, else TableAnswerLost."""
        known = self._accepting.get(job.job)
        if known is None:
            if self._failed_s is not None:
                raise exceptions.TableUnavailable("the table does not answer")
            known = self._accepting[job.job] = (job, self._loop.create_future())
        self._work.set()
        began_s = self._loop.time()
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.shield(known[1])
            self.stages.observe("accept", self._loop.time() - began_s)
        except TimeoutError as error:
            if job.job in self._sent:
                raise exceptions.TableAnswerLost("the job may be stored") from error
            self._accepting.pop(job.job, None)
            raise exceptions.TableUnavailable("the job waited for the table") from error

    async def run(self, book: registry.JobRegistry) -> None:
        """Store what changes and renew the lease; raises LeaseLost."""
        renew_s = self._book.duration_s * _RENEW_FRACTION
        while True:
            due_s = self.renewed_s + renew_s - self._loop.time()
            if not self._has_work(book):
                self._work.clear()
                try:
                    async with asyncio.timeout(max(0.0, due_s)):
                        await self._work.wait()
                except TimeoutError:
                    # It is time to renew the lease, with or without changes.
                    await self._store(book)
                    continue
                if not self._has_work(book):
                    continue
            await asyncio.sleep(_LINGER_S)
            await self._store(book)

    def _has_work(self, book: registry.JobRegistry) -> bool:
        return bool(book.dirty or self._accepting or self._writes)

    async def _store(self, book: registry.JobRegistry) -> None:
        room = _Room()
        accepting = self._choose_accepting(room)
        others = self._choose_others(room)
        taken = book.take_dirty(room.entries)
        shown = {record.job.job: record.progress.state for record in taken}
        writes = [
            platform.Write(
                jobs.progress_key(self._pool, record.job.job),
                codecs.pack_unordered(record.progress),
            )
            for record in taken
        ]
        writes += others
        self._storing = {one.key for one in others}
        try:
            await self._commit(writes, accepting)
        except BaseException:
            book.restore_dirty()
            self._writes = {one.key: one for one in others} | self._writes
            raise
        self._storing = set()
        self._stored.set()
        book.confirm_stored(shown)
        self.on_stored()

    def _choose_accepting(self, room: "_Room") -> PendingJobs:
        chosen: PendingJobs = {}
        for name, entry in self._accepting.items():
            # A new job takes a condition and a write.
            if not room.take(2, len(codecs.pack(entry[0]))):
                break
            chosen[name] = entry
        return chosen

    def _choose_others(self, room: "_Room") -> list[platform.Write]:
        chosen: list[platform.Write] = []
        for key, write in list(self._writes.items()):
            if not room.take(1, len(write.value or b"")):
                break
            chosen.append(self._writes.pop(key))
        return chosen

    async def _commit(
        self,
        writes: list[platform.Write],
        accepting: PendingJobs,
    ) -> None:
        """Repeat one group until it is stored or the lease is lost."""
        while True:
            sent_s = self._loop.time()
            conditions, new = [], []
            for job, _ in accepting.values():
                key = jobs.job_key(self._pool, job.job)
                conditions.append(platform.Condition(key, 0))
                new.append(platform.Write(key, codecs.pack(job)))
            transaction = leases.make_fenced_transaction(
                self._held(), tuple(conditions), (*writes, *new), bumps_revision=False
            )
            self._sent.update(accepting)
            try:
                committed = await self._rows.commit(transaction)
            except exceptions.TableError as error:
                self._failed_s = self._failed_s or self._loop.time()
                _log.warning("The table gave no answer.", pool=self._pool, why=str(error))
                await asyncio.sleep(_RETRY_S)
                continue
            self._failed_s = None
            self.store_duration_s = self._loop.time() - sent_s + _LINGER_S
            self.stages.observe("store", self.store_duration_s)
            if committed.ok:
                self._take_lease(committed, sent_s)
                self._accepted(accepting)
                return
            self._take_lease(committed, None)
            found = {row.key for row in committed.rows if row.version}
            stored = {
                name: entry
                for name, entry in accepting.items()
                if jobs.job_key(self._pool, name) in found
            }
            self._accepted(stored)
            accepting = {name: one for name, one in accepting.items() if name not in stored}

    def _held(self) -> leases.HeldLease:
        held = self._book.held.get(self._pool)
        if held is None or held.lease.epoch != self._lease.epoch:
            raise LeaseLost(f"the lease of {self._pool} is held no more")
        return held

    def _take_lease(self, committed: platform.CommitResult, sent_s: float | None) -> None:
        own = leases.key(self._pool)
        row = next((row for row in committed.rows if row.key == own), None)
        if row is None:
            return
        if not row.version:
            raise LeaseLost(f"the lease of {self._pool} is gone")
        lease = codecs.unpack(row.value, leases.LeaseRow)
        if (lease.incarnation, lease.epoch) != (self._lease.incarnation, self._lease.epoch):
            self._book.drop(self._pool)
            raise LeaseLost(f"{lease.holder} holds the lease of {self._pool}")
        # After a lost answer the row may be newer than was thought: an own write was done.
        self._book.observe_held(row, self._loop.time())
        if sent_s is not None:
            self.renewed_s = sent_s

    def _accepted(
        self, stored: collections.abc.Mapping[ids.JobId, tuple[jobs.Job, asyncio.Future[None]]]
    ) -> None:
        for name, (job, future) in stored.items():
            self._accepting.pop(name, None)
            self._sent.discard(name)
            self.on_accepted(job)
            if not future.done():
                future.set_result(None)

    def abort_pending(self) -> None:
        """End those who wait for a job to be stored; it may still come to be."""
        for _, future in self._accepting.values():
            if not future.done():
                future.set_exception(exceptions.TableAnswerLost("the lease was lost"))
                # Nobody may be waiting for it any more.
                future.exception()
        self._accepting.clear()


def decode_progress(row: platform.Row) -> jobs.Progress:
    """Decode the row of a job's progress."""
    return codecs.unpack(row.value, jobs.Progress)


def decode_job(row: platform.Row) -> jobs.Job | None:
    """Decode the row of a job, or give none and say so where it can't be read."""
    try:
        return codecs.unpack(row.value, jobs.Job)
    except msgspec.DecodeError as error:
        _log.error("A job's row can't be read.", key=row.key, why=str(error))
        return None
