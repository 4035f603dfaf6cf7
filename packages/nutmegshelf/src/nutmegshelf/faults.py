"""Type the faults that checks of declarations and settings find."""

import collections.abc
import difflib

import msgspec


class Fault(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Say where a fault is, what is wrong and what would do."""

    file: str
    field: str
    wrong: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.file}: {self.field}: {self.wrong}; {self.remedy}"


def suggest(given: str, known: collections.abc.Iterable[str]) -> str:
    """Name the closest known word, or list what is known."""
    words = sorted(known)
    close = difflib.get_close_matches(given, words, n=1)
    if close:
        return f'did you mean "{close[0]}"?'
    return f"use one of {', '.join(words)}" if words else "none is declared"
