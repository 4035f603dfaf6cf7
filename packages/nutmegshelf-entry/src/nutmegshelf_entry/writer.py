"""Store the changes of one service in batches, each conditional on the lease still being held."""

import asyncio
import collections.abc
import dataclasses
import itertools
import typing

from nutmegshelf import (
    codecs,
    exceptions,
    ids,
    jobs,
    leases,
    platform,
    progressrows,
    registry,
    submissions,
)

from nutmegshelf_entry import histograms, logs, ports

# Changes made within this time are stored in one transaction.
_BATCH_DELAY_S = 0.012
# The platform accepts this many conditions and writes per transaction, two of which are for the
# lease itself.
_MAX_OPERATIONS = 100
_LEASE_OPERATIONS = 2
# The default size of a row's value.
MAX_ROW_BYTES = 65_536
_MAX_BYTES = 400_000
_RETRY_DELAY_S = 0.1
_RENEWAL_FRACTION = 0.25
# Longer than the interruption by a single lost answer.
_STALLED_AFTER_S = 0.7
# A change of a job that the table refuses is tried again after this time, with smaller rows. Those
# of the largest group still fit into one transaction.
_REFUSED_DELAY_S = 2.0
MIN_ROW_BYTES = 8_192

_log = logs.get_logger("writer")


class LeaseLost(exceptions.NutmegshelfError):
    """This entry no longer holds the lease."""


class _TransactionBudget:
    """The items, operations and bytes that still fit into one transaction."""

    def __init__(self, max_items: int) -> None:
        self._left_operations = _MAX_OPERATIONS - _LEASE_OPERATIONS
        self._left_bytes = _MAX_BYTES
        self._left_items = max_items

    def reserve(self, operations: int, size_bytes: int) -> bool:
        """Return whether there was enough left; an empty transaction takes a write of any size."""
        is_empty = self._left_operations == _MAX_OPERATIONS - _LEASE_OPERATIONS
        if (
            not self._left_items
            or operations > self._left_operations
            or (size_bytes > self._left_bytes and not is_empty)
        ):
            return False
        self._left_items -= 1
        self._left_operations -= operations
        self._left_bytes -= size_bytes
        return True


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _PendingJob:
    """A job to be stored, and the event that is set once nothing more becomes of it here.

    It is stored only while the row of its queue's admission is as the condition says.
    """

    submission: submissions.Submission
    admission: platform.Condition
    settled: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def job(self) -> jobs.Job:
        return self.submission.job


PendingJobs = dict[ids.JobId, _PendingJob]
# Writes that one transaction stores together, by the key of the first.
QueuedWrites = dict[str, tuple[platform.Write, ...]]
# By key, the futures that resolve once the row that is queued now, or a newer one, is stored.
Waiters = dict[str, list[asyncio.Future[None]]]


class _ProgressChange(typing.NamedTuple):
    """The change of one group of a job's progress."""

    record: registry.JobRecord
    change: progressrows.Change


@dataclasses.dataclass(slots=True)
class _RefusedJob:
    """A job with a change that the table refused."""

    max_row_bytes: int
    retry_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Batch:
    """What one transaction stores, besides the lease."""

    new_jobs: PendingJobs
    queued: QueuedWrites
    progress: list[_ProgressChange]
    waiters: Waiters

    @property
    def size(self) -> int:
        """Return the number of items, each of which could be stored alone."""
        return len(self.new_jobs) + len(self.queued) + len(self.progress)


class Writer:
    """The transactions of one held lease, which are sent one at a time."""

    def __init__(
        self,
        rows: ports.RowStore,
        lease_set: leases.Leases,
        pool: ids.PoolName,
        acquired_s: float,
        *,
        max_row_bytes: int = MAX_ROW_BYTES,
    ) -> None:
        self._rows = rows
        self._lease_set = lease_set
        self._pool = pool
        self._pending: PendingJobs = {}
        self._queued_writes: QueuedWrites = {}
        # Those of the transaction under way.
        self._writes_in_flight: QueuedWrites = {}
        self._changed = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._lease = lease_set.held[pool].lease
        self.renewed_s = acquired_s
        self.on_stored: ports.Wake = lambda: None
        # Called with a stored job and the version of its row.
        self.on_accepted: collections.abc.Callable[[jobs.Job, int], None] = (
            lambda job, version: None
        )
        # Called with the condition of an admission whose row has changed.
        self.on_admission_changed: collections.abc.Callable[[platform.Condition], None] = (
            lambda admission: None
        )
        # The waiters of queued rows; those of rows in flight are in the batch.
        self._waiters: Waiters = {}
        # Smaller after the table refused a batch, until the item that it refuses is found.
        self._max_items = _MAX_OPERATIONS
        self._max_row_bytes = max_row_bytes
        self._refused_jobs: dict[ids.JobId, _RefusedJob] = {}
        self._is_ended = False
        self._failing_since_s: float | None = None
        # Duration of the last transaction, including the batch delay.
        self.store_duration_s = _BATCH_DELAY_S
        self.stages = histograms.StageDurations(pool)

    @property
    def lease_age_s(self) -> float:
        """The time since the lease was last renewed."""
        return self._loop.time() - self.renewed_s

    @property
    def is_stalled(self) -> bool:
        """Whether the table answers other requests, but not the writes of this service."""
        if self._failing_since_s is None or not self._rows.is_available:
            return False
        return self._loop.time() - self._failing_since_s >= _STALLED_AFTER_S

    def schedule_store(self) -> None:
        """Have the next batch stored, for example after jobs were marked dirty."""
        self._changed.set()

    def write(self, *changes: platform.Write) -> None:
        """Queue writes of other rows of the service, which one transaction stores together."""
        self._queued_writes[changes[0].key] = changes
        self._changed.set()

    def is_writing(self, key: str) -> bool:
        """Return whether writes that begin with this key are not known to be stored yet."""
        return key in self._queued_writes or key in self._writes_in_flight

    async def write_and_wait(self, change: platform.Write) -> None:
        """Queue a write of another row, and wait until it or a newer one of its key is stored.

        Raises TableRefused if the table refuses the row, TableAnswerLost if the writer ends first.
        """
        if self._is_ended:
            raise exceptions.TableAnswerLost("the lease was lost")
        self.write(change)
        waiter: asyncio.Future[None] = self._loop.create_future()
        self._waiters.setdefault(change.key, []).append(waiter)
        await waiter

    def may_store(self, job: ids.JobId) -> bool:
        """Return whether a job that is not stored yet may become stored by a transaction here."""
        pending = self._pending.get(job)
        if pending is None:
            return False
        # Between two attempts none is under way, but the next one follows.
        return pending.submission.may_be_carried_out or not pending.submission.is_closed

    async def accept(
        self, job: jobs.Job, admission: platform.Condition, timeout_s: float
    ) -> submissions.Outcome:
        """Store a new job; return what is known of it after the time limit at the latest."""
        began_s = self._loop.time()
        pending = self._pending.get(job.job)
        if pending is None:
            pending = _PendingJob(submissions.Submission(job), admission)
            if self._is_ended or self._failing_since_s is not None:
                pending.submission.close()
                self._log_not_stored(pending.submission, began_s)
                return pending.submission.outcome
            self._pending[job.job] = pending
        pending.submission.join()
        self._changed.set()
        try:
            async with asyncio.timeout(timeout_s):
                await pending.settled.wait()
        except TimeoutError:
            pass  # The submission says what became of the job by now.
        finally:
            outcome = pending.submission.leave()
            if pending.submission.is_closed and not pending.submission.may_be_carried_out:
                self._forget(pending)
        if outcome is submissions.Outcome.STORED:
            self.stages.observe("accept", self._loop.time() - began_s)
        else:
            self._log_not_stored(pending.submission, began_s)
        return outcome

    def _forget(self, pending: _PendingJob) -> None:
        if self._pending.get(pending.job.job) is pending:
            del self._pending[pending.job.job]

    def _log_not_stored(self, submission: submissions.Submission, began_s: float) -> None:
        now_s = self._loop.time()
        failing_s = None if self._failing_since_s is None else now_s - self._failing_since_s
        _log.info(
            "A submitted job is not stored in time.",
            job=submission.job.job,
            pool=self._pool,
            epoch=self._lease.epoch,
            outcome=submission.outcome.value,
            may_be_carried_out=submission.may_be_carried_out,
            waited_s=round(now_s - began_s, 3),
            failing_s=failing_s if failing_s is None else round(failing_s, 3),
            lease_age_s=round(self.lease_age_s, 3),
        )

    async def run(self, job_registry: registry.JobRegistry) -> None:
        """Store changes and renew the lease until cancelled; raises LeaseLost."""
        renewal_interval_s = self._lease_set.duration_s * _RENEWAL_FRACTION
        while True:
            due_s = self.renewed_s + renewal_interval_s - self._loop.time()
            if not self._has_pending_changes(job_registry):
                self._changed.clear()
                try:
                    async with asyncio.timeout(max(0.0, due_s)):
                        await self._changed.wait()
                except TimeoutError:
                    # The renewal of the lease is due, even without changes.
                    await self._store(job_registry)
                    continue
                if not self._has_pending_changes(job_registry):
                    continue
            await asyncio.sleep(_BATCH_DELAY_S)
            await self._store(job_registry)

    def _has_pending_changes(self, job_registry: registry.JobRegistry) -> bool:
        return bool(
            self._pending
            or self._queued_writes
            or any(not self._is_refused(job) for job in job_registry.dirty)
        )

    def _is_refused(self, job: ids.JobId) -> bool:
        """Return whether the table refused a change of a job a moment ago."""
        refused = self._refused_jobs.get(job)
        return refused is not None and self._loop.time() < refused.retry_s

    async def _store(self, job_registry: registry.JobRegistry) -> None:
        budget = _TransactionBudget(self._max_items)
        new_jobs, queued = self._choose_new_jobs(budget), self._pop_queued_writes(budget)
        progress, complete = self._choose_progress(job_registry, budget)
        self._writes_in_flight = queued
        waiters = {key: self._waiters.pop(key, []) for key in queued}
        batch = _Batch(new_jobs, queued, progress, waiters)
        stored_states = {job: job_registry.records[job].progress.state for job in complete}
        job_registry.take_dirty(complete)
        try:
            queued_writes = itertools.chain.from_iterable(batch.queued.values())
            await self._commit([*self._make_writes(progress), *queued_writes], batch.new_jobs)
        except BaseException as error:
            job_registry.restore_dirty()
            self._queued_writes = batch.queued | self._queued_writes
            for key, waiting in batch.waiters.items():
                self._waiters[key] = waiting + self._waiters.get(key, [])
            if not isinstance(error, exceptions.TableRefused):
                raise
            self._isolate_refused(batch, error)
            return
        finally:
            self._writes_in_flight = {}
        self._max_items = min(_MAX_OPERATIONS, 2 * self._max_items)
        for waiting in batch.waiters.values():
            _resolve_waiters(waiting)
        for record, change in batch.progress:
            record.stored_rows.confirm(change)
        for job in complete:
            self._refused_jobs.pop(job, None)
        job_registry.confirm_stored(stored_states)
        self.on_stored()

    def _isolate_refused(self, batch: _Batch, error: exceptions.TableRefused) -> None:
        """Have a refused batch sent in halves, or drop or delay the one item in it."""
        if batch.size > 1:
            self._max_items = batch.size // 2
            return
        for job, pending in batch.new_jobs.items():
            _log.error("The table refused a new job.", pool=self._pool, job=job, why=str(error))
            pending.submission.close()
            pending.settled.set()
            self._forget(pending)
        for key, writes in batch.queued.items():
            _log.error("The table refused a row.", pool=self._pool, key=key, why=str(error))
            # A newer row of the key may still be stored, which its waiters wait for.
            if self._queued_writes.get(key) is writes:
                del self._queued_writes[key]
                _resolve_waiters(self._waiters.pop(key), error)
        for record, change in batch.progress:
            self._delay_refused(record.job.job, change, error)

    def _delay_refused(
        self, job: ids.JobId, change: progressrows.Change, error: exceptions.TableRefused
    ) -> None:
        """Have a job's progress stored later in smaller rows; the job itself runs on."""
        refused = self._refused_jobs.setdefault(job, _RefusedJob(self._max_row_bytes, 0.0))
        refused.max_row_bytes = max(MIN_ROW_BYTES, refused.max_row_bytes // 2)
        refused.retry_s = self._loop.time() + _REFUSED_DELAY_S
        _log.error(
            "The table refused a job's progress.",
            pool=self._pool,
            job=job,
            group=change.group.name,
            size_bytes=change.group.size_bytes,
            max_row_bytes=refused.max_row_bytes,
            why=str(error),
        )

    def _choose_new_jobs(self, budget: "_TransactionBudget") -> PendingJobs:
        chosen: PendingJobs = {}
        versions: dict[str, int] = {}
        for name, pending in self._pending.items():
            admission = pending.admission
            if versions.get(admission.key, admission.version) != admission.version:
                # One of the two is outdated, so they can't be in one transaction.
                continue
            # A new job needs a condition and a write, and the first one of a queue its admission.
            operations = 2 if admission.key in versions else 3
            if not budget.reserve(operations, len(codecs.pack(pending.job))):
                break
            versions[admission.key] = admission.version
            chosen[name] = pending
        return chosen

    def _choose_progress(
        self, job_registry: registry.JobRegistry, budget: "_TransactionBudget"
    ) -> tuple[list[_ProgressChange], list[ids.JobId]]:
        """Return the changes of the dirty jobs with the oldest ones, as many as fit.

        Of these jobs, also return those of which no change is left out.
        """
        chosen: list[_ProgressChange] = []
        complete: list[ids.JobId] = []
        for name in job_registry.dirty:
            if self._is_refused(name):
                continue
            record = job_registry.records[name]
            for change in record.stored_rows.list_changes(self._encode(record)):
                operations = len(change.group.values) + change.surplus
                if not budget.reserve(operations, change.group.size_bytes):
                    return chosen, complete
                chosen.append(_ProgressChange(record, change))
            complete.append(name)
        return chosen, complete

    def _encode(self, record: registry.JobRecord) -> list[progressrows.Group]:
        refused = self._refused_jobs.get(record.job.job)
        max_row_bytes = refused.max_row_bytes if refused is not None else self._max_row_bytes
        groups = progressrows.encode(record.job, record.progress, max_row_bytes)
        if any(group.lacks_checkpoints for group in groups):
            _log.error(
                "Checkpoints are too large to be stored.", pool=self._pool, job=record.job.job
            )
        return groups

    def _make_writes(self, progress: list[_ProgressChange]) -> list[platform.Write]:
        return [
            platform.Write(jobs.progress_key(self._pool, name.text), value)
            for record, change in progress
            for name, value in change.make_writes(record.job.job)
        ]

    def _pop_queued_writes(self, budget: "_TransactionBudget") -> QueuedWrites:
        chosen: QueuedWrites = {}
        for key, writes in list(self._queued_writes.items()):
            if not budget.reserve(len(writes), sum(len(write.value or b"") for write in writes)):
                break
            chosen[key] = self._queued_writes.pop(key)
        return chosen

    async def _commit(
        self,
        writes: list[platform.Write],
        new_jobs: PendingJobs,
    ) -> None:
        """Retry one transaction until it is stored; raises LeaseLost or TableRefused."""
        while True:
            sent_s = self._loop.time()
            new_jobs = {
                name: pending
                for name, pending in new_jobs.items()
                if not pending.submission.is_closed
            }
            transaction = self._make_transaction(writes, new_jobs)
            for pending in new_jobs.values():
                pending.submission.begin_attempt()
            try:
                committed = await self._rows.commit(transaction)
            except exceptions.TableRefused:
                for pending in new_jobs.values():
                    pending.submission.end_attempt_without_effect()
                if not writes and not new_jobs:
                    # A renewal alone is never too large; it is retried like one without an answer.
                    await asyncio.sleep(_RETRY_DELAY_S)
                    continue
                raise
            except exceptions.TableError as error:
                for pending in new_jobs.values():
                    if isinstance(error, exceptions.TableUnavailable):
                        pending.submission.end_attempt_without_effect()
                    else:
                        pending.submission.lose_attempt()
                self._failing_since_s = self._failing_since_s or self._loop.time()
                _log.warning("The table gave no answer.", pool=self._pool, why=str(error))
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            self._failing_since_s = None
            self.store_duration_s = self._loop.time() - sent_s + _BATCH_DELAY_S
            self.stages.observe("store", self.store_duration_s)
            if committed.ok:
                self._apply_lease_row(committed, sent_s)
                self._resolve_accepted(new_jobs, committed.rows)
                return
            for pending in new_jobs.values():
                pending.submission.end_attempt_without_effect()
            self._apply_lease_row(committed, None)
            new_jobs = self._drop_failed(new_jobs, committed.rows)

    def _make_transaction(
        self, writes: list[platform.Write], new_jobs: PendingJobs
    ) -> platform.Transaction:
        admission_conditions = {
            pending.admission.key: pending.admission for pending in new_jobs.values()
        }
        job_conditions, job_writes = [], []
        for name, pending in new_jobs.items():
            key = jobs.job_key(self._pool, name)
            job_conditions.append(platform.Condition(key, 0))
            job_writes.append(platform.Write(key, codecs.pack(pending.job)))
        return leases.make_fenced_transaction(
            self._get_held_lease(),
            (*admission_conditions.values(), *job_conditions),
            (*writes, *job_writes),
            bumps_revision=False,
        )

    def _drop_failed(self, new_jobs: PendingJobs, rows: tuple[platform.Row, ...]) -> PendingJobs:
        """Return the new jobs that can still be stored, given the rows of a refused transaction."""
        versions = {row.key: row.version for row in rows}
        stored: PendingJobs = {}
        left: PendingJobs = {}
        for name, pending in new_jobs.items():
            if versions.get(jobs.job_key(self._pool, name)):
                stored[name] = pending
            elif versions.get(pending.admission.key, 0) == pending.admission.version:
                left[name] = pending
            else:
                # That version never comes back, so no earlier attempt can be carried out either.
                pending.submission.rule_out()
                self.on_admission_changed(pending.admission)
                self._forget(pending)
                pending.settled.set()
        self._resolve_accepted(stored, rows)
        return left

    def _get_held_lease(self) -> leases.HeldLease:
        held = self._lease_set.held.get(self._pool)
        if held is None or held.lease.epoch != self._lease.epoch:
            raise LeaseLost(f"the lease of {self._pool} is held no more")
        return held

    def _apply_lease_row(self, committed: platform.CommitResult, sent_s: float | None) -> None:
        lease_key = leases.key(self._pool)
        row = next((row for row in committed.rows if row.key == lease_key), None)
        if row is None:
            return
        if not row.version:
            raise LeaseLost(f"the lease of {self._pool} is gone")
        lease = codecs.unpack(row.value, leases.LeaseRow)
        if (lease.incarnation, lease.epoch) != (self._lease.incarnation, self._lease.epoch):
            self._lease_set.drop(self._pool)
            raise LeaseLost(f"{lease.holder} holds the lease of {self._pool}")
        # The row may be newer than expected: a write whose answer was lost may have been applied.
        self._lease_set.observe_held(row, self._loop.time())
        if sent_s is not None:
            self.renewed_s = sent_s

    def _resolve_accepted(self, stored: PendingJobs, rows: tuple[platform.Row, ...]) -> None:
        versions = {row.key: row.version for row in rows}
        for name, pending in stored.items():
            pending.submission.confirm_stored()
            self._forget(pending)
            self.on_accepted(pending.job, versions.get(jobs.job_key(self._pool, name), 0))
            pending.settled.set()

    def end(self) -> None:
        """Release the calls that wait, as no transaction is sent any more."""
        self._is_ended = True
        for pending in self._pending.values():
            pending.submission.close()
            pending.settled.set()
        for waiting in self._waiters.values():
            _resolve_waiters(waiting, exceptions.TableAnswerLost("the lease was lost"))
        self._waiters.clear()


def _resolve_waiters(
    waiting: list[asyncio.Future[None]], error: exceptions.TableError | None = None
) -> None:
    for waiter in waiting:
        if waiter.done():
            continue  # The call that waited was cancelled.
        if error is None:
            waiter.set_result(None)
        else:
            waiter.set_exception(error)
