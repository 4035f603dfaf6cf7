"""Decide whether a request with an idempotency key may run, from the claim on its key."""

import collections.abc
import dataclasses
import enum

import msgspec

from nutmegshelf import codecs, exceptions, ids, platform

PREFIX = "claims/"
EXPIRY_PREFIX = "claims-expiry/"
ANSWER_PREFIX = "claims-answers/"
RETENTION_S = 24 * 3600.0
UNSETTLED_RETENTION_S = 30 * 24 * 3600.0
_BUCKET_S = 3600
# Clocks of entries differ, so a holder may answer until this long after its deadline.
HOLDER_GRACE_S = 5.0


class State(enum.Enum):
    """What the row of a claim says about its request."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    RELEASED = "released"
    UNSETTLED = "unsettled"


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response, or the name of the object that holds a large one."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    object_key: str = ""


class ClaimRow(msgspec.Struct, frozen=True, kw_only=True):
    """The claim of one attempt on one key."""

    attempt: ids.AttemptId
    entry: ids.EntryId
    fingerprint: str
    state: State
    claimed_at_s: float
    deadline_at_s: float
    answer: StoredAnswer | None = None


class ExpiryRow(msgspec.Struct, frozen=True):
    """The claims of one commit, which expire together."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A write of a claim's row, conditional on its version."""

    key: str
    version: int
    row: ClaimRow


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The change is in the table."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The change is not in the table and never will be; another row is there."""

    current: platform.Row


@dataclasses.dataclass(frozen=True, slots=True)
class Claimable:
    """The request may claim the key over a version of its row."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The request ran before; a repeat gets its answer."""

    answer: StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The request is running; a repeat waits for its answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused with an error."""

    kind: exceptions.ErrorKind


Decision = Claimable | Replay | Wait | Refuse


def make_row_key(service: ids.ServiceName, key: str) -> str:
    """Return the name of a key's row; services have separate keys."""
    return PREFIX + codecs.digest(codecs.pack((service, key)))


def make_answer_key(key: str, attempt: ids.AttemptId) -> str:
    """Return the name of the object for a large answer."""
    return f"{ANSWER_PREFIX}{key.removeprefix(PREFIX)}-{attempt}"


def make_fingerprint(method: str, target: str, body: bytes) -> str:
    """Return a digest that is equal for repeats of the same request."""
    return codecs.digest(codecs.pack((method, target, body)))


def decode_row(row: platform.Row) -> ClaimRow | None:
    """Return the claim of a row, or none if there is none or a later version wrote it."""
    try:
        return codecs.unpack(row.value, ClaimRow) if row.version else None
    except msgspec.DecodeError:
        return None


def decide(current: platform.Row, fingerprint: str, now_s: float) -> Decision:
    """Decide on a request with a fingerprint, from the row of its key."""
    if not current.version:
        return Claimable(0)
    row = decode_row(current)
    if row is not None and row.state is State.RELEASED:
        return Claimable(current.version)
    if row is not None and row.fingerprint != fingerprint:
        return Refuse(exceptions.ErrorKind.KEY_REUSED)
    match row and row.state:
        case State.ANSWERED if row and row.answer:
            return Replay(row.answer)
        case State.CLAIMED if row and now_s <= row.deadline_at_s + HOLDER_GRACE_S:
            return Wait()
        case _:
            # The holder may have sent the request before it failed.
            return Refuse(exceptions.ErrorKind.KEY_UNSETTLED)


def make_release(change: Change) -> Change:
    """Return the change that releases a claim, whether or not the claim is in the table yet.

    The row stays, so that a delayed write of the claim fails its condition.
    """
    return dataclasses.replace(change, row=_replace_state(change.row, State.RELEASED))


def make_settlement(change: Change, answer: StoredAnswer | None) -> Change:
    """Return the change that stores the answer, or that marks it as unknown."""
    state = State.UNSETTLED if answer is None else State.ANSWERED
    return dataclasses.replace(change, row=_replace_state(change.row, state, answer))


def resolve_conflict(change: Change, current: platform.Row) -> Applied | Rejected | Change:
    """Decide how to go on with a change that failed its condition, from the current row."""
    row = decode_row(current)
    if row == change.row:
        # An earlier commit of the same change was applied, but its answer was lost.
        return Applied(current.version)
    if change.row.state is State.CLAIMED:
        return Rejected(current)
    if row is None:
        is_fence = change.row.state is State.RELEASED and not current.version
        return dataclasses.replace(change, version=0) if is_fence else Rejected(current)
    if row.attempt == change.row.attempt and row.state is State.CLAIMED:
        return dataclasses.replace(change, version=current.version)
    return Rejected(current)


def make_transaction(
    changes: collections.abc.Sequence[Change], batch: str, now_s: float
) -> platform.Transaction:
    """Return one transaction for changes of different rows; new claims get an expiry row."""
    conditions = [platform.Condition(change.key, change.version) for change in changes]
    writes = [platform.Write(change.key, codecs.pack(change.row)) for change in changes]
    created = tuple(change.key for change in changes if not change.version)
    if created:
        writes.append(
            platform.Write(make_expiry_key(now_s, batch), codecs.pack(ExpiryRow(created)))
        )
    return platform.Transaction(tuple(conditions), tuple(writes))


def make_expiry_key(now_s: float, batch: str) -> str:
    """Return the name of an expiry row; the names sort by age."""
    return f"{EXPIRY_PREFIX}{int(now_s) // _BUCKET_S:010d}/{batch}"


def is_due(expiry_row_key: str, now_s: float) -> bool:
    """Return whether the claims of an expiry row have expired."""
    bucket = int(expiry_row_key.removeprefix(EXPIRY_PREFIX).partition("/")[0])
    return (bucket + 1) * _BUCKET_S + RETENTION_S <= now_s


def select_due(
    expiry_rows: collections.abc.Sequence[platform.Row], max_claims: int, now_s: float
) -> tuple[list[platform.Row], list[str]]:
    """Return the first expiry rows that are due, and the keys that they list."""
    rows: list[platform.Row] = []
    keys: list[str] = []
    for row in expiry_rows:
        row_keys = codecs.unpack(row.value, ExpiryRow).keys
        if not is_due(row.key, now_s) or (rows and len(keys) + len(row_keys) > max_claims):
            break
        rows.append(row)
        keys += row_keys
    return rows, keys


@dataclasses.dataclass(frozen=True, slots=True)
class Sweep:
    """The deletion of expired claims: first the objects, then the rows in one transaction."""

    objects: tuple[str, ...]
    transaction: platform.Transaction


def plan_sweep(
    expiry_rows: collections.abc.Sequence[platform.Row],
    claim_rows: collections.abc.Sequence[platform.Row],
    now_s: float,
) -> Sweep:
    """Return what to delete for some expiry rows; unsettled claims are retained longer."""
    conditions = [platform.Condition(row.key, row.version) for row in expiry_rows]
    writes = [platform.Write(row.key, None) for row in expiry_rows]
    objects: list[str] = []
    retained: list[str] = []
    for claim_row in claim_rows:
        if not claim_row.version:
            continue
        row = decode_row(claim_row)
        if row is None or now_s - row.claimed_at_s < _get_retention_s(row):
            retained.append(claim_row.key)
            continue
        # The condition keeps a key that was claimed again since it was read.
        conditions.append(platform.Condition(claim_row.key, claim_row.version))
        writes.append(platform.Write(claim_row.key, None))
        if row.state is not State.RELEASED and not (row.answer and not row.answer.object_key):
            objects.append(make_answer_key(claim_row.key, row.attempt))
    if retained:
        later_s = now_s + RETENTION_S
        batch = expiry_rows[0].key.rpartition("/")[2]
        value = codecs.pack(ExpiryRow(tuple(retained)))
        writes.append(platform.Write(make_expiry_key(later_s, batch), value))
    return Sweep(tuple(objects), platform.Transaction(tuple(conditions), tuple(writes)))


def _get_retention_s(row: ClaimRow) -> float:
    return RETENTION_S if row.state in (State.ANSWERED, State.RELEASED) else UNSETTLED_RETENTION_S


def _replace_state(row: ClaimRow, state: State, answer: StoredAnswer | None = None) -> ClaimRow:
    return msgspec.structs.replace(row, state=state, answer=answer)


class CircuitBreaker:
    """Refuse claims at once while the table fails, except for one probe at a time."""

    def __init__(self, probe_interval_s: float) -> None:
        self._probe_interval_s = probe_interval_s
        self._next_probe_s: float | None = None

    @property
    def is_failing(self) -> bool:
        """Return whether the last commit failed."""
        return self._next_probe_s is not None

    def admit(self, now_s: float) -> bool:
        """Return whether a claim may be tried now; while the table fails it is the next probe."""
        if self._next_probe_s is None:
            return True
        if now_s < self._next_probe_s:
            return False
        self._next_probe_s = now_s + self._probe_interval_s
        return True

    def retry_after_s(self, now_s: float) -> float:
        """Return the time after which a claim may be tried again."""
        return max(self._probe_interval_s, (self._next_probe_s or now_s) - now_s)

    def record_failure(self, now_s: float) -> None:
        """Record a failed commit."""
        self._next_probe_s = now_s + self._probe_interval_s

    def record_success(self) -> None:
        """Record an answered commit."""
        self._next_probe_s = None


class RateLimiter:
    """A token bucket for commits, so that all entries together keep the table's rate limit."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._last_refill_s: float | None = None

    def reserve(self, now_s: float) -> float:
        """Take a token for a commit and return how long to wait before it."""
        if self._last_refill_s is not None:
            refilled = self._tokens + (now_s - self._last_refill_s) * self._rate_per_s
            self._tokens = min(self._burst, refilled)
        self._last_refill_s = now_s
        self._tokens -= 1
        return max(0.0, -self._tokens / self._rate_per_s)
