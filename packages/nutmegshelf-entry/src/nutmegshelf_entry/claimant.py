"""Claim idempotency keys in the table, commit claims in batches and settle them."""

import asyncio
import collections.abc
import dataclasses
import time
import uuid

from nutmegshelf import claims, codecs, exceptions, ids, platform

from nutmegshelf_entry import logs, table, telemetry

_MAX_BATCH_CHANGES = 128
# The table takes several hundred writes per second from 6 to 7 entries together.
_COMMITS_PER_S = 40.0
_COMMIT_BURST = 8.0
_MAX_OPEN_CHANGES = 4096
# After one lost answer the same commit is sent again; after two the claim fails.
_MAX_LOST_ANSWERS = 2
_PROBE_INTERVAL_S = 1.0
_RETRY_INTERVAL_S = 0.25
_MIN_POLL_S = 0.02
_MAX_POLL_S = 1.0
_MAX_ROW_ANSWER_BYTES = 4096
_log = logs.get_logger("claims")


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The right to send one keyed request."""

    change: claims.Change


@dataclasses.dataclass(slots=True, eq=False)
class _PendingChange:
    change: claims.Change
    result: asyncio.Future[claims.Applied | claims.Rejected]
    is_sent: bool = False
    is_abandoned: bool = False
    lost_answers: int = 0

    @property
    def is_claim(self) -> bool:
        return self.change.row.state is claims.State.CLAIMED


class Claimant:
    """The claims of this entry; one commit at a time carries all pending changes."""

    def __init__(
        self,
        store: table.Store,
        entry: ids.EntryId,
        get_wall_time_s: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self.commits = 0
        self.changes_applied = 0
        self._store = store
        self._entry = entry
        self._get_wall_time_s = get_wall_time_s
        self._pending_changes: list[_PendingChange] = []
        self._wake = asyncio.Event()
        self._rate_limiter = claims.RateLimiter(_COMMITS_PER_S, _COMMIT_BURST)
        self._breaker = claims.CircuitBreaker(_PROBE_INTERVAL_S)
        self._settlements: set[asyncio.Task[None]] = set()

    @telemetry.measured_hop(telemetry.CLAIM_HOP)
    async def claim(
        self,
        service: ids.ServiceName,
        key: str,
        fingerprint: str,
        deadline_s: float,
        on_conflict: collections.abc.Callable[[], None] = lambda: None,
    ) -> Claim | claims.StoredAnswer:
        """Return a claim, or the stored answer of an earlier request; raises RequestError."""
        loop = asyncio.get_running_loop()
        row_key = claims.make_row_key(service, key)
        poll_s = _MIN_POLL_S
        decision: claims.Decision = claims.Claimable(0)
        while True:
            match decision:
                case claims.Claimable(version):
                    change = self._make_claim(
                        row_key, version, fingerprint, deadline_s - loop.time()
                    )
                    match await self._submit(change, deadline_s):
                        case claims.Applied(applied_version):
                            return Claim(dataclasses.replace(change, version=applied_version))
                        case claims.Rejected(current_row):
                            decision = claims.decide(
                                current_row, fingerprint, self._get_wall_time_s()
                            )
                case claims.Replay(answer):
                    return await self._load_answer(answer)
                case claims.Refuse(kind):
                    raise exceptions.RequestError(kind)
                case claims.Wait():
                    on_conflict()
                    remaining_s = deadline_s - loop.time()
                    if remaining_s <= poll_s:
                        await asyncio.sleep(max(0.0, remaining_s))
                        raise exceptions.RequestError(exceptions.ErrorKind.KEY_RUNNING)
                    await asyncio.sleep(poll_s)
                    poll_s = min(2 * poll_s, _MAX_POLL_S)
                    decision = await self._read_decision(row_key, fingerprint)

    def release(self, claim: Claim) -> None:
        """Release the claim of a request that was never sent, so that a retry may run."""
        self._start_settlement(claims.make_release(claim.change))

    def settle(self, claim: Claim, answer: claims.StoredAnswer | None) -> None:
        """Store the answer of a request that was sent, or that the answer was lost."""
        self._start_settlement(claims.make_settlement(claim.change, answer))

    async def run(self) -> None:
        """Commit pending changes continuously."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending_changes:
                await asyncio.sleep(self._rate_limiter.reserve(asyncio.get_running_loop().time()))
                if batch := self._pop_batch():
                    await self._commit(batch)

    async def wait_settled(self) -> None:
        """Wait until all settlements of this entry are committed."""
        while self._settlements:
            await asyncio.wait(self._settlements)

    def _make_claim(
        self, row_key: str, version: int, fingerprint: str, remaining_s: float
    ) -> claims.Change:
        now_s = self._get_wall_time_s()
        row = claims.ClaimRow(
            attempt=ids.AttemptId(uuid.uuid4().hex),
            entry=self._entry,
            fingerprint=fingerprint,
            state=claims.State.CLAIMED,
            claimed_at_s=now_s,
            deadline_at_s=now_s + remaining_s,
        )
        return claims.Change(row_key, version, row)

    async def _submit(
        self, change: claims.Change, deadline_s: float
    ) -> claims.Applied | claims.Rejected:
        now_s = asyncio.get_running_loop().time()
        is_full = len(self._pending_changes) + len(self._settlements) >= _MAX_OPEN_CHANGES
        if is_full or not self._breaker.admit(now_s):
            raise exceptions.RequestError(
                exceptions.ErrorKind.TABLE_UNAVAILABLE,
                retry_after_s=self._breaker.retry_after_s(now_s),
            )
        pending = self._enqueue(change)
        try:
            async with asyncio.timeout_at(deadline_s):
                return await asyncio.shield(pending.result)
        except TimeoutError as error:
            self._abandon(pending)
            raise exceptions.RequestError(exceptions.ErrorKind.TABLE_UNAVAILABLE) from error
        except exceptions.TableError as error:
            raise exceptions.RequestError(
                exceptions.ErrorKind.TABLE_UNAVAILABLE, str(error)
            ) from error
        except asyncio.CancelledError:
            self._abandon(pending)
            raise

    async def _read_decision(self, row_key: str, fingerprint: str) -> claims.Decision:
        try:
            return claims.decide(
                await self._store.read(row_key), fingerprint, self._get_wall_time_s()
            )
        except exceptions.TableError:
            return claims.Wait()

    async def _load_answer(self, answer: claims.StoredAnswer) -> claims.StoredAnswer:
        if not answer.object_key:
            return answer
        try:
            data = await self._store.get_object(answer.object_key)
        except exceptions.TableError as error:
            raise exceptions.RequestError(
                exceptions.ErrorKind.KEY_RUNNING, "its answer can't be read now"
            ) from error
        if data is None:
            raise exceptions.RequestError(exceptions.ErrorKind.KEY_UNSETTLED)
        return codecs.unpack(data, claims.StoredAnswer)

    def _start_settlement(self, change: claims.Change) -> None:
        task = asyncio.ensure_future(self._store_settlement(change))
        self._settlements.add(task)
        task.add_done_callback(self._settlements.discard)

    async def _store_settlement(self, change: claims.Change) -> None:
        answer = change.row.answer
        if answer is not None and len(data := codecs.pack(answer)) > _MAX_ROW_ANSWER_BYTES:
            object_key = claims.make_answer_key(change.key, change.row.attempt)
            await self._put_object(object_key, data)
            stored_answer = claims.StoredAnswer(status=answer.status, object_key=object_key)
            change = claims.make_settlement(change, stored_answer)
        result = await self._enqueue(change).result
        if isinstance(result, claims.Rejected):
            _log.warning("Could not settle a claim.", key=change.key, state=change.row.state.value)

    async def _put_object(self, object_key: str, data: bytes) -> None:
        while True:
            try:
                await self._store.put_object(object_key, data)
                return
            except exceptions.TableError as error:
                _log.warning("Could not store an answer.", error=str(error))
                await asyncio.sleep(_RETRY_INTERVAL_S)

    def _enqueue(self, change: claims.Change) -> _PendingChange:
        pending = _PendingChange(change, asyncio.get_running_loop().create_future())
        self._pending_changes.append(pending)
        self._wake.set()
        return pending

    def _abandon(self, pending: _PendingChange) -> None:
        pending.is_abandoned = True
        if not pending.is_sent:
            self._pending_changes.remove(pending)
        elif pending.result.done():
            self._release_abandoned(pending)

    def _release_abandoned(self, pending: _PendingChange) -> None:
        result = pending.result.result() if not pending.result.exception() else None
        if isinstance(result, claims.Applied) and pending.is_claim:
            applied_change = dataclasses.replace(pending.change, version=result.version)
            self._start_settlement(claims.make_release(applied_change))

    def _pop_batch(self) -> list[_PendingChange]:
        # Two changes to one row in one commit would both pass its condition.
        batch: dict[str, _PendingChange] = {}
        remaining: list[_PendingChange] = []
        for pending in self._pending_changes:
            if len(batch) < _MAX_BATCH_CHANGES and pending.change.key not in batch:
                batch[pending.change.key] = pending
            else:
                remaining.append(pending)
        self._pending_changes = remaining
        return list(batch.values())

    async def _commit(self, batch: list[_PendingChange]) -> None:
        loop = asyncio.get_running_loop()
        changes = [pending.change for pending in batch]
        transaction = claims.make_transaction(changes, uuid.uuid4().hex, self._get_wall_time_s())
        sent_before = {pending for pending in batch if pending.is_sent}
        for pending in batch:
            pending.is_sent = True
        try:
            committed = await self._store.commit(transaction)
        except exceptions.TableError as error:
            self._breaker.record_failure(loop.time())
            _log.warning("Could not commit claims.", changes=len(batch), error=str(error))
            if isinstance(error, exceptions.TableUnavailable):
                self._fail_unsent_claims(batch, sent_before, error)
            else:
                self._requeue(batch, error)
            await asyncio.sleep(_RETRY_INTERVAL_S)
            return
        self._breaker.record_success()
        self.commits += 1
        self._apply_result(batch, committed)

    def _fail_unsent_claims(
        self,
        batch: list[_PendingChange],
        sent_before: set[_PendingChange],
        error: exceptions.TableError,
    ) -> None:
        retried: list[_PendingChange] = []
        for pending in batch:
            if pending.is_claim and pending not in sent_before:
                # The table reported that nothing took effect, so this claim can't be applied later.
                if not pending.is_abandoned:
                    pending.result.set_exception(error)
            else:
                retried.append(pending)
        self._pending_changes[:0] = retried

    def _requeue(self, batch: list[_PendingChange], error: exceptions.TableError) -> None:
        for pending in batch:
            pending.lost_answers += 1
            is_given_up = pending.lost_answers >= _MAX_LOST_ANSWERS
            if pending.is_claim and is_given_up and not pending.is_abandoned:
                # The caller gets an error now. Once the claim is applied it is released, and the
                # remaining row prevents a delayed copy of the commit from taking effect.
                pending.result.set_exception(error)
                pending.result = asyncio.get_running_loop().create_future()
                pending.is_abandoned = True
        self._pending_changes[:0] = batch

    def _apply_result(self, batch: list[_PendingChange], committed: platform.CommitResult) -> None:
        rows_by_key = {row.key: row for row in committed.rows}
        retried: list[_PendingChange] = []
        for pending in batch:
            row = rows_by_key.get(pending.change.key)
            outcome: claims.Applied | claims.Rejected | claims.Change
            if committed.ok and row is not None:
                outcome = claims.Applied(row.version)
            elif row is not None:
                outcome = claims.resolve_conflict(pending.change, row)
            else:
                # The condition of another row failed the commit, so this change is retried.
                outcome = pending.change
            match outcome:
                case claims.Change():
                    pending.change = outcome
                    retried.append(pending)
                case _:
                    self._resolve(pending, outcome)
        self._pending_changes[:0] = retried

    def _resolve(self, pending: _PendingChange, result: claims.Applied | claims.Rejected) -> None:
        self.changes_applied += isinstance(result, claims.Applied)
        pending.result.set_result(result)
        if pending.is_abandoned:
            self._release_abandoned(pending)
