"""Encodes the state that hooks remember for a file, and decodes it. Decoding accepts any bytes: it returns the state
that is valid, and messages on what was dropped.

One line of JSON, a newline, and the line's blake3 hash in hex. A value: null, true, false, a number, a text, a list of
values, {"d": us} for a duration, {"r": {name: value}} for a record. Each key is stored with its remaining lifetime
rather than its expiry time, so that the clocks of two processes need not agree.
"""

from collections.abc import Mapping
from typing import Any

import msgspec
from blake3 import blake3

from wellhitch.hooks.host import MAX_STATE_KEYS, HookState
from wellhitch.hooks.values import (
    MAX_KEY_CHARS,
    MAX_NUMBER,
    MAX_STORED_CELLS,
    Budget,
    Duration,
    HookError,
    ListValue,
    Record,
    Value,
    count_cells,
    make_list,
    make_record,
)

FORMAT_VERSION = 1
# Of the whole file: the state of a hundred hook files that remember all they may takes about 6 MiB.
MAX_STATE_BYTES = 8 * 1024 * 1024


def to_json(value: Value) -> Any:
    """A value in the form that is encoded as JSON."""
    if isinstance(value, Duration):
        return {"d": int(value)}
    if isinstance(value, ListValue):
        return [to_json(item) for item in value.items]
    if isinstance(value, Record):
        return {"r": {name: to_json(item) for name, item in value.fields.items()}}
    return value


def from_json(decoded: Any, budget: Budget) -> Value:
    """A value from decoded JSON. Raises HookError or ValueError if it is not a valid value."""
    if decoded is None or isinstance(decoded, (bool, str)):
        return decoded
    if isinstance(decoded, (int, float)):
        if not -MAX_NUMBER <= decoded <= MAX_NUMBER:
            raise ValueError("number out of range")
        return decoded
    if isinstance(decoded, list):
        return make_list(tuple(from_json(item, budget) for item in decoded), budget)
    if isinstance(decoded, dict) and len(decoded) == 1:
        if type(us := decoded.get("d")) is int and -MAX_NUMBER <= us <= MAX_NUMBER:
            return Duration(us)
        if isinstance(fields := decoded.get("r"), dict):
            return make_record({name: from_json(item, budget) for name, item in fields.items()}, budget)
    raise ValueError("not a value")


def encode_state(states: Mapping[str, HookState], now: int) -> bytes:
    """Encode all state that has not expired."""
    files = {
        name: {
            key: [to_json(value), until - now] for key, (value, until) in state.values.items() if until > now
        }
        for name, state in states.items()
    }
    line = msgspec.json.encode({"form": FORMAT_VERSION, "files": files})
    return line + b"\n" + blake3(line).hexdigest().encode() + b"\n"


def decode_state(data: bytes, now: int) -> tuple[dict[str, HookState], list[str]]:
    """Decode state. Returns it with a message for each part that was dropped. Never raises: a damaged file is dropped
    as a whole, a key that is too large or has an invalid value by itself."""
    if not data:
        return {}, []
    if len(data) > MAX_STATE_BYTES:
        return {}, [f"{len(data)} bytes, more than {MAX_STATE_BYTES}: all dropped"]
    line, _, rest = data.partition(b"\n")
    if blake3(line).hexdigest().encode() != rest.strip():
        return {}, ["damaged, the hash does not match: all dropped"]
    try:
        content = msgspec.json.decode(line, type=dict[str, Any])
        files = msgspec.convert(content.get("files"), dict[str, dict[str, tuple[Any, int]]])
    except (msgspec.MsgspecError, RecursionError) as error:
        return {}, [f"unexpected structure ({error}): all dropped"]
    if content.get("form") != FORMAT_VERSION:
        return {}, [f"form {content.get('form')!r} is not supported, only {FORMAT_VERSION}: all dropped"]
    states: dict[str, HookState] = {}
    messages: list[str] = []
    for name, keys in files.items():
        state = states[name] = HookState()
        for key, (decoded, remaining) in list(keys.items())[:MAX_STATE_KEYS]:
            budget = Budget()
            try:
                value = from_json(decoded, budget)
                if (
                    len(key) > MAX_KEY_CHARS
                    or count_cells(value, budget) > MAX_STORED_CELLS
                    or remaining > MAX_NUMBER
                ):
                    raise ValueError("too large")
            except (HookError, ValueError, RecursionError) as error:
                messages.append(f"{name}, key {key[:40]!r}: {error}: dropped")
                continue
            if remaining > 0:
                state.values[key] = (value, now + remaining)
        if len(keys) > MAX_STATE_KEYS:
            messages.append(f"{name}: {len(keys)} keys, more than {MAX_STATE_KEYS}: the rest dropped")
    return states, messages
