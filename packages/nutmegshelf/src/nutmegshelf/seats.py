"""Decide which numbered seat an entry holds, and what share of each minion a seat gives."""

import dataclasses
import enum
import zlib

import msgspec

from nutmegshelf import codecs, ids, platform

PREFIX = "seats/"
# One connection a seat is kept for the probes of the entry that holds it.
PROBE_CONNECTIONS = 1


class SeatState(enum.Enum):
    """Say what became of a seat."""

    HELD = "held"
    LAPSED = "lapsed"
    FREE = "free"


class SeatRow(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a seat in the table; each renewal writes it again."""

    seat: int
    entry: ids.EntryId
    process: ids.ProcessId
    epoch: ids.Epoch
    address: str
    state: SeatState = SeatState.HELD
    renewal: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Allocation:
    """Tell an entry its own seat and which seats are held."""

    seat: int
    held: tuple[int, ...]

    def get_share(self, minion: ids.MinionId, slots: int) -> int:
        """Give this seat's share of a minion; the shares of all held seats add up to its slots."""
        if self.seat not in self.held:
            return 0
        ranked = sorted(self.held, key=lambda seat: _rank(minion, seat))
        whole, left = divmod(slots, len(self.held))
        return whole + (ranked.index(self.seat) < left)


SOLE_ENTRY = Allocation(0, (0,))


@dataclasses.dataclass(frozen=True, slots=True)
class RowUpdate:
    """Write a seat's row if it is still at a version; version 0 where there was no row."""

    row: SeatRow
    version: int

    def make_transaction(self) -> platform.Transaction:
        """Give the conditional write."""
        key = f"{PREFIX}{self.row.seat:02}"
        return platform.Transaction(
            conditions=(platform.Condition(key, self.version),),
            writes=(platform.Write(key, codecs.pack(self.row)),),
        )


@dataclasses.dataclass(slots=True)
class _Seen:
    row: SeatRow
    version: int
    since_s: float


class Seats:
    """Keep what one entry knows of the seats; clocks of other hosts are never read."""

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
        self._contact_s = 0.0
        self._seen: dict[int, _Seen] = {}
        self._closed: set[tuple[int, int]] = set()

    def apply_rows(self, found: list[platform.Row], now_s: float) -> None:
        """Take the table's rows; a lapse is counted from when a version was first seen here."""
        self._contact_s = now_s
        for raw in found:
            number = int(raw.key.removeprefix(PREFIX))
            seen = self._seen.get(number)
            # Versions only grow, so an older one is a stale read.
            if seen is None or raw.version > seen.version:
                row = codecs.unpack(raw.value, SeatRow)
                self._seen[number] = _Seen(row, raw.version, now_s)
        self.own_row = next(
            (seen.row for seen in self._seen.values() if self._is_own(seen.row)), None
        )

    def record_contact(self, entry: ids.EntryId, now_s: float) -> None:
        """Note that an entry spoke: it lives, although it may be cut off from the table."""
        self._contact_s = now_s
        rows = [seen for seen in self._seen.values() if seen.row.entry == entry]
        if rows:
            # A replacement may bear the same name; only the newest row is its own.
            max(rows, key=lambda seen: seen.version).since_s = now_s

    def is_fenced(self, now_s: float) -> bool:
        """Say whether this entry was alone for so long that its seat may be given away soon."""
        return self.own_row is not None and now_s - self._contact_s >= self.silence_limit_s / 2

    def record_ended(self, row: SeatRow) -> None:
        """Note the proof that a holder's process has ended, so that its connections are closed."""
        self._closed.add((row.seat, row.epoch))

    def get_silent_holders(self, now_s: float) -> list[SeatRow]:
        """Name the holders that did not renew for a whole lease and aren't proved to be gone."""
        return [
            seen.row
            for seen in self._seen.values()
            if seen.row.state is not SeatState.FREE
            and not self._is_own(seen.row)
            and self._is_silent(seen, now_s)
            and (seen.row.seat, seen.row.epoch) not in self._closed
        ]

    def make_lapses(self, now_s: float) -> list[RowUpdate]:
        """Give the writes that take the shares of silent holders away, but not their seats."""
        claims: list[RowUpdate] = []
        for seen in self._seen.values():
            if self._is_own(seen.row) or not self._is_silent(seen, now_s):
                continue
            proved = (seen.row.seat, seen.row.epoch) in self._closed
            if now_s - seen.since_s >= self.silence_limit_s:
                proved = True
            state = SeatState.FREE if proved else SeatState.LAPSED
            if seen.row.state not in (state, SeatState.FREE):
                row = msgspec.structs.replace(seen.row, state=state)
                claims.append(RowUpdate(row, seen.version))
        return claims

    def make_claim(self, address: str) -> RowUpdate | None:
        """Renew the own seat or take a free one; none where no seat may be taken."""
        if self.own_row is not None:
            seen = self._seen[self.own_row.seat]
            row = msgspec.structs.replace(
                seen.row,
                state=SeatState.HELD,
                address=address,
                renewal=seen.row.renewal + 1,
            )
            return RowUpdate(row, seen.version)
        # Entries that start together look from different places on.
        first = zlib.crc32(self.process.encode())
        for number in range(self.seat_count):
            seat = (first + number) % self.seat_count
            known = self._seen.get(seat)
            if known is None or known.row.state is SeatState.FREE or known.row.address == address:
                # Who listens at the holder's own address is proof that the holder has ended.
                return RowUpdate(
                    SeatRow(
                        seat=seat,
                        entry=self.entry,
                        process=self.process,
                        epoch=ids.Epoch(known.row.epoch + 1 if known else 1),
                        address=address,
                    ),
                    known.version if known else 0,
                )
        return None

    def make_release(self) -> RowUpdate | None:
        """Give up the own seat, once all connections to minions are closed."""
        if self.own_row is None:
            return None
        row = msgspec.structs.replace(self.own_row, state=SeatState.FREE)
        return RowUpdate(row, self._seen[self.own_row.seat].version)

    def get_allocation(self) -> Allocation | None:
        """Give the shares in force, or none without a seat."""
        if self.own_row is None:
            return None
        held = {
            seen.row.seat for seen in self._seen.values() if seen.row.state is SeatState.HELD
        } | {self.own_row.seat}
        return Allocation(self.own_row.seat, tuple(sorted(held)))

    @property
    def is_shared(self) -> bool:
        """Say whether this entry holds a seat beside others."""
        seated = self.get_allocation()
        return seated is not None and len(seated.held) > 1

    def _is_own(self, row: SeatRow) -> bool:
        return row.process == self.process and row.state is not SeatState.FREE

    def _is_silent(self, seen: _Seen, now_s: float) -> bool:
        return now_s - seen.since_s >= self.lease_s


def get_connection_limit(connections_per_minion: int, seats: int) -> int:
    """Bound one seat's connections to a minion, so that all seats together keep its limit."""
    return max(0, connections_per_minion // seats - PROBE_CONNECTIONS)


def _rank(minion: ids.MinionId, seat: int) -> int:
    return zlib.crc32(f"{seat}/{minion}".encode())
