"""Decode tables field by field, which reports all faults and not only the first."""

import collections.abc
import functools
import typing

import msgspec

from nutmegshelf import faults

T = typing.TypeVar("T", bound=msgspec.Struct)


def decode(
    value: object, kind: type[T], file: str, path: str
) -> tuple[T | None, list[faults.Fault]]:
    """Decode a table into a struct; returns None and all faults where it is invalid."""
    if not isinstance(value, dict):
        fault = faults.Fault(
            file=file, field=path, wrong="this is not a table", remedy=f"write it as [{path}]"
        )
        return None, [fault]
    errors: list[faults.Fault] = []
    decoded: dict[str, object] = {}
    fields = _get_fields(kind)
    for name, field_value in value.items():
        field_path = f"{path}.{name}" if path else name
        if name not in fields:
            errors.append(_make_unknown_field(file, field_path, name, fields))
            continue
        decoded[name], field_errors = _decode_field(
            field_value, fields[name].type, file, field_path
        )
        errors += field_errors
    for name, field in fields.items():
        if field.required and name not in value:
            errors.append(_make_missing_field(file, f"{path}.{name}" if path else name, field))
    return (None if errors else kind(**decoded)), errors


@functools.cache
def _get_fields(kind: type[msgspec.Struct]) -> dict[str, msgspec.structs.FieldInfo]:
    return {field.name: field for field in msgspec.structs.fields(kind)}


def _decode_field(
    value: object, kind: object, file: str, path: str
) -> tuple[object, list[faults.Fault]]:
    struct = _as_struct(kind)
    if struct is not None and isinstance(value, dict):
        return decode(value, struct, file, path)
    item_struct = _as_struct(typing.get_args(kind)[0]) if typing.get_args(kind) else None
    if item_struct is not None and isinstance(value, list):
        results = [
            decode(item, item_struct, file, f"{path}[{index}]") for index, item in enumerate(value)
        ]
        return tuple(result[0] for result in results), [
            fault for result in results for fault in result[1]
        ]
    try:
        return msgspec.convert(value, typing.cast(type, kind)), []
    except msgspec.ValidationError as error:
        return None, [_make_invalid_value(file, path, value, kind, error)]


def _as_struct(kind: object) -> type[msgspec.Struct] | None:
    return kind if isinstance(kind, type) and issubclass(kind, msgspec.Struct) else None


def _make_unknown_field(
    file: str, path: str, name: str, allowed: collections.abc.Iterable[str]
) -> faults.Fault:
    return faults.Fault(
        file=file,
        field=path,
        wrong=f'there is no field "{name}"',
        remedy=faults.suggest(name, allowed),
    )


def _make_missing_field(file: str, path: str, field: msgspec.structs.FieldInfo) -> faults.Fault:
    return faults.Fault(
        file=file, field=path, wrong="the field is missing", remedy=f"set {describe(field.type)}"
    )


def _make_invalid_value(
    file: str, path: str, value: object, kind: object, error: msgspec.ValidationError
) -> faults.Fault:
    inner_path = str(error).partition(" - at `$")[2].rstrip("`")
    remedy = f"set {describe(kind)}"
    if isinstance(value, str) and (choices := _get_choices(kind)):
        remedy = faults.suggest(value, choices)
    return faults.Fault(
        file=file, field=path + inner_path, wrong=f"{value!r} can't be used", remedy=remedy
    )


def _get_choices(kind: object) -> list[str]:
    match msgspec.inspect.type_info(kind):
        case msgspec.inspect.EnumType(cls=enum_class):
            return [str(member.value) for member in enum_class]
        case _:
            return []


def describe(kind: object) -> str:
    """Return a description of the values that a type allows."""
    return _describe_info(msgspec.inspect.type_info(kind))


def _describe_info(info: msgspec.inspect.Type) -> str:  # noqa: PLR0911
    match info:
        case msgspec.inspect.BoolType():
            return "true or false"
        case msgspec.inspect.IntType():
            return "a whole number" + _describe_limits(info)
        case msgspec.inspect.FloatType():
            return "a number" + _describe_limits(info)
        case msgspec.inspect.StrType(pattern=pattern):
            return f"a string that matches {pattern}" if pattern else "a string"
        case msgspec.inspect.EnumType(cls=enum_class):
            return "one of " + ", ".join(str(choice.value) for choice in enum_class)
        case msgspec.inspect.VarTupleType(item_type=item):
            return f"a list, each {_describe_info(item)}"
        case msgspec.inspect.UnionType(types=types):
            choices = [
                _describe_info(choice)
                for choice in types
                if not isinstance(choice, msgspec.inspect.NoneType)
            ]
            return " or ".join(choices)
        case msgspec.inspect.StructType(fields=fields):
            return "a table of " + ", ".join(field.name for field in fields)
        case _:
            return "another value"


def _describe_limits(info: msgspec.inspect.IntType | msgspec.inspect.FloatType) -> str:
    limits = (
        (info.ge, "of at least"),
        (info.gt, "over"),
        (info.le, "of at most"),
        (info.lt, "under"),
    )
    descriptions = [f" {word} {limit}" for limit, word in limits if limit is not None]
    return " and".join(descriptions)
