"""Jsonnet files -> plain values. Imports are taken from the file's own folder."""

import json
from pathlib import Path
from typing import Any

import _jsonnet

from wellhitch.settings.checked import InvalidSettings


def evaluate(path: Path, outer: dict[str, str] | None = None) -> Any:
    """The value of a template. `outer` fills std.extVar. Raises InvalidSettings with file and line."""
    if not path.is_file():
        raise InvalidSettings(str(path), ["no such file"])
    try:
        return json.loads(_jsonnet.evaluate_file(str(path), ext_vars=outer or {}))
    except (RuntimeError, UnicodeDecodeError) as fault:
        lines = [line.strip() for line in str(fault).splitlines() if line.strip()]
        raise InvalidSettings(
            str(path), [lines[0] if lines else "cannot be evaluated", *lines[1:2]]
        ) from None
