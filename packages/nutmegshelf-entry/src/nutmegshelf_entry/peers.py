"""Carry messages between entries over pynng sockets."""

import collections.abc

import msgspec
import pynng
from nutmegshelf import codecs, ids, messages

from nutmegshelf_entry import logs

_SEND_BUFFER_MESSAGES = 128
_log = logs.get_logger("peers")

MessageHandler = collections.abc.Callable[[messages.AnyMessage], collections.abc.Awaitable[None]]


class Peers:
    """Own the sockets to and from the other entries; a slow peer loses messages, not time."""

    def __init__(self, entry: ids.EntryId, host: str, port: int) -> None:
        self.entry = entry
        self._pull = pynng.Pull0(recv_buffer_size=_SEND_BUFFER_MESSAGES)
        listener = self._pull.listen(f"tcp://{host}:{port}")
        bound_port = str(listener.local_address).rpartition(":")[2]
        self._address = f"tcp://{host}:{bound_port}"
        self._push: dict[str, pynng.Push0] = {}

    @property
    def address(self) -> str:
        """Give the address that peers dial."""
        return self._address

    def set_addresses(self, addresses: set[str]) -> None:
        """Dial new peers and drop those that left."""
        for address in addresses - self._push.keys():
            socket = pynng.Push0(send_buffer_size=_SEND_BUFFER_MESSAGES)
            try:
                socket.dial(address, block=False)
            except pynng.NNGException as error:
                _log.warning("Could not dial a peer.", peer=address, error=str(error))
                socket.close()
                continue
            self._push[address] = socket
        for address in self._push.keys() - addresses:
            self._push.pop(address).close()

    def broadcast(self, message: messages.AnyMessage) -> None:
        """Send to every peer without waiting."""
        data = codecs.pack(message)
        for address, socket in self._push.items():
            self._send(address, socket, data)

    def send(self, address: str, message: messages.AnyMessage) -> None:
        """Send to one peer without waiting; drops the message where the peer is slow or away."""
        socket = self._push.get(address)
        if socket is not None:
            self._send(address, socket, codecs.pack(message))

    @staticmethod
    def _send(address: str, socket: pynng.Push0, data: bytes) -> None:
        try:
            socket.send(data, block=False)
        except pynng.TryAgain:
            _log.debug("Dropped a message to a slow peer.", peer=address)

    async def run(self, handler: MessageHandler) -> None:
        """Hand every message to the handler until cancelled."""
        while True:
            data = await self._pull.arecv()
            try:
                message: messages.AnyMessage = codecs.CODECS["msgpack"].decode(
                    data, messages.AnyMessage
                )
            except msgspec.DecodeError as error:
                _log.warning("Dropped a broken message.", error=str(error))
                continue
            if message.sender != self.entry:
                await handler(message)

    def close(self) -> None:
        """End all sockets."""
        for socket in self._push.values():
            socket.close()
        self._pull.close()
