"""Compute, apply and describe the differences between declaration sets."""

import msgspec

from nutmegshelf import codecs, declarations


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Set one declaration, or remove it where the value is none."""

    kind: str
    name: str
    value: bytes | None


class FieldChange(msgspec.Struct, frozen=True, kw_only=True):
    """Describe to a person how one field differs."""

    field: str
    before: object = None
    after: object = None


def diff(old: declarations.DeclarationSet, new: declarations.DeclarationSet) -> tuple[Change, ...]:
    """Give the changes that turn one set into another."""
    found: list[Change] = []
    for kind in declarations.KINDS:
        before, after = getattr(old, kind), getattr(new, kind)
        found += [
            Change(kind=kind, name=name, value=codecs.pack(value))
            for name, value in after.items()
            if before.get(name) != value
        ]
        found += [Change(kind=kind, name=name, value=None) for name in before if name not in after]
    return tuple(found)


def apply(
    old: declarations.DeclarationSet, changed: tuple[Change, ...]
) -> declarations.DeclarationSet:
    """Give the set that changes make of another; raises msgspec.DecodeError."""
    kinds = {kind: dict(getattr(old, kind)) for kind in {change.kind for change in changed}}
    for change in changed:
        if change.value is None:
            kinds[change.kind].pop(change.name, None)
        else:
            decoded = codecs.unpack(change.value, declarations.KINDS[change.kind])
            kinds[change.kind][change.name] = decoded
    return msgspec.structs.replace(old, **kinds)


def describe(
    old: declarations.DeclarationSet, new: declarations.DeclarationSet
) -> list[FieldChange]:
    """List every field that differs, with both values."""
    found: list[FieldChange] = []
    for change in diff(old, new):
        before = getattr(old, change.kind).get(change.name)
        after = getattr(new, change.kind).get(change.name)
        place = f"{change.kind}.{change.name}"
        if before is None or after is None:
            found.append(FieldChange(field=place, before=_plain(before), after=_plain(after)))
            continue
        for field in msgspec.structs.fields(before):
            values = getattr(before, field.name), getattr(after, field.name)
            if values[0] != values[1]:
                found.append(
                    FieldChange(
                        field=f"{place}.{field.name}",
                        before=_plain(values[0]),
                        after=_plain(values[1]),
                    )
                )
    return found


def _plain(value: object) -> object:
    return None if value is None else msgspec.to_builtins(value)
