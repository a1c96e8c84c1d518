"""What hooks remember, as bytes for a file, and back. Pure: any bytes give state or words on what was dropped.

One line of JSON, a newline, and the line's blake3 hash in hex. A value: null, true, false, a number, a text, a list of
values, {"d": us} for a duration, {"r": {name: value}} for a record. Each key carries how long it is still kept, so that
the clocks of two runs need not agree.
"""

from collections.abc import Mapping
from typing import Any

import msgspec
from blake3 import blake3

from wellhitch.hooks.host import MAX_STATE_KEYS, HookState
from wellhitch.hooks.values import (
    LARGEST,
    LARGEST_KEPT,
    LONGEST_KEY,
    Budget,
    Duration,
    HookError,
    ListValue,
    Record,
    Value,
    cells,
    make_list,
    make_record,
)

FORMAT_VERSION = 1
MAX_STATE_BYTES = (
    8 * 1024 * 1024
)  # of the whole file: a hundred files that remember all they may come to some six


def plain(value: Value) -> Any:
    """A value as JSON has it."""
    if isinstance(value, Duration):
        return {"d": int(value)}
    if isinstance(value, ListValue):
        return [plain(one) for one in value.items]
    if isinstance(value, Record):
        return {"r": {name: plain(one) for name, one in value.fields.items()}}
    return value


def value_of(given: Any, budget: Budget) -> Value:
    """A value from JSON. Raises HookError or ValueError for what is none."""
    if given is None or isinstance(given, (bool, str)):
        return given
    if isinstance(given, (int, float)):
        if not -LARGEST <= given <= LARGEST:
            raise ValueError("a number out of bounds")
        return given
    if isinstance(given, list):
        return make_list(tuple(value_of(one, budget) for one in given), budget)
    if isinstance(given, dict) and len(given) == 1:
        if type(us := given.get("d")) is int and -LARGEST <= us <= LARGEST:
            return Duration(us)
        if isinstance(fields := given.get("r"), dict):
            return make_record({name: value_of(one, budget) for name, one in fields.items()}, budget)
    raise ValueError("no value")


def encode_state(kept: Mapping[str, HookState], now: int) -> bytes:
    """All that is remembered and has not ended."""
    files = {
        name: {key: [plain(value), until - now] for key, (value, until) in one.values.items() if until > now}
        for name, one in kept.items()
    }
    line = msgspec.json.encode({"form": FORMAT_VERSION, "files": files})
    return line + b"\n" + blake3(line).hexdigest().encode() + b"\n"


def decode_state(data: bytes, now: int) -> tuple[dict[str, HookState], list[str]]:
    """State and what was dropped, in words. Never raises: what is damaged is dropped as a whole, a key that is too
    large or no value by itself."""
    if not data:
        return {}, []
    if len(data) > MAX_STATE_BYTES:
        return {}, [f"{len(data)} bytes, over {MAX_STATE_BYTES}: all dropped"]
    line, _, rest = data.partition(b"\n")
    if blake3(line).hexdigest().encode() != rest.strip():
        return {}, ["damaged, its hash does not fit: all dropped"]
    try:
        whole = msgspec.json.decode(line, type=dict[str, Any])
        files = msgspec.convert(whole.get("files"), dict[str, dict[str, tuple[Any, int]]])
    except (msgspec.MsgspecError, RecursionError) as fault:
        return {}, [f"not as it should be ({fault}): all dropped"]
    if whole.get("form") != FORMAT_VERSION:
        return {}, [f"form {whole.get('form')!r}, not {FORMAT_VERSION}: all dropped"]
    out: dict[str, HookState] = {}
    words: list[str] = []
    for name, keys in files.items():
        one = out[name] = HookState()
        for key, (given, left) in list(keys.items())[:MAX_STATE_KEYS]:
            budget = Budget()
            try:
                value = value_of(given, budget)
                if len(key) > LONGEST_KEY or cells(value, budget) > LARGEST_KEPT or left > LARGEST:
                    raise ValueError("too large")
            except (HookError, ValueError, RecursionError) as fault:
                words.append(f"{name}, key {key[:40]!r}: {fault}: dropped")
                continue
            if left > 0:
                one.values[key] = (value, now + left)
        if len(keys) > MAX_STATE_KEYS:
            words.append(f"{name}: {len(keys)} keys, over {MAX_STATE_KEYS}: the rest dropped")
    return out, words
