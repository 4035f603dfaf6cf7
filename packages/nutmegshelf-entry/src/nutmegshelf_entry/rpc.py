"""Remote procedure calls between entries: one request and one reply within a time limit."""

import collections.abc

import h11
import msgspec
from nutmegshelf import calls, codecs, exceptions
from nutmegshelf_http import client, server

from nutmegshelf_entry import fault_log, logs

_HEADERS = [(b"content-type", b"application/msgpack")]
_PATH = "/call"
_MAX_CALL_BYTES = 1024 * 1024
_log = logs.get_logger("mesh")

ExchangeHandler = collections.abc.Callable[[server.Exchange], collections.abc.Awaitable[None]]
CallHandler = collections.abc.Callable[[calls.AnyCall], collections.abc.Awaitable[calls.Reply]]


class PeerRpc:
    """Listener for the calls of other entries and the connections to them.

    The operators' interface shares the listener: it gets every request to another path.
    """

    def __init__(self, handle_call: CallHandler) -> None:
        self.operator_handler: ExchangeHandler | None = None
        self._handle_call = handle_call
        self._clients: dict[str, client.Client] = {}
        self._server = server.Server(
            self._handle_exchange, on_fault=fault_log.FaultLog("peers").write
        )

    async def start(self, host: str, port: int) -> int:
        """Start to listen and return the port."""
        return await self._server.start(host, port)

    async def call(self, address: str, call: calls.AnyCall, timeout_s: float) -> calls.Reply:
        """Call another entry; raises PeerUnreachable or PeerAnswerLost."""
        host, _, port = address.rpartition(":")
        peer_client = self._clients.get(address)
        if peer_client is None:
            peer_client = self._clients[address] = client.Client(host, int(port))
        try:
            response = await peer_client.request(
                "POST", _PATH, codecs.pack(call), _HEADERS, timeout_s=timeout_s
            )
        except ConnectionRefusedError as error:
            raise exceptions.PeerUnreachable(f"{address}: {error}") from error
        except (OSError, h11.ProtocolError, TimeoutError) as error:
            raise exceptions.PeerAnswerLost(f"{address}: {error!r}") from error
        if response.status != 200:
            raise exceptions.PeerAnswerLost(f"{address}: status {response.status}")
        try:
            return codecs.unpack(response.body, calls.Reply)
        except msgspec.DecodeError as error:
            raise exceptions.PeerAnswerLost(f"{address}: {error}") from error

    async def _handle_exchange(self, exchange: server.Exchange) -> None:
        if exchange.target != _PATH and self.operator_handler is not None:
            await self.operator_handler(exchange)
            return
        body = await exchange.connection.read_body(_MAX_CALL_BYTES)
        try:
            call = msgspec.msgpack.decode(body, type=calls.AnyCall)
        except (msgspec.DecodeError, RecursionError) as error:
            _log.warning("Rejected an undecodable call from a peer.", why=str(error))
            await exchange.respond(400, [])
            return
        reply = await self._handle_call(call)
        await exchange.respond(200, _HEADERS, codecs.pack(reply))

    async def close(self) -> None:
        """Close the listener and all connections."""
        await self._server.close()
        for peer_client in self._clients.values():
            peer_client.close()
