"""Encode the progress of a job as rows, in as many as it needs, and decode it from them.

A small progress is one row, the head. A larger one is split into groups: the head with the state of
the job, and one group for each block of tasks that has something to tell. A group has as many rows
as its size takes, which are stored together. So a change writes only the blocks that it touches.
No block depends on another one, but the head says which occurrences are over: it is stored before
their blocks disappear.
"""

import collections.abc
import dataclasses
import hashlib
import typing

import msgspec

from nutmegshelf import codecs, ids, jobs

HEAD = ""
_BLOCK_TASKS = 128
# A progress beyond this size is split, so that small changes of it write few bytes.
_MAX_WHOLE_BYTES = 16 * 1024
# Room for what a row has beside its part of a group.
_ROW_OVERHEAD_BYTES = 16
# Several of these and the lease fit into a transaction.
_MAX_GROUP_BYTES = 300_000
_FORMAT = 2
_IS_ALONE, _IS_EARLY = 1, 2

# The number of a worker in its row, the run and its flags.
_Unresolved = tuple[int, int, int]
_Worker = tuple[ids.WorkerId, int, ids.HostId]


class _History(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The crashes under a task; its unresolved runs name their workers by number."""

    runs: list[int] = msgspec.field(default_factory=list)
    alone: list[int] = msgspec.field(default_factory=list)
    hosts: set[ids.HostId] = msgspec.field(default_factory=set)
    is_suspect: bool = msgspec.field(name="suspect", default=False)
    unresolved: list[_Unresolved] = msgspec.field(default_factory=list)


class _Step(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The part of a step's progress that belongs to one group."""

    done: bytes = b""
    crashes: dict[int, _History] = msgspec.field(default_factory=dict)
    failures: dict[int, list[int]] = msgspec.field(default_factory=dict)
    checkpoints: dict[int, str] = msgspec.field(name="saved", default_factory=dict)


# By occurrence and by step.
_Steps = dict[int, dict[int, _Step]]


class _Block(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The progress of some tasks."""

    workers: list[_Worker] = msgspec.field(default_factory=list)
    steps: _Steps = msgspec.field(default_factory=dict)


class _Head(_Block, kw_only=True, omit_defaults=True):
    """The state of a job, the ranges of its finished occurrences, and its tasks unless split."""

    version: int = msgspec.field(name="format", default=0)
    job: ids.JobId
    step_count: int
    state: jobs.JobState = jobs.JobState.QUEUED
    reason: str = ""
    # Empty if they take rows of their own.
    finished: list[tuple[int, int]] = msgspec.field(default_factory=list)
    is_split: bool = msgspec.field(name="split", default=False)


class _Version(msgspec.Struct):
    """The version of a head; heads of version 1 have none."""

    version: int = msgspec.field(name="format", default=1)


class _Chunk(msgspec.Struct, frozen=True, array_like=True):
    """One row of a group: the number of its rows, and a part of the encoded block."""

    count: int
    data: bytes


class RowName(typing.NamedTuple):
    """The name of a row of progress: its job, its group, and its number within the group."""

    job: ids.JobId
    group: str = HEAD
    number: int = 0

    @property
    def text(self) -> str:
        """Return the last segment of the row's key."""
        if self.group == HEAD and not self.number:
            return self.job
        return f"{self.job}.{self.group}.{self.number}"


def parse_row_name(text: str) -> RowName:
    """Parse the last segment of a row's key; raises ValueError."""
    job, *rest = text.split(".")
    if not rest:
        return RowName(ids.JobId(job))
    group, number = rest
    return RowName(ids.JobId(job), group, int(number))


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """The rows of a group, which one transaction has to store."""

    name: str
    values: tuple[bytes, ...]
    # Whether it is too large for a transaction with its tasks' checkpoints, and lacks them.
    lacks_checkpoints: bool = False

    @property
    def size_bytes(self) -> int:
        """Return the size of all rows."""
        return sum(map(len, self.values))

    @property
    def digest(self) -> bytes:
        """Return a digest that identifies the rows."""
        digest = hashlib.blake2b(digest_size=16)
        for value in self.values:
            digest.update(len(value).to_bytes(4, "little") + value)
        return digest.digest()


class _StoredGroup(typing.NamedTuple):
    digest: bytes
    row_count: int


class Change(typing.NamedTuple):
    """The writes that bring the rows of one group up to date."""

    group: Group
    # The number of rows that the group has no longer.
    surplus: int
    is_split: bool

    def make_writes(self, job: ids.JobId) -> list[tuple[RowName, bytes | None]]:
        """Return the rows to write; those without a value are deleted."""
        name, count = self.group.name, len(self.group.values)
        written = [
            (RowName(job, name, number), each) for number, each in enumerate(self.group.values)
        ]
        deleted = [(RowName(job, name, count + number), None) for number in range(self.surplus)]
        return [*written, *deleted]


class StoredRows:
    """What the table holds of the progress of one job."""

    def __init__(self) -> None:
        self._groups: dict[str, _StoredGroup] = {}
        self._is_split = False

    def load(self, rows: collections.abc.Mapping[RowName, bytes], *, is_split: bool) -> None:
        """Set the rows that were read from the table."""
        by_group: dict[str, dict[int, bytes]] = {}
        for name, value in rows.items():
            by_group.setdefault(name.group, {})[name.number] = value
        for group, values in by_group.items():
            # Rows may be missing, so the highest number counts.
            known = tuple(values.get(number, b"") for number in range(max(values) + 1))
            self._groups[group] = _StoredGroup(Group(group, known).digest, len(known))
        self._is_split = is_split

    @property
    def names(self) -> list[tuple[str, int]]:
        """Return the groups and the numbers of all rows."""
        return [
            (group, number)
            for group, stored in self._groups.items()
            for number in range(stored.row_count)
        ]

    def list_changes(self, groups: list[Group]) -> list[Change]:
        """Return the changes that bring the rows up to date, in an order in which each may be last.

        A reader of a part of the changes must find what was there before, or something newer. So
        the head goes first, but last if it leaves its tasks to blocks that are not stored yet.
        """
        is_split = len(groups) > 1
        changes: dict[str, Change] = {}
        for group in groups:
            stored = self._groups.get(group.name)
            if stored is None or stored.digest != group.digest:
                surplus = max(0, stored.row_count - len(group.values)) if stored else 0
                changes[group.name] = Change(group, surplus, is_split)
        head = changes.pop(HEAD, None)
        heads = [head] if head is not None else []
        names = {group.name for group in groups}
        vanished = [
            Change(Group(name, ()), stored.row_count, is_split)
            for name, stored in self._groups.items()
            if name not in names
        ]
        if is_split and not self._is_split:
            return [*changes.values(), *heads, *vanished]
        return [*heads, *changes.values(), *vanished]

    def confirm(self, change: Change) -> None:
        """Record that a change is stored."""
        group = change.group
        if group.values:
            self._groups[group.name] = _StoredGroup(group.digest, len(group.values))
        else:
            self._groups.pop(group.name, None)
        if group.name == HEAD:
            self._is_split = change.is_split


def encode(job: jobs.Job, progress: jobs.Progress, max_row_bytes: int) -> list[Group]:
    """Return the groups of a job's progress, the head first."""
    head = _Head(
        version=_FORMAT,
        job=progress.job,
        step_count=len(job.steps),
        state=progress.state,
        reason=progress.reason,
    )
    if progress.state not in jobs.ENDED_STATES:
        head.finished = _make_ranges(progress.finished)
    details = list(_list_details(job, progress))
    whole = _fill(msgspec.structs.replace(head), details)
    packed = codecs.pack_unordered(whole)
    if len(packed) <= min(_MAX_WHOLE_BYTES, max_row_bytes):
        return [Group(HEAD, (packed,))]
    head.is_split = True
    by_block: dict[int, list[_Detail]] = {}
    for detail in details:
        by_block.setdefault(detail.number // _BLOCK_TASKS, []).append(detail)
    blocks = [
        _encode_block(number, inner, max_row_bytes) for number, inner in sorted(by_block.items())
    ]
    return [_encode_head(head, max_row_bytes), *blocks]


def _encode_head(head: _Head, max_row_bytes: int) -> Group:
    packed = codecs.pack_unordered(head)
    if len(packed) <= max_row_bytes:
        return Group(HEAD, (packed,))
    ranges, head.finished = codecs.pack_unordered(head.finished), []
    return Group(HEAD, (codecs.pack_unordered(head), *_cut(ranges, max_row_bytes)))


def _cut(packed: bytes, max_row_bytes: int) -> tuple[bytes, ...]:
    """Return the values of as many rows as some data takes."""
    max_bytes = max_row_bytes - _ROW_OVERHEAD_BYTES
    parts = [packed[start : start + max_bytes] for start in range(0, len(packed), max_bytes)]
    return tuple(codecs.pack_unordered(_Chunk(len(parts), part)) for part in parts)


def _join(values: dict[int, bytes], first: int = 0) -> bytes:
    """Return the data of the rows of a group from a number on; raises msgspec.DecodeError."""
    chunks = {
        number - first: codecs.unpack(value, _Chunk)
        for number, value in values.items()
        if number >= first
    }
    if 0 not in chunks:
        raise msgspec.DecodeError("the first row of a group is missing")
    try:
        return b"".join(chunks[number].data for number in range(chunks[0].count))
    except KeyError as error:
        raise msgspec.DecodeError(f"row {error} of a group is missing") from error


def _encode_block(number: int, details: list["_Detail"], max_row_bytes: int) -> Group:
    block = _fill(_Block(), details)
    packed = codecs.pack_unordered(block)
    if is_too_large := len(packed) > _MAX_GROUP_BYTES:
        for steps in block.steps.values():
            for step in steps.values():
                step.checkpoints = {}
        packed = codecs.pack_unordered(block)
    return Group(str(number), _cut(packed, max_row_bytes), lacks_checkpoints=is_too_large)


class _Detail(typing.NamedTuple):
    """What there is to tell of one task; the bits of a step's done tasks go with its first one."""

    number: int
    key: jobs.TaskKey
    step: jobs.StepProgress
    has_done: bool


def _list_details(job: jobs.Job, progress: jobs.Progress) -> collections.abc.Iterator[_Detail]:
    offsets, total = [], 0
    for step in job.steps:
        offsets.append(total)
        total += step.count
    for occurrence, steps in progress.steps.items():
        for number, step_progress in enumerate(steps):
            offset = occurrence * total + offsets[number]
            positions = {
                *step_progress.crashes,
                *step_progress.failures,
                *step_progress.checkpoints,
            }
            if step_progress.done:
                positions.add(0)
            for position in positions:
                key = jobs.TaskKey(progress.job, occurrence, number, position)
                has_done = position == 0 and bool(step_progress.done)
                yield _Detail(offset + position, key, step_progress, has_done)


_BlockType = typing.TypeVar("_BlockType", bound=_Block)


def _fill(block: _BlockType, details: collections.abc.Iterable[_Detail]) -> _BlockType:
    """Add the progress of tasks to a block."""
    numbers: dict[_Worker, int] = {}
    block.steps = {}
    for _, key, progress, has_done in details:
        step = block.steps.setdefault(key.occurrence, {}).setdefault(key.step, _Step())
        if has_done:
            step.done = progress.done
        if (failures := progress.failures.get(key.position)) is not None:
            step.failures[key.position] = failures
        if (checkpoint := progress.checkpoints.get(key.position)) is not None:
            step.checkpoints[key.position] = checkpoint
        if (history := progress.crashes.get(key.position)) is not None:
            step.crashes[key.position] = _encode_history(history, numbers)
    block.workers = list(numbers)
    return block


def _encode_history(history: jobs.CrashHistory, numbers: dict[_Worker, int]) -> _History:
    return _History(
        runs=history.runs,
        alone=history.alone,
        hosts=history.hosts,
        is_suspect=history.is_suspect,
        unresolved=[
            (
                numbers.setdefault((each.worker, each.born_ms, each.host), len(numbers)),
                each.run,
                _IS_ALONE * each.is_alone | _IS_EARLY * each.is_early,
            )
            for each in history.unresolved
        ],
    )


def _make_ranges(numbers: collections.abc.Iterable[int]) -> list[tuple[int, int]]:
    """Return the first and last numbers of all runs of consecutive numbers."""
    ranges: list[tuple[int, int]] = []
    for number in sorted(numbers):
        if ranges and ranges[-1][1] == number - 1:
            ranges[-1] = (ranges[-1][0], number)
        else:
            ranges.append((number, number))
    return ranges


def is_split(head: bytes) -> bool:
    """Return whether the head leaves tasks to other rows; raises msgspec.DecodeError."""
    decoded = _decode_head(head)
    return isinstance(decoded, _Head) and decoded.is_split


def decode_state(head: bytes) -> jobs.JobState:
    """Return the state of a job from the head of its progress; raises msgspec.DecodeError."""
    return _decode_head(head).state


def decode(rows: collections.abc.Mapping[RowName, bytes]) -> jobs.Progress | None:
    """Return the progress of one job from all its rows; raises msgspec.DecodeError.

    It is None without a head: no progress was stored as a whole yet.
    """
    by_group: dict[str, dict[int, bytes]] = {}
    for name, value in rows.items():
        by_group.setdefault(name.group, {})[name.number] = value
    head_rows = by_group.pop(HEAD, {})
    if 0 not in head_rows:
        return None
    head = _decode_head(head_rows[0])
    if isinstance(head, jobs.Progress):
        return head
    progress = jobs.Progress(job=head.job, state=head.state, reason=head.reason)
    finished = head.finished
    if len(head_rows) > 1:
        finished = codecs.unpack(_join(head_rows, 1), list[tuple[int, int]])
    for first, last in finished:
        progress.finished.update(range(first, last + 1))
    blocks: list[_Block] = [head]
    if head.is_split and head.state not in jobs.ENDED_STATES:
        blocks += [codecs.unpack(_join(values), _Block) for values in by_group.values()]
    for block in blocks:
        _merge(progress, block, head.step_count)
    return progress


def _decode_head(value: bytes) -> _Head | jobs.Progress:
    if codecs.unpack(value, _Version).version == 1:
        return codecs.unpack(value, jobs.Progress)
    return codecs.unpack(value, _Head)


def _merge(progress: jobs.Progress, block: _Block, step_count: int) -> None:
    for occurrence, steps in block.steps.items():
        if occurrence in progress.finished:
            continue
        merged = progress.steps.setdefault(
            occurrence, [jobs.StepProgress() for _ in range(step_count)]
        )
        for number, step in steps.items():
            if number >= step_count:
                raise msgspec.DecodeError("there is progress of a step that the job doesn't have")
            merged[number].done = step.done or merged[number].done
            merged[number].failures.update(step.failures)
            merged[number].checkpoints.update(step.checkpoints)
            for position, history in step.crashes.items():
                merged[number].crashes[position] = _decode_history(history, block.workers)


def _decode_history(history: _History, workers: list[_Worker]) -> jobs.CrashHistory:
    try:
        unresolved = [
            jobs.UnresolvedRun(
                run=run,
                worker=workers[number][0],
                born_ms=workers[number][1],
                host=workers[number][2],
                is_alone=bool(flags & _IS_ALONE),
                is_early=bool(flags & _IS_EARLY),
            )
            for number, run, flags in history.unresolved
        ]
    except IndexError as error:
        raise msgspec.DecodeError("there is a run at an unknown worker") from error
    return jobs.CrashHistory(
        runs=history.runs,
        alone=history.alone,
        hosts=history.hosts,
        is_suspect=history.is_suspect,
        unresolved=unresolved,
    )
