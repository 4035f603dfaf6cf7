"""Best-effort messages between entries over pynng sockets."""

import collections.abc

import msgspec
import pynng
from nutmegshelf import codecs, ids, messages

from nutmegshelf_entry import logs

_SEND_BUFFER_MESSAGES = 128
_log = logs.get_logger("peers")

MessageHandler = collections.abc.Callable[[messages.AnyMessage], collections.abc.Awaitable[None]]


class Peers:
    """Sockets to and from the other entries; a send never waits, a slow peer loses messages."""

    def __init__(self, entry: ids.EntryId, host: str, port: int) -> None:
        self.entry = entry
        self._receiver = pynng.Pull0(recv_buffer_size=_SEND_BUFFER_MESSAGES)
        listener = self._receiver.listen(f"tcp://{host}:{port}")
        bound_port = str(listener.local_address).rpartition(":")[2]
        self._address = f"tcp://{host}:{bound_port}"
        self._senders: dict[str, pynng.Push0] = {}

    @property
    def address(self) -> str:
        """The address that peers dial."""
        return self._address

    def set_addresses(self, addresses: set[str]) -> None:
        """Dial new peers and close the sockets of those that left."""
        for address in addresses - self._senders.keys():
            socket = pynng.Push0(send_buffer_size=_SEND_BUFFER_MESSAGES)
            try:
                socket.dial(address, block=False)
            except pynng.NNGException as error:
                _log.warning("Could not dial a peer.", peer=address, error=str(error))
                socket.close()
                continue
            self._senders[address] = socket
        for address in self._senders.keys() - addresses:
            self._senders.pop(address).close()

    def broadcast(self, message: messages.AnyMessage) -> None:
        """Send a message to every peer without waiting."""
        data = codecs.pack(message)
        for address, socket in self._senders.items():
            self._send(address, socket, data)

    def send(self, address: str, message: messages.AnyMessage) -> None:
        """Send a message to one peer without waiting; drop it where the peer is slow or unknown."""
        socket = self._senders.get(address)
        if socket is not None:
            self._send(address, socket, codecs.pack(message))

    @staticmethod
    def _send(address: str, socket: pynng.Push0, data: bytes) -> None:
        try:
            socket.send(data, block=False)
        except pynng.TryAgain:
            _log.debug("Dropped a message to a slow peer.", peer=address)

    async def run(self, handler: MessageHandler) -> None:
        """Pass every received message to the handler until cancelled."""
        while True:
            data = await self._receiver.arecv()
            try:
                message: messages.AnyMessage = codecs.CODECS["msgpack"].decode(
                    data, messages.AnyMessage
                )
            except msgspec.DecodeError as error:
                _log.warning("Dropped an undecodable message from a peer.", error=str(error))
                continue
            if message.sender != self.entry:
                await handler(message)

    def close(self) -> None:
        """Close all sockets."""
        for socket in self._senders.values():
            socket.close()
        self._receiver.close()
