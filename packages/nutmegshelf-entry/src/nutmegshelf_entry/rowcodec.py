"""Decode stored rows, so that a malformed one does not affect the others."""

import collections.abc
import typing

import msgspec
from nutmegshelf import codecs, platform

from nutmegshelf_entry import logs

T = typing.TypeVar("T")

_log = logs.get_logger("rows")


def decode(row: platform.Row, kind: type[T]) -> T | None:
    """Decode a row, or log an error and return None if the row is malformed."""
    return decode_with(row, lambda value: codecs.unpack(value, kind))


def decode_with(row: platform.Row, decode_value: collections.abc.Callable[[bytes], T]) -> T | None:
    """Decode a row by a function, or log an error and return None if the row is malformed."""
    try:
        return decode_value(row.value)
    except msgspec.DecodeError as error:
        _log.error("A stored row can't be decoded.", key=row.key, why=str(error))
        return None
