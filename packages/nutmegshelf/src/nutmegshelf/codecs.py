"""Encode messages, rows and declarations by name of the codec."""

import collections.abc
import dataclasses
import hashlib
import typing

import msgspec

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Codec:
    """Pair an encoder with its decoder."""

    content_type: str
    encode: collections.abc.Callable[[object], bytes]
    decode: collections.abc.Callable[[bytes, typing.Any], typing.Any]


CODECS: dict[str, Codec] = {
    "msgpack": Codec(
        "application/msgpack",
        msgspec.msgpack.Encoder(order="deterministic").encode,
        lambda data, kind: msgspec.msgpack.decode(data, type=kind),
    ),
    "json": Codec(
        "application/json",
        msgspec.json.Encoder(order="deterministic").encode,
        lambda data, kind: msgspec.json.decode(data, type=kind),
    ),
}


_ROWS = msgspec.msgpack.Encoder()


def pack(value: object) -> bytes:
    """Encode a value for a row or a peer."""
    return CODECS["msgpack"].encode(value)


def pack_unordered(value: object) -> bytes:
    """Encode a value whose bytes are never compared, which may have numbers as keys."""
    return _ROWS.encode(value)


def unpack(data: bytes, kind: type[T]) -> T:
    """Decode a value; raises msgspec.DecodeError where the bytes are not of the kind."""
    return typing.cast(T, CODECS["msgpack"].decode(data, kind))


def digest(data: bytes) -> str:
    """Name bytes by their content."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()
