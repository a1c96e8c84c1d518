"""Plain values -> typed records, listing every fault with its field, its value and what is allowed. Pure."""

import types
import typing
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


class InvalidSettings(Exception):
    """What is wrong with settings, one line each."""

    def __init__(self, where: str, lines: list[str]) -> None:
        super().__init__("\n".join(f"{where}: {line}" for line in lines))
        self.lines = lines


def shown(value: Any) -> str:
    """A value for a message: short, whatever it is."""
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def find_errors(value: Any, wanted: Any, path: str) -> list[str]:
    """Every fault of a value beside a type: records and lists are gone through, the rest is msgspec's."""
    origin, args = typing.get_origin(wanted), typing.get_args(wanted)
    if origin in (typing.Union, types.UnionType) and type(None) in args and len(args) == 2:
        inner = args[0] if args[1] is type(None) else args[1]
        return [] if value is None else find_errors(value, inner, path)
    if isinstance(wanted, type) and issubclass(wanted, msgspec.Struct):
        if not isinstance(value, dict):
            return [f"{path or 'the file'} = {shown(value)}: not an object"]
        return _record_errors(value, wanted, path)
    if origin is list and args:
        if not isinstance(value, list):
            return [f"{path} = {shown(value)}: not a list"]
        return [line for at, one in enumerate(value) for line in find_errors(one, args[0], f"{path}[{at}]")]
    try:
        msgspec.convert(value, wanted, strict=True)
    except msgspec.ValidationError as fault:
        return [f"{path} = {shown(value)}: {fault}"]
    return []


def _record_errors(value: dict[str, Any], wanted: type[msgspec.Struct], path: str) -> list[str]:
    hints = typing.get_type_hints(wanted, include_extras=True)
    known = {one.name: one for one in msgspec.structs.fields(wanted)}
    prefix = f"{path}." if path else ""
    lines = [
        f"{prefix}{name} = {shown(one)}: no such field; known are {', '.join(known)}"
        for name, one in value.items()
        if name not in known
    ]
    for name, one in known.items():
        if name in value:
            lines += find_errors(value[name], hints[name], prefix + name)
        elif one.required:
            lines.append(f"{prefix}{name}: missing")
    return lines


def read(value: Any, wanted: type[T], where: str) -> T:
    """The typed record. Raises InvalidSettings with all that is wrong."""
    lines = find_errors(value, wanted, "")
    if lines:
        raise InvalidSettings(where, lines)
    return msgspec.convert(value, wanted)


def read_lenient(value: Any, wanted: type[T], where: str) -> T:
    """The typed record out of what another program wrote: fields it has more are skipped, figures may be text.
    Raises InvalidSettings with the first thing that is wrong, its field and its value."""
    try:
        return msgspec.convert(value, wanted, strict=False)
    except msgspec.ValidationError as fault:
        text, _, path = str(fault).partition(" - at `$")
        path = path.rstrip("`").lstrip(".")
        raise InvalidSettings(where, [f"{path or 'the file'} = {shown(_at(value, path))}: {text}"]) from None


def _at(value: Any, path: str) -> Any:
    """The value at a path such as `a.b[3].c`, as far as it leads."""
    for step in path.replace("[", ".").replace("]", "").split("."):
        if isinstance(value, dict) and step in value:
            value = value[step]
        elif isinstance(value, list) and step.isdigit() and int(step) < len(value):
            value = value[int(step)]
    return value
