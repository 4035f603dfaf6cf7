"""Encode and decode messages, rows and declarations, with codecs that are listed by name."""

import collections.abc
import dataclasses
import hashlib
import typing

import msgspec

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Codec:
    """An encoder, its decoder and their media type."""

    content_type: str
    encode: collections.abc.Callable[[object], bytes]
    decode: collections.abc.Callable[[bytes, typing.Any], typing.Any]


def _decode(
    decode: collections.abc.Callable[..., typing.Any], data: bytes, kind: typing.Any
) -> typing.Any:
    try:
        return decode(data, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError("it is nested too deeply") from error


CODECS: dict[str, Codec] = {
    "msgpack": Codec(
        "application/msgpack",
        msgspec.msgpack.Encoder(order="deterministic").encode,
        lambda data, kind: _decode(msgspec.msgpack.decode, data, kind),
    ),
    "json": Codec(
        "application/json",
        msgspec.json.Encoder(order="deterministic").encode,
        lambda data, kind: _decode(msgspec.json.decode, data, kind),
    ),
}
_UNORDERED = msgspec.msgpack.Encoder()


def pack(value: object) -> bytes:
    """Encode a value as MessagePack; equal values give equal bytes."""
    return CODECS["msgpack"].encode(value)


def pack_unordered(value: object) -> bytes:
    """Encode a value whose bytes are never compared; the keys of maps may be numbers."""
    return _UNORDERED.encode(value)


def unpack(data: bytes, kind: type[T]) -> T:
    """Decode MessagePack; raises msgspec.DecodeError where the data does not match the type."""
    return typing.cast(T, CODECS["msgpack"].decode(data, kind))


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON; raises msgspec.DecodeError where the data does not match the type."""
    return typing.cast(T, CODECS["json"].decode(data, kind))


def digest(data: bytes) -> str:
    """Return a hexadecimal digest that identifies the data."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()
