"""Converts plain values to typed records, and lists every error with its field, its value and what is allowed.

Pure functions, without I/O.
"""

import types
import typing
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


class InvalidSettings(Exception):
    """Settings that are not valid. `errors` has one line for each error."""

    def __init__(self, where: str, errors: list[str]) -> None:
        super().__init__("\n".join(f"{where}: {error}" for error in errors))
        self.errors = errors


def short_repr(value: Any) -> str:
    """The repr of a value for a message, at most 60 characters of it."""
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def find_errors(value: Any, expected: Any, path: str) -> list[str]:
    """Every error of a value that should be of the type `expected`. Descends into records and lists; msgspec checks
    all other values."""
    origin, args = typing.get_origin(expected), typing.get_args(expected)
    if origin in (typing.Union, types.UnionType) and type(None) in args and len(args) == 2:
        inner = args[0] if args[1] is type(None) else args[1]
        return [] if value is None else find_errors(value, inner, path)
    if isinstance(expected, type) and issubclass(expected, msgspec.Struct):
        if not isinstance(value, dict):
            return [f"{path or 'the file'} = {short_repr(value)}: not an object"]
        return _record_errors(value, expected, path)
    if origin is list and args:
        if not isinstance(value, list):
            return [f"{path} = {short_repr(value)}: not a list"]
        return [
            error
            for index, item in enumerate(value)
            for error in find_errors(item, args[0], f"{path}[{index}]")
        ]
    try:
        msgspec.convert(value, expected, strict=True)
    except msgspec.ValidationError as error:
        return [f"{path} = {short_repr(value)}: {error}"]
    return []


def _record_errors(value: dict[str, Any], expected: type[msgspec.Struct], path: str) -> list[str]:
    hints = typing.get_type_hints(expected, include_extras=True)
    fields = {field.name: field for field in msgspec.structs.fields(expected)}
    prefix = f"{path}." if path else ""
    errors = [
        f"{prefix}{name} = {short_repr(item)}: no such field; known are {', '.join(fields)}"
        for name, item in value.items()
        if name not in fields
    ]
    for name, field in fields.items():
        if name in value:
            errors += find_errors(value[name], hints[name], prefix + name)
        elif field.required:
            errors.append(f"{prefix}{name}: missing")
    return errors


def read(value: Any, expected: type[T], where: str) -> T:
    """Convert a value to a typed record. Raises InvalidSettings with every error."""
    errors = find_errors(value, expected, "")
    if errors:
        raise InvalidSettings(where, errors)
    return msgspec.convert(value, expected)


def read_lenient(value: Any, expected: type[T], where: str) -> T:
    """Convert what another program wrote to a typed record: unknown fields are skipped, and numbers may be strings.
    Raises InvalidSettings with the first error, its field and its value."""
    try:
        return msgspec.convert(value, expected, strict=False)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$")
        path = path.rstrip("`").lstrip(".")
        raise InvalidSettings(
            where, [f"{path or 'the file'} = {short_repr(_value_at(value, path))}: {text}"]
        ) from None


def _value_at(value: Any, path: str) -> Any:
    """The value at a path such as `a.b[3].c`, or at the longest part of it that exists."""
    for step in path.replace("[", ".").replace("]", "").split("."):
        if isinstance(value, dict) and step in value:
            value = value[step]
        elif isinstance(value, list) and step.isdigit() and int(step) < len(value):
            value = value[int(step)]
    return value
