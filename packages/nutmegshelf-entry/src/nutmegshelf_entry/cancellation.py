"""End work at its caller's deadline, or when its caller goes away."""

import asyncio
import types

from nutmegshelf import exceptions
from nutmegshelf_http import server


class CancelScope:
    """Hold one caller's patience and how far its request has come."""

    def __init__(self, exchange: server.Exchange, deadline_s: float) -> None:
        self.timeout_kind = exceptions.ErrorKind.BODY_TIMEOUT
        self.may_have_run = False
        self._survives_disconnect = False
        self._caller_left = False
        self._gone = exchange.connection.peer_closed
        self._scope = asyncio.timeout_at(deadline_s)

    async def __aenter__(self) -> "CancelScope":
        await self._scope.__aenter__()
        self._gone.callback = self._leave
        if self._gone.is_set():
            self._leave()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._gone.callback = None
        try:
            await self._scope.__aexit__(kind, error, trace)
        except TimeoutError as timeout:
            left = exceptions.ErrorKind.CALLER_GONE
            raise exceptions.RequestError(
                left if self._caller_left else self.timeout_kind
            ) from timeout

    def mark_sent(self, *, survives_disconnect: bool) -> None:
        """Note that bytes go to a minion now; some work goes on without its caller."""
        self.may_have_run = True
        self._survives_disconnect = survives_disconnect

    def _leave(self) -> None:
        if not self._survives_disconnect and not self._scope.expired():
            self._caller_left = True
            self._scope.reschedule(asyncio.get_running_loop().time())
