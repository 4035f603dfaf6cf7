"""Hold a seat in the table and report the share of the slots that it grants."""

import asyncio
import collections.abc

from nutmegshelf import exceptions, ids, seats

from nutmegshelf_entry import logs, table

_MAX_ATTEMPTS = 5
_CONNECT_TIMEOUT_S = 0.5
_SETTLE_INTERVALS = 1.25
_log = logs.get_logger("seating")

AllocationCallback = collections.abc.Callable[[seats.Allocation | None], None]
# Returns whether a connection to an address is refused, which proves that its process has ended.
RefusalCheck = collections.abc.Callable[[str], collections.abc.Awaitable[bool]]


async def is_connection_refused(address: str) -> bool:
    """Return whether a peer's address refuses connections; a time-out proves nothing."""
    host, _, port = address.rpartition("//")[2].rpartition(":")
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, ValueError):
        return False
    writer.close()
    return False


class SeatHolder:
    """The seat of this entry, which is taken, renewed and released in the table."""

    def __init__(
        self,
        store: table.Store,
        seat_table: seats.Seats,
        address: str,
        on_changed: AllocationCallback,
        interval_s: float,
        *,
        is_refused: RefusalCheck = is_connection_refused,
    ) -> None:
        self._store = store
        self._seats = seat_table
        self._address = address
        self._on_changed = on_changed
        self._interval_s = interval_s
        self._is_refused = is_refused
        self._last_warning = ""
        self._is_released = False

    async def run(self) -> None:
        """Renew the seat until it is released."""
        while not self._is_released:
            try:
                await self.renew()
                self._warn_once("" if self._seats.own_row else "No seat is free.")
            except exceptions.TableError as error:
                self._warn_once(f"Could not renew the seat: {error}.")
            if self._seats.is_fenced(asyncio.get_running_loop().time()):
                self._warn_once("Gave up the seat: no contact for too long.")
                self._on_changed(None)
            is_seated = self._seats.own_row is not None
            await asyncio.sleep(self._interval_s if is_seated else self._interval_s / 8)

    async def renew(self) -> None:
        """Read all seats, renew the own one and update silent ones; raises TableError."""
        was_unseated = self._seats.own_row is None
        for _ in range(_MAX_ATTEMPTS):
            await self._read_seats()
            row_update = self._seats.make_claim(self._address)
            if row_update is None or self._is_released:
                break
            if await self._commit(row_update):
                break
        if was_unseated and self._seats.is_shared:
            # The other entries release their part of the new seat's share at their next renewal.
            await asyncio.sleep(_SETTLE_INTERVALS * self._interval_s)
            await self._read_seats()
        self._on_changed(self._seats.get_allocation())
        await self._update_silent_seats()

    async def release(self) -> None:
        """Release the seat once all connections to minions are closed; raises TableError."""
        self._is_released = True
        if row_update := self._seats.make_release():
            await self._store.commit(row_update.make_transaction())

    def record_contact(self, entry: ids.EntryId) -> None:
        """Record that a message from an entry has arrived."""
        self._seats.record_contact(entry, asyncio.get_running_loop().time())

    def _warn_once(self, warning: str) -> None:
        # An outage may last for hours, so a repeated warning is logged only once.
        if warning and warning != self._last_warning:
            _log.warning(warning)
        self._last_warning = warning

    async def _commit(self, row_update: seats.RowUpdate) -> bool:
        loop = asyncio.get_running_loop()
        previous_row = self._seats.own_row
        try:
            committed = await self._store.commit(row_update.make_transaction())
            if committed.ok:
                self._seats.apply_rows(list(committed.rows), loop.time())
        except exceptions.TableAnswerLost:
            # The row names its writer, so reading it tells whether the commit took effect.
            await self._read_seats()
        if previous_row is None and self._seats.own_row is not None:
            _log.info("Took a seat.", seat=row_update.row.seat, epoch=self._seats.own_row.epoch)
        return (
            self._seats.own_row is not None
            and self._seats.own_row.renewal >= row_update.row.renewal
        )

    async def _read_seats(self) -> None:
        rows = await self._store.scan(seats.PREFIX)
        self._seats.apply_rows(rows, asyncio.get_running_loop().time())

    async def _update_silent_seats(self) -> None:
        loop = asyncio.get_running_loop()
        for row in self._seats.get_silent_holders(loop.time()):
            if await self._is_refused(row.address):
                self._seats.record_ended(row)
        for row_update in self._seats.make_lapses(loop.time()):
            state = row_update.row.state.value
            _log.info("Updating the state of a silent seat.", seat=row_update.row.seat, state=state)
            await self._commit(row_update)
        self._on_changed(self._seats.get_allocation())
