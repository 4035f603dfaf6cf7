"""Describe faults in declarations and settings."""

import collections.abc
import difflib

import msgspec


class Fault(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A fault in a file: its field, what is wrong and how to correct it."""

    file: str
    field: str
    wrong: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.file}: {self.field}: {self.wrong}; {self.remedy}"


def suggest(value: str, allowed: collections.abc.Iterable[str]) -> str:
    """Return a hint that names the closest allowed value, or all of them."""
    choices = sorted(allowed)
    matches = difflib.get_close_matches(value, choices, n=1)
    if matches:
        return f'did you mean "{matches[0]}"?'
    return f"use one of {', '.join(choices)}" if choices else "none is declared"
