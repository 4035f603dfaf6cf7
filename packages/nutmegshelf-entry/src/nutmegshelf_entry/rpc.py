"""Carry calls between entries: one request, one answer, each within its time limit."""

import collections.abc

import h11
import msgspec
from nutmegshelf import calls, codecs, exceptions
from nutmegshelf_http import client, server

from nutmegshelf_entry import logs

_HEADERS = [(b"content-type", b"application/msgpack")]
_PATH = "/call"
_MOST_BYTES = 1024 * 1024
_log = logs.get_logger("mesh")

ExchangeHandler = collections.abc.Callable[[server.Exchange], collections.abc.Awaitable[None]]
CallHandler = collections.abc.Callable[[calls.AnyCall], collections.abc.Awaitable[calls.Reply]]


class PeerRpc:
    """Own the listener for other entries' calls and the connections to them.

    What is no call of an entry goes to the operators' interface, which listens here too.
    """

    def __init__(self, answer: CallHandler) -> None:
        self.operator_handler: ExchangeHandler | None = None
        self._answer = answer
        self._clients: dict[str, client.Client] = {}
        self._server = server.Server(self._handle, on_error=self._report)

    async def start(self, host: str, port: int) -> int:
        """Listen and give the port."""
        return await self._server.start(host, port)

    async def call(self, address: str, call: calls.AnyCall, timeout_s: float) -> calls.Reply:
        """Call another entry; raises PeerUnreachable or PeerAnswerLost."""
        host, _, port = address.rpartition(":")
        link = self._clients.get(address)
        if link is None:
            link = self._clients[address] = client.Client(host, int(port))
        try:
            answer = await link.request(
                "POST", _PATH, codecs.pack(call), _HEADERS, timeout_s=timeout_s
            )
        except ConnectionRefusedError as error:
            raise exceptions.PeerUnreachable(f"{address}: {error}") from error
        except (OSError, h11.ProtocolError, TimeoutError) as error:
            raise exceptions.PeerAnswerLost(f"{address}: {error!r}") from error
        if answer.status != 200:
            raise exceptions.PeerAnswerLost(f"{address}: status {answer.status}")
        try:
            return codecs.unpack(answer.body, calls.Reply)
        except msgspec.DecodeError as error:
            raise exceptions.PeerAnswerLost(f"{address}: {error}") from error

    async def _handle(self, exchange: server.Exchange) -> None:
        if exchange.target != _PATH and self.operator_handler is not None:
            await self.operator_handler(exchange)
            return
        body = await exchange.connection.read_body(_MOST_BYTES)
        try:
            call = msgspec.msgpack.decode(body, type=calls.AnyCall)
        except msgspec.DecodeError as error:
            _log.warning("A peer's call can't be read.", why=str(error))
            await exchange.respond(400, [])
            return
        reply = await self._answer(call)
        await exchange.respond(200, _HEADERS, codecs.pack(reply))

    def _report(self, error: Exception) -> None:
        _log.error("A peer's call failed.", exc_info=error)

    async def close(self) -> None:
        """End all connections."""
        await self._server.close()
        for link in self._clients.values():
            link.close()
