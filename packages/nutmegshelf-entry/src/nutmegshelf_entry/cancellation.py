"""Cancel the work for a request at its deadline or when its caller disconnects."""

import asyncio
import types

from nutmegshelf import exceptions
from nutmegshelf_http import server


class CancelScope:
    """A scope that is cancelled at a request's deadline or when its caller disconnects."""

    def __init__(self, exchange: server.Exchange, deadline_s: float) -> None:
        self.timeout_kind = exceptions.ErrorKind.BODY_TIMEOUT
        self.may_have_run = False
        self._survives_disconnect = False
        self._caller_disconnected = False
        self._disconnected = exchange.connection.peer_closed
        self._timeout = asyncio.timeout_at(deadline_s)

    async def __aenter__(self) -> "CancelScope":
        await self._timeout.__aenter__()
        self._disconnected.callback = self._handle_disconnect
        if self._disconnected.is_set():
            self._handle_disconnect()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._disconnected.callback = None
        try:
            await self._timeout.__aexit__(error_type, error, traceback)
        except TimeoutError as timeout_error:
            caller_gone = exceptions.ErrorKind.CALLER_GONE
            raise exceptions.RequestError(
                caller_gone if self._caller_disconnected else self.timeout_kind
            ) from timeout_error

    def mark_sent(self, *, survives_disconnect: bool) -> None:
        """Record that the request may run from now on, and whether it outlives its caller."""
        self.may_have_run = True
        self._survives_disconnect = survives_disconnect

    def _handle_disconnect(self) -> None:
        if not self._survives_disconnect and not self._timeout.expired():
            self._caller_disconnected = True
            self._timeout.reschedule(asyncio.get_running_loop().time())
