"""Decode tables field by field, so that every fault is found at once."""

import collections.abc
import functools
import typing

import msgspec

from nutmegshelf import faults

T = typing.TypeVar("T", bound=msgspec.Struct)


def decode(
    value: object, kind: type[T], file: str, path: str
) -> tuple[T | None, list[faults.Fault]]:
    """Decode one table into a struct, or give none and every fault in it."""
    if not isinstance(value, dict):
        fault = faults.Fault(
            file=file, field=path, wrong="this is not a table", remedy=f"write it as [{path}]"
        )
        return None, [fault]
    found: list[faults.Fault] = []
    decoded: dict[str, object] = {}
    known = _known(kind)
    for name, given in value.items():
        place = f"{path}.{name}" if path else name
        if name not in known:
            found.append(_unknown(file, place, name, known))
            continue
        decoded[name], wrong = _field(given, known[name].type, file, place)
        found += wrong
    for name, field in known.items():
        if field.required and name not in value:
            found.append(_missing(file, f"{path}.{name}" if path else name, field))
    return (None if found else kind(**decoded)), found


@functools.cache
def _known(kind: type[msgspec.Struct]) -> dict[str, msgspec.structs.FieldInfo]:
    return {field.name: field for field in msgspec.structs.fields(kind)}


def _field(given: object, kind: object, file: str, place: str) -> tuple[object, list[faults.Fault]]:
    inner = _struct_of(kind)
    if inner is not None and isinstance(given, dict):
        return decode(given, inner, file, place)
    items = _struct_of(typing.get_args(kind)[0]) if typing.get_args(kind) else None
    if items is not None and isinstance(given, list):
        pairs = [decode(one, items, file, f"{place}[{at}]") for at, one in enumerate(given)]
        return tuple(pair[0] for pair in pairs), [fault for pair in pairs for fault in pair[1]]
    try:
        return msgspec.convert(given, typing.cast(type, kind)), []
    except msgspec.ValidationError as error:
        return None, [_mismatch(file, place, given, kind, error)]


def _struct_of(kind: object) -> type[msgspec.Struct] | None:
    return kind if isinstance(kind, type) and issubclass(kind, msgspec.Struct) else None


def _unknown(
    file: str, place: str, name: str, known: collections.abc.Iterable[str]
) -> faults.Fault:
    return faults.Fault(
        file=file,
        field=place,
        wrong=f'there is no field "{name}"',
        remedy=faults.suggest(name, known),
    )


def _missing(file: str, place: str, field: msgspec.structs.FieldInfo) -> faults.Fault:
    return faults.Fault(
        file=file, field=place, wrong="the field is missing", remedy=f"set {describe(field.type)}"
    )


def _mismatch(
    file: str, place: str, given: object, kind: object, error: msgspec.ValidationError
) -> faults.Fault:
    inside = str(error).partition(" - at `$")[2].rstrip("`")
    remedy = f"set {describe(kind)}"
    if isinstance(given, str) and (choices := _choices(kind)):
        remedy = faults.suggest(given, choices)
    return faults.Fault(
        file=file, field=place + inside, wrong=f"{given!r} can't be used", remedy=remedy
    )


def _choices(kind: object) -> list[str]:
    match msgspec.inspect.type_info(kind):
        case msgspec.inspect.EnumType(cls=found):
            return [str(one.value) for one in found]
        case _:
            return []


def describe(kind: object) -> str:
    """Say in words which values a type takes."""
    return _words(msgspec.inspect.type_info(kind))


def _words(info: msgspec.inspect.Type) -> str:  # noqa: PLR0911
    match info:
        case msgspec.inspect.BoolType():
            return "true or false"
        case msgspec.inspect.IntType():
            return "a whole number" + _limits(info)
        case msgspec.inspect.FloatType():
            return "a number" + _limits(info)
        case msgspec.inspect.StrType(pattern=pattern):
            return f"a string that matches {pattern}" if pattern else "a string"
        case msgspec.inspect.EnumType(cls=found):
            return "one of " + ", ".join(str(one.value) for one in found)
        case msgspec.inspect.VarTupleType(item_type=item):
            return f"a list, each {_words(item)}"
        case msgspec.inspect.UnionType(types=types):
            given = [_words(one) for one in types if not isinstance(one, msgspec.inspect.NoneType)]
            return " or ".join(given)
        case msgspec.inspect.StructType(fields=fields):
            return "a table of " + ", ".join(field.name for field in fields)
        case _:
            return "another value"


def _limits(info: msgspec.inspect.IntType | msgspec.inspect.FloatType) -> str:
    words = (
        (info.ge, "of at least"),
        (info.gt, "over"),
        (info.le, "of at most"),
        (info.lt, "under"),
    )
    found = [f" {word} {limit}" for limit, word in words if limit is not None]
    return " and".join(found)
