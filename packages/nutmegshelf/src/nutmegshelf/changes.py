"""Compute, apply and describe the differences between declaration sets."""

import msgspec

from nutmegshelf import codecs, declarations


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One declaration that is set, or removed where the value is None."""

    kind: str
    name: str
    value: bytes | None


class FieldChange(msgspec.Struct, frozen=True, kw_only=True):
    """How one field differs, in a form for operators."""

    field: str
    before: object = None
    after: object = None


def diff(old: declarations.DeclarationSet, new: declarations.DeclarationSet) -> tuple[Change, ...]:
    """Return the changes that turn the old set into the new one."""
    differences: list[Change] = []
    for kind in declarations.KINDS:
        before, after = getattr(old, kind), getattr(new, kind)
        differences += [
            Change(kind=kind, name=name, value=codecs.pack(value))
            for name, value in after.items()
            if before.get(name) != value
        ]
        differences += [
            Change(kind=kind, name=name, value=None) for name in before if name not in after
        ]
    return tuple(differences)


def apply(
    old: declarations.DeclarationSet, applied: tuple[Change, ...]
) -> declarations.DeclarationSet:
    """Return the set that results from the changes; raises msgspec.DecodeError."""
    by_kind = {kind: dict(getattr(old, kind)) for kind in {change.kind for change in applied}}
    for change in applied:
        if change.value is None:
            by_kind[change.kind].pop(change.name, None)
        else:
            decoded = codecs.unpack(change.value, declarations.KINDS[change.kind])
            by_kind[change.kind][change.name] = decoded
    return msgspec.structs.replace(old, **by_kind)


def describe(
    old: declarations.DeclarationSet, new: declarations.DeclarationSet
) -> list[FieldChange]:
    """Return every field that differs, with both values."""
    differences: list[FieldChange] = []
    for change in diff(old, new):
        before = getattr(old, change.kind).get(change.name)
        after = getattr(new, change.kind).get(change.name)
        path = f"{change.kind}.{change.name}"
        if before is None or after is None:
            differences.append(
                FieldChange(field=path, before=_to_builtins(before), after=_to_builtins(after))
            )
            continue
        for field in msgspec.structs.fields(before):
            values = getattr(before, field.name), getattr(after, field.name)
            if values[0] != values[1]:
                differences.append(
                    FieldChange(
                        field=f"{path}.{field.name}",
                        before=_to_builtins(values[0]),
                        after=_to_builtins(values[1]),
                    )
                )
    return differences


def _to_builtins(value: object) -> object:
    return None if value is None else msgspec.to_builtins(value)
