"""Claim keys in the table, commit claims in groups and settle them after lost answers."""

import asyncio
import collections.abc
import dataclasses
import time
import uuid

from nutmegshelf import claims, codecs, exceptions, ids, platform

from nutmegshelf_entry import logs, table, telemetry

_MAX_BATCH_CHANGES = 128
# The table takes several hundred writes a second from 6 to 7 entries; few claims go at once.
_COMMITS_PER_S = 40.0
_COMMIT_BURST = 8.0
_MAX_OPEN_CHANGES = 4096
# One lost answer is settled by sending the same commit again; after two the caller is told.
_MAX_LOST_ANSWERS = 2
_PROBE_INTERVAL_S = 1.0
_RETRY_INTERVAL_S = 0.25
_FIRST_POLL_S = 0.02
_MAX_POLL_S = 1.0
_MAX_ROW_ANSWER_BYTES = 4096
_log = logs.get_logger("claims")


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Hold the right to send one keyed request."""

    change: claims.Change


@dataclasses.dataclass(slots=True, eq=False)
class _Pending:
    change: claims.Change
    result: asyncio.Future[claims.Applied | claims.Rejected]
    is_sent: bool = False
    abandoned: bool = False
    lost_answers: int = 0

    @property
    def is_claim(self) -> bool:
        return self.change.row.state is claims.State.CLAIMED


class Claimant:
    """Own the claims of this entry: one commit at a time carries all changes that wait."""

    def __init__(
        self,
        rows: table.Store,
        entry: ids.EntryId,
        get_wall_time_s: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self.commits = 0
        self.changes_applied = 0
        self._rows = rows
        self._entry = entry
        self._get_wall_time_s = get_wall_time_s
        self._queue: list[_Pending] = []
        self._wake = asyncio.Event()
        self._pacer = claims.RateLimiter(_COMMITS_PER_S, _COMMIT_BURST)
        self._breaker = claims.CircuitBreaker(_PROBE_INTERVAL_S)
        self._settling: set[asyncio.Task[None]] = set()

    @telemetry.measured_hop(telemetry.CLAIM_HOP)
    async def claim(
        self,
        service: ids.ServiceName,
        key: str,
        fingerprint: str,
        deadline_s: float,
        on_wait: collections.abc.Callable[[], None] = lambda: None,
    ) -> Claim | claims.StoredAnswer:
        """Give the right to send, or the answer of the request that ran; raises RequestError."""
        loop = asyncio.get_running_loop()
        row_key = claims.make_row_key(service, key)
        poll_s = _FIRST_POLL_S
        decision: claims.Decision = claims.Claimable(0)
        while True:
            match decision:
                case claims.Claimable(version):
                    change = self._new_claim(
                        row_key, version, fingerprint, deadline_s - loop.time()
                    )
                    match await self._try(change, deadline_s):
                        case claims.Applied(landed):
                            return Claim(dataclasses.replace(change, version=landed))
                        case claims.Rejected(found):
                            decision = claims.decide(found, fingerprint, self._get_wall_time_s())
                case claims.Replay(answer):
                    return await self._whole(answer)
                case claims.Refuse(kind):
                    raise exceptions.RequestError(kind)
                case claims.Wait():
                    on_wait()
                    left_s = deadline_s - loop.time()
                    if left_s <= poll_s:
                        await asyncio.sleep(max(0.0, left_s))
                        raise exceptions.RequestError(exceptions.ErrorKind.KEY_RUNNING)
                    await asyncio.sleep(poll_s)
                    poll_s = min(2 * poll_s, _MAX_POLL_S)
                    decision = await self._look(row_key, fingerprint)

    def release(self, claim: Claim) -> None:
        """Give a claim back whose request was never sent, so that a repeat may run."""
        self._settle_later(claims.make_release(claim.change))

    def settle(self, claim: Claim, answer: claims.StoredAnswer | None) -> None:
        """Store the answer of a request that was sent, or that its answer is lost."""
        self._settle_later(claims.make_settlement(claim.change, answer))

    async def run(self) -> None:
        """Commit what waits, for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                await asyncio.sleep(self._pacer.reserve(asyncio.get_running_loop().time()))
                if batch := self._take_batch():
                    await self._commit(batch)

    async def wait_settled(self) -> None:
        """Wait until no settlement of this entry is open."""
        while self._settling:
            await asyncio.wait(self._settling)

    def _new_claim(
        self, row_key: str, version: int, fingerprint: str, left_s: float
    ) -> claims.Change:
        now_s = self._get_wall_time_s()
        row = claims.ClaimRow(
            attempt=ids.AttemptId(uuid.uuid4().hex),
            entry=self._entry,
            fingerprint=fingerprint,
            state=claims.State.CLAIMED,
            claimed_at_s=now_s,
            deadline_at_s=now_s + left_s,
        )
        return claims.Change(row_key, version, row)

    async def _try(
        self, change: claims.Change, deadline_s: float
    ) -> claims.Applied | claims.Rejected:
        now_s = asyncio.get_running_loop().time()
        is_full = len(self._queue) + len(self._settling) >= _MAX_OPEN_CHANGES
        if is_full or not self._breaker.admit(now_s):
            raise exceptions.RequestError(
                exceptions.ErrorKind.TABLE_UNAVAILABLE,
                retry_after_s=self._breaker.retry_after_s(now_s),
            )
        pending = self._put(change)
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

    async def _look(self, row_key: str, fingerprint: str) -> claims.Decision:
        try:
            return claims.decide(
                await self._rows.read(row_key), fingerprint, self._get_wall_time_s()
            )
        except exceptions.TableError:
            return claims.Wait()

    async def _whole(self, answer: claims.StoredAnswer) -> claims.StoredAnswer:
        if not answer.object_key:
            return answer
        try:
            data = await self._rows.get_object(answer.object_key)
        except exceptions.TableError as error:
            raise exceptions.RequestError(
                exceptions.ErrorKind.KEY_RUNNING, "its answer can't be read now"
            ) from error
        if data is None:
            raise exceptions.RequestError(exceptions.ErrorKind.KEY_UNSETTLED)
        return codecs.unpack(data, claims.StoredAnswer)

    def _settle_later(self, change: claims.Change) -> None:
        task = asyncio.ensure_future(self._settle(change))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _settle(self, change: claims.Change) -> None:
        answer = change.row.answer
        if answer is not None and len(data := codecs.pack(answer)) > _MAX_ROW_ANSWER_BYTES:
            name = claims.make_answer_key(change.key, change.row.attempt)
            await self._put_object(name, data)
            kept = claims.StoredAnswer(status=answer.status, object_key=name)
            change = claims.make_settlement(change, kept)
        result = await self._put(change).result
        if isinstance(result, claims.Rejected):
            _log.warning("Could not settle a claim.", key=change.key, state=change.row.state.value)

    async def _put_object(self, name: str, data: bytes) -> None:
        while True:
            try:
                await self._rows.put_object(name, data)
                return
            except exceptions.TableError as error:
                _log.warning("Could not store an answer.", error=str(error))
                await asyncio.sleep(_RETRY_INTERVAL_S)

    def _put(self, change: claims.Change) -> _Pending:
        pending = _Pending(change, asyncio.get_running_loop().create_future())
        self._queue.append(pending)
        self._wake.set()
        return pending

    def _abandon(self, pending: _Pending) -> None:
        pending.abandoned = True
        if not pending.is_sent:
            self._queue.remove(pending)
        elif pending.result.done():
            self._after_abandoned(pending)

    def _after_abandoned(self, pending: _Pending) -> None:
        result = pending.result.result() if not pending.result.exception() else None
        if isinstance(result, claims.Applied) and pending.is_claim:
            landed = dataclasses.replace(pending.change, version=result.version)
            self._settle_later(claims.make_release(landed))

    def _take_batch(self) -> list[_Pending]:
        # Two changes of one row in one commit would both pass its condition.
        batch: dict[str, _Pending] = {}
        rest: list[_Pending] = []
        for pending in self._queue:
            if len(batch) < _MAX_BATCH_CHANGES and pending.change.key not in batch:
                batch[pending.change.key] = pending
            else:
                rest.append(pending)
        self._queue = rest
        return list(batch.values())

    async def _commit(self, batch: list[_Pending]) -> None:
        loop = asyncio.get_running_loop()
        changes = [pending.change for pending in batch]
        joined = claims.make_transaction(changes, uuid.uuid4().hex, self._get_wall_time_s())
        was_sent = {pending for pending in batch if pending.is_sent}
        for pending in batch:
            pending.is_sent = True
        try:
            committed = await self._rows.commit(joined)
        except exceptions.TableError as error:
            self._breaker.record_failure(loop.time())
            _log.warning("Could not commit claims.", changes=len(batch), error=str(error))
            if isinstance(error, exceptions.TableUnavailable):
                self._fail(batch, was_sent, error)
            else:
                self._keep(batch, error)
            await asyncio.sleep(_RETRY_INTERVAL_S)
            return
        self._breaker.record_success()
        self.commits += 1
        self._take_result(batch, committed)

    def _fail(
        self, batch: list[_Pending], was_sent: set[_Pending], error: exceptions.TableError
    ) -> None:
        again: list[_Pending] = []
        for pending in batch:
            if pending.is_claim and pending not in was_sent:
                # The table says that nothing took effect, so this claim can't land any more.
                if not pending.abandoned:
                    pending.result.set_exception(error)
            else:
                again.append(pending)
        self._queue[:0] = again

    def _keep(self, batch: list[_Pending], error: exceptions.TableError) -> None:
        for pending in batch:
            pending.lost_answers += 1
            is_hopeless = pending.lost_answers >= _MAX_LOST_ANSWERS
            if pending.is_claim and is_hopeless and not pending.abandoned:
                # The caller is told now that its request won't run; once the claim has landed it is
                # released, and the row that stays keeps a late copy of it from landing.
                pending.result.set_exception(error)
                pending.result = asyncio.get_running_loop().create_future()
                pending.abandoned = True
        self._queue[:0] = batch

    def _take_result(self, batch: list[_Pending], committed: platform.CommitResult) -> None:
        found = {row.key: row for row in committed.rows}
        again: list[_Pending] = []
        for pending in batch:
            row = found.get(pending.change.key)
            step: claims.Applied | claims.Rejected | claims.Change
            if committed.ok and row is not None:
                step = claims.Applied(row.version)
            elif row is not None:
                step = claims.resolve_conflict(pending.change, row)
            else:
                # Another row of the group broke the commit; this one goes on without it.
                step = pending.change
            match step:
                case claims.Change():
                    pending.change = step
                    again.append(pending)
                case _:
                    self._finish(pending, step)
        self._queue[:0] = again

    def _finish(self, pending: _Pending, result: claims.Applied | claims.Rejected) -> None:
        self.changes_applied += isinstance(result, claims.Applied)
        pending.result.set_result(result)
        if pending.abandoned:
            self._after_abandoned(pending)
