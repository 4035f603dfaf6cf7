"""Hold a seat in the table, and tell the owner of the slots what share it gives."""

import asyncio
import collections.abc

from nutmegshelf import exceptions, ids, seats

from nutmegshelf_entry import logs, table

_TRIES = 5
_PROOF_TIMEOUT_S = 0.5
_SETTLE_FRACTION = 1.25
_log = logs.get_logger("seating")

AllocationCallback = collections.abc.Callable[[seats.Allocation | None], None]
# Says whether a connection to an address is refused, which proves that its process has ended.
RefusalCheck = collections.abc.Callable[[str], collections.abc.Awaitable[bool]]


async def is_connection_refused(address: str) -> bool:
    """Say whether nothing listens at a peer's address; a time-out proves nothing."""
    host, _, port = address.rpartition("//")[2].rpartition(":")
    try:
        async with asyncio.timeout(_PROOF_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, ValueError):
        return False
    writer.close()
    return False


class SeatHolder:
    """Own this entry's seat: take it, renew it, and set apart those that ended."""

    def __init__(
        self,
        rows: table.Store,
        seat_table: seats.Seats,
        address: str,
        on_changed: AllocationCallback,
        interval_s: float,
        *,
        is_refused: RefusalCheck = is_connection_refused,
    ) -> None:
        self._rows = rows
        self._seats = seat_table
        self._address = address
        self._on_changed = on_changed
        self._interval_s = interval_s
        self._is_refused = is_refused
        self._trouble = ""
        self._released = False

    async def run(self) -> None:
        """Renew for ever."""
        while not self._released:
            try:
                await self.renew()
                self._note("" if self._seats.own_row else "No seat is free.")
            except exceptions.TableError as error:
                self._note(f"Could not renew the seat: {error}.")
            if self._seats.is_fenced(asyncio.get_running_loop().time()):
                self._note("Gave up the seat: alone for too long.")
                self._on_changed(None)
            seated = self._seats.own_row is not None
            await asyncio.sleep(self._interval_s if seated else self._interval_s / 8)

    async def renew(self) -> None:
        """Read all seats, write the own one, judge the silent ones; raises TableError."""
        unseated = self._seats.own_row is None
        for _ in range(_TRIES):
            await self._read()
            claim = self._seats.make_claim(self._address)
            if claim is None or self._released:
                break
            if await self._write(claim):
                break
        if unseated and self._seats.is_shared:
            # The others give up their part of the new seat's share at their next renewal.
            await asyncio.sleep(_SETTLE_FRACTION * self._interval_s)
            await self._read()
        self._on_changed(self._seats.get_allocation())
        await self._judge()

    async def release(self) -> None:
        """Give the seat up, after all connections to minions were closed; raises TableError."""
        self._released = True
        if claim := self._seats.make_release():
            await self._rows.commit(claim.make_transaction())

    def record_contact(self, entry: ids.EntryId) -> None:
        """Note that an entry spoke."""
        self._seats.record_contact(entry, asyncio.get_running_loop().time())

    def _note(self, trouble: str) -> None:
        # An outage may last for hours; one line at its start says it all.
        if trouble and trouble != self._trouble:
            _log.warning(trouble)
        self._trouble = trouble

    async def _write(self, claim: seats.RowUpdate) -> bool:
        loop = asyncio.get_running_loop()
        before = self._seats.own_row
        try:
            committed = await self._rows.commit(claim.make_transaction())
            if committed.ok:
                self._seats.apply_rows(list(committed.rows), loop.time())
        except exceptions.TableAnswerLost:
            # The row says who wrote it: reading it back settles a lost answer.
            await self._read()
        if before is None and self._seats.own_row is not None:
            _log.info("Took a seat.", seat=claim.row.seat, epoch=self._seats.own_row.epoch)
        return self._seats.own_row is not None and self._seats.own_row.renewal >= claim.row.renewal

    async def _read(self) -> None:
        found = await self._rows.scan(seats.PREFIX)
        self._seats.apply_rows(found, asyncio.get_running_loop().time())

    async def _judge(self) -> None:
        loop = asyncio.get_running_loop()
        for row in self._seats.get_silent_holders(loop.time()):
            if await self._is_refused(row.address):
                self._seats.record_ended(row)
        for claim in self._seats.make_lapses(loop.time()):
            state = claim.row.state.value
            _log.info("Judging a silent seat.", seat=claim.row.seat, state=state)
            await self._write(claim)
        self._on_changed(self._seats.get_allocation())
