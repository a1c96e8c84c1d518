"""Evaluates Jsonnet files to plain values. Imports are resolved in the folder of the importing file."""

import json
from pathlib import Path
from typing import Any

import _jsonnet

from wellhitch.settings.checked import InvalidSettings


def evaluate(path: Path, variables: dict[str, str] | None = None) -> Any:
    """Return the value of a template. `variables` are the values of `std.extVar`. Raises InvalidSettings with file and
    line."""
    if not path.is_file():
        raise InvalidSettings(str(path), ["no such file"])
    try:
        return json.loads(_jsonnet.evaluate_file(str(path), ext_vars=variables or {}))
    except (RuntimeError, UnicodeDecodeError) as error:
        lines = [line.strip() for line in str(error).splitlines() if line.strip()]
        raise InvalidSettings(
            str(path), [lines[0] if lines else "cannot be evaluated", *lines[1:2]]
        ) from None
