"""Decode stored rows, so that a malformed one does not affect the others."""

import typing

import msgspec
from nutmegshelf import codecs, platform

from nutmegshelf_entry import logs

T = typing.TypeVar("T")

_log = logs.get_logger("rows")


def decode(row: platform.Row, kind: type[T]) -> T | None:
    """Decode a row, or log an error and return None if the row is malformed."""
    try:
        return codecs.unpack(row.value, kind)
    except msgspec.DecodeError as error:
        _log.error("A stored row can't be decoded.", key=row.key, why=str(error))
        return None
