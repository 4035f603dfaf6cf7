"""Decide what a keyed request may do, from the row that claims its key."""

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
# Clocks differ between entries; a holder within this of its deadline may still answer.
HOLDER_GRACE_S = 5.0


class State(enum.Enum):
    """Say what a claim's row proves of its request."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    RELEASED = "released"
    UNSETTLED = "unsettled"


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a whole answer, or name the object that holds it where it is large."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    object_key: str = ""


class ClaimRow(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the claim of one attempt on one key."""

    attempt: ids.AttemptId
    entry: ids.EntryId
    fingerprint: str
    state: State
    claimed_at_s: float
    deadline_at_s: float
    answer: StoredAnswer | None = None


class ExpiryRow(msgspec.Struct, frozen=True):
    """List the claims that were made together, so that they expire together."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Set a claim's row if it still has a version."""

    key: str
    version: int
    row: ClaimRow


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Tell that a change is in the table."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Tell that a change is not in the table and never will be."""

    current: platform.Row


@dataclasses.dataclass(frozen=True, slots=True)
class Claimable:
    """Let a request claim the key over a version of its row."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Give a repeat the answer of the request that ran."""

    answer: StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Let a repeat wait for the request that runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a request with a kind of error."""

    kind: exceptions.ErrorKind


Decision = Claimable | Replay | Wait | Refuse


def make_row_key(service: ids.ServiceName, key: str) -> str:
    """Name the row of a key; keys of different services never meet."""
    return PREFIX + codecs.digest(codecs.pack((service, key)))


def make_answer_key(key: str, attempt: ids.AttemptId) -> str:
    """Name the object that holds a large answer."""
    return f"{ANSWER_PREFIX}{key.removeprefix(PREFIX)}-{attempt}"


def make_fingerprint(method: str, target: str, body: bytes) -> str:
    """Tell whether two requests with one key are the same request."""
    return codecs.digest(codecs.pack((method, target, body)))


def decode_row(found: platform.Row) -> ClaimRow | None:
    """Give the claim of a row, or none where there is none or a later release wrote it."""
    try:
        return codecs.unpack(found.value, ClaimRow) if found.version else None
    except msgspec.DecodeError:
        return None


def decide(found: platform.Row, wanted: str, now_s: float) -> Decision:
    """Decide what a request with a fingerprint may do, given the row of its key."""
    if not found.version:
        return Claimable(0)
    row = decode_row(found)
    if row is not None and row.state is State.RELEASED:
        return Claimable(found.version)
    if row is not None and row.fingerprint != wanted:
        return Refuse(exceptions.ErrorKind.KEY_REUSED)
    match row and row.state:
        case State.ANSWERED if row and row.answer:
            return Replay(row.answer)
        case State.CLAIMED if row and now_s <= row.deadline_at_s + HOLDER_GRACE_S:
            return Wait()
        case _:
            # The holder may have sent the request before it vanished: nothing proves otherwise.
            return Refuse(exceptions.ErrorKind.KEY_UNSETTLED)


def make_release(change: Change) -> Change:
    """Make the change that gives a claim back, whether or not the claim has landed.

    The row stays, so that a late copy of the claim's write finds its condition broken.
    """
    return dataclasses.replace(change, row=_in_state(change.row, State.RELEASED))


def make_settlement(change: Change, answer: StoredAnswer | None) -> Change:
    """Make the change that stores the answer, or that says that it is lost."""
    state = State.UNSETTLED if answer is None else State.ANSWERED
    return dataclasses.replace(change, row=_in_state(change.row, state, answer))


def resolve_conflict(change: Change, found: platform.Row) -> Applied | Rejected | Change:
    """Decide how a change goes on whose condition was broken by a row."""
    row = decode_row(found)
    if row == change.row:
        # An earlier copy of this very change has landed and its answer was lost.
        return Applied(found.version)
    if change.row.state is State.CLAIMED:
        return Rejected(found)
    if row is None:
        is_fence = change.row.state is State.RELEASED and not found.version
        return dataclasses.replace(change, version=0) if is_fence else Rejected(found)
    if row.attempt == change.row.attempt and row.state is State.CLAIMED:
        return dataclasses.replace(change, version=found.version)
    return Rejected(found)


def make_transaction(
    changes: collections.abc.Sequence[Change], batch: str, now_s: float
) -> platform.Transaction:
    """Join changes of different rows into one commit; new claims get an expiry row."""
    conditions = [platform.Condition(change.key, change.version) for change in changes]
    writes = [platform.Write(change.key, codecs.pack(change.row)) for change in changes]
    created = tuple(change.key for change in changes if not change.version)
    if created:
        writes.append(
            platform.Write(make_expiry_key(now_s, batch), codecs.pack(ExpiryRow(created)))
        )
    return platform.Transaction(tuple(conditions), tuple(writes))


def make_expiry_key(now_s: float, batch: str) -> str:
    """Name an expiry row, so that the oldest come first."""
    return f"{EXPIRY_PREFIX}{int(now_s) // _BUCKET_S:010d}/{batch}"


def is_due(expiry_row_key: str, now_s: float) -> bool:
    """Say whether the claims of an expiry row may be deleted now."""
    bucket = int(expiry_row_key.removeprefix(EXPIRY_PREFIX).partition("/")[0])
    return (bucket + 1) * _BUCKET_S + RETENTION_S <= now_s


def select_due(
    listed: collections.abc.Sequence[platform.Row], most_claims: int, now_s: float
) -> tuple[list[platform.Row], list[str]]:
    """Take expiry rows that are due, in order, and the keys that they list."""
    rows: list[platform.Row] = []
    keys: list[str] = []
    for row in listed:
        more = codecs.unpack(row.value, ExpiryRow).keys
        if not is_due(row.key, now_s) or (rows and len(keys) + len(more) > most_claims):
            break
        rows.append(row)
        keys += more
    return rows, keys


@dataclasses.dataclass(frozen=True, slots=True)
class Sweep:
    """Delete expired claims: the objects first, then the rows in one commit."""

    objects: tuple[str, ...]
    transaction: platform.Transaction


def plan_sweep(
    listed: collections.abc.Sequence[platform.Row],
    found: collections.abc.Sequence[platform.Row],
    now_s: float,
) -> Sweep:
    """Decide what goes of the claims that expiry rows list; unsettled ones are kept longer."""
    conditions = [platform.Condition(row.key, row.version) for row in listed]
    writes = [platform.Write(row.key, None) for row in listed]
    objects: list[str] = []
    kept: list[str] = []
    for one in found:
        if not one.version:
            continue
        row = decode_row(one)
        if row is None or now_s - row.claimed_at_s < _kept_s(row):
            kept.append(one.key)
            continue
        # The version guards a key that was claimed anew since it was read.
        conditions.append(platform.Condition(one.key, one.version))
        writes.append(platform.Write(one.key, None))
        if row.state is not State.RELEASED and not (row.answer and not row.answer.object_key):
            objects.append(make_answer_key(one.key, row.attempt))
    if kept:
        later_s = now_s + RETENTION_S
        batch = listed[0].key.rpartition("/")[2]
        value = codecs.pack(ExpiryRow(tuple(kept)))
        writes.append(platform.Write(make_expiry_key(later_s, batch), value))
    return Sweep(tuple(objects), platform.Transaction(tuple(conditions), tuple(writes)))


def _kept_s(row: ClaimRow) -> float:
    return RETENTION_S if row.state in (State.ANSWERED, State.RELEASED) else UNSETTLED_RETENTION_S


def _in_state(row: ClaimRow, state: State, answer: StoredAnswer | None = None) -> ClaimRow:
    return msgspec.structs.replace(row, state=state, answer=answer)


class CircuitBreaker:
    """Refuse claims at once while the table fails, but for one probe at a time."""

    def __init__(self, probe_interval_s: float) -> None:
        self._probe_interval_s = probe_interval_s
        self._next_probe_s: float | None = None

    @property
    def is_failing(self) -> bool:
        """Say whether the last commit failed."""
        return self._next_probe_s is not None

    def admit(self, now_s: float) -> bool:
        """Say whether a claim may be tried now; a probe counts as tried."""
        if self._next_probe_s is None:
            return True
        if now_s < self._next_probe_s:
            return False
        self._next_probe_s = now_s + self._probe_interval_s
        return True

    def retry_after_s(self, now_s: float) -> float:
        """Give the time after which a claim may be tried again."""
        return max(self._probe_interval_s, (self._next_probe_s or now_s) - now_s)

    def record_failure(self, now_s: float) -> None:
        """Note a failed commit."""
        self._next_probe_s = now_s + self._probe_interval_s

    def record_success(self) -> None:
        """Note a commit that was answered."""
        self._next_probe_s = None


class RateLimiter:
    """Space commits under load, so that all entries together stay within the table's rate."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._seen_s: float | None = None

    def reserve(self, now_s: float) -> float:
        """Count one commit and give the time to wait before it."""
        if self._seen_s is not None:
            grown = self._tokens + (now_s - self._seen_s) * self._rate_per_s
            self._tokens = min(self._burst, grown)
        self._seen_s = now_s
        self._tokens -= 1
        return max(0.0, -self._tokens / self._rate_per_s)
