"""Assign numbered seats to entries, and to each seat a share of every minion's slots."""

import dataclasses
import enum
import zlib

import msgspec

from nutmegshelf import codecs, ids, platform

PREFIX = "seats/"
# Each seat reserves one connection for health probes.
PROBE_CONNECTIONS = 1


class SeatState(enum.Enum):
    """Whether a seat is held, has lost its share of slots, or may be claimed."""

    HELD = "held"
    LAPSED = "lapsed"
    FREE = "free"


class SeatRow(msgspec.Struct, frozen=True, kw_only=True):
    """The row of a seat in the table, rewritten by each renewal."""

    seat: int
    entry: ids.EntryId
    process: ids.ProcessId
    epoch: ids.Epoch
    address: str
    state: SeatState = SeatState.HELD
    renewal: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Allocation:
    """The seat of an entry among all held seats."""

    seat: int
    held: tuple[int, ...]

    def get_share(self, minion: ids.MinionId, slots: int) -> int:
        """Return this seat's slots of a minion; those of all held seats add up to the total."""
        if self.seat not in self.held:
            return 0
        ranked = sorted(self.held, key=lambda seat: _compute_rank(minion, seat))
        quotient, remainder = divmod(slots, len(self.held))
        return quotient + (ranked.index(self.seat) < remainder)


SOLE_ENTRY = Allocation(0, (0,))


@dataclasses.dataclass(frozen=True, slots=True)
class RowUpdate:
    """A write of a seat's row, conditional on its version; version 0 means no row."""

    row: SeatRow
    version: int

    def make_transaction(self) -> platform.Transaction:
        """Return the conditional write as a transaction."""
        key = f"{PREFIX}{self.row.seat:02}"
        return platform.Transaction(
            conditions=(platform.Condition(key, self.version),),
            writes=(platform.Write(key, codecs.pack(self.row)),),
        )


@dataclasses.dataclass(slots=True)
class _SeenRow:
    row: SeatRow
    version: int
    since_s: float


class Seats:
    """The seats as known to one entry; it uses only its own clock."""

    def __init__(
        self,
        entry: ids.EntryId,
        process: ids.ProcessId,
        seat_count: int,
        lease_s: float,
        silence_limit_s: float,
    ) -> None:
        self.entry = entry
        self.process = process
        self.seat_count = seat_count
        self.lease_s = lease_s
        self.silence_limit_s = silence_limit_s
        self.own_row: SeatRow | None = None
        self._last_contact_s = 0.0
        self._seen: dict[int, _SeenRow] = {}
        self._ended: set[tuple[int, int]] = set()

    def apply_rows(self, rows: list[platform.Row], now_s: float) -> None:
        """Apply the rows of the table; a lease runs from when its version was first read here."""
        self._last_contact_s = now_s
        for table_row in rows:
            seat = int(table_row.key.removeprefix(PREFIX))
            seen = self._seen.get(seat)
            # Versions only increase, so a lower one is a stale read.
            if seen is None or table_row.version > seen.version:
                row = codecs.unpack(table_row.value, SeatRow)
                self._seen[seat] = _SeenRow(row, table_row.version, now_s)
        self.own_row = next(
            (seen.row for seen in self._seen.values() if self._is_own(seen.row)), None
        )

    def record_contact(self, entry: ids.EntryId, now_s: float) -> None:
        """Record a message from an entry: it is alive, even if it can't reach the table."""
        self._last_contact_s = now_s
        candidates = [seen for seen in self._seen.values() if seen.row.entry == entry]
        if candidates:
            # A replaced entry may have the same id, so only the newest row is that of the sender.
            max(candidates, key=lambda seen: seen.version).since_s = now_s

    def is_fenced(self, now_s: float) -> bool:
        """Return whether this entry had no contact for so long that its seat may soon be freed."""
        return self.own_row is not None and now_s - self._last_contact_s >= self.silence_limit_s / 2

    def record_ended(self, row: SeatRow) -> None:
        """Record that a holder's process has ended, so it has no connections."""
        self._ended.add((row.seat, row.epoch))

    def get_silent_holders(self, now_s: float) -> list[SeatRow]:
        """Return the holders without a renewal for a whole lease, unless known to have ended."""
        return [
            seen.row
            for seen in self._seen.values()
            if seen.row.state is not SeatState.FREE
            and not self._is_own(seen.row)
            and self._is_silent(seen, now_s)
            and (seen.row.seat, seen.row.epoch) not in self._ended
        ]

    def make_lapses(self, now_s: float) -> list[RowUpdate]:
        """Return the updates that mark silent seats as lapsed, or as free if the holder ended."""
        updates: list[RowUpdate] = []
        for seen in self._seen.values():
            if self._is_own(seen.row) or not self._is_silent(seen, now_s):
                continue
            has_ended = (seen.row.seat, seen.row.epoch) in self._ended
            if now_s - seen.since_s >= self.silence_limit_s:
                has_ended = True
            state = SeatState.FREE if has_ended else SeatState.LAPSED
            if seen.row.state not in (state, SeatState.FREE):
                row = msgspec.structs.replace(seen.row, state=state)
                updates.append(RowUpdate(row, seen.version))
        return updates

    def make_claim(self, address: str) -> RowUpdate | None:
        """Return the update that renews the own seat or claims a free one; none without one."""
        if self.own_row is not None:
            seen = self._seen[self.own_row.seat]
            row = msgspec.structs.replace(
                seen.row,
                state=SeatState.HELD,
                address=address,
                renewal=seen.row.renewal + 1,
            )
            return RowUpdate(row, seen.version)
        # Entries that start together try the seats from different numbers on.
        first = zlib.crc32(self.process.encode())
        for offset in range(self.seat_count):
            seat = (first + offset) % self.seat_count
            current = self._seen.get(seat)
            if (
                current is None
                or current.row.state is SeatState.FREE
                or current.row.address == address
            ):
                # This entry listens at the holder's address, so the holder has ended.
                return RowUpdate(
                    SeatRow(
                        seat=seat,
                        entry=self.entry,
                        process=self.process,
                        epoch=ids.Epoch(current.row.epoch + 1 if current else 1),
                        address=address,
                    ),
                    current.version if current else 0,
                )
        return None

    def make_release(self) -> RowUpdate | None:
        """Return the update that frees the own seat, for when its connections are closed."""
        if self.own_row is None:
            return None
        row = msgspec.structs.replace(self.own_row, state=SeatState.FREE)
        return RowUpdate(row, self._seen[self.own_row.seat].version)

    def get_allocation(self) -> Allocation | None:
        """Return the current allocation, or none without a seat."""
        if self.own_row is None:
            return None
        held = {
            seen.row.seat for seen in self._seen.values() if seen.row.state is SeatState.HELD
        } | {self.own_row.seat}
        return Allocation(self.own_row.seat, tuple(sorted(held)))

    @property
    def is_shared(self) -> bool:
        """Return whether this entry and others hold seats."""
        allocation = self.get_allocation()
        return allocation is not None and len(allocation.held) > 1

    def _is_own(self, row: SeatRow) -> bool:
        return row.process == self.process and row.state is not SeatState.FREE

    def _is_silent(self, seen: _SeenRow, now_s: float) -> bool:
        return now_s - seen.since_s >= self.lease_s


def get_connection_limit(connections_per_minion: int, seats: int) -> int:
    """Return one seat's connections to a minion, so that all seats together keep its limit."""
    return max(0, connections_per_minion // seats - PROBE_CONNECTIONS)


def _compute_rank(minion: ids.MinionId, seat: int) -> int:
    return zlib.crc32(f"{seat}/{minion}".encode())
