#!/usr/bin/env bash
# Installs what `run` and `sim` need inside the repository's folder: two packages within version bounds, and everything
# compiled, since the file system is read-only when they run.
set -euo pipefail
cd "$(dirname "$0")/.."
WANTED=('click>=8.1,<9' 'msgspec>=0.18.6,<1')
MARK=".venv/made-for-run"
if [ ! -e "$MARK" ] || [ "$(cat "$MARK")" != "${WANTED[*]}" ]; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip install --quiet --disable-pip-version-check "${WANTED[@]}"
    echo "${WANTED[*]}" > "$MARK"
fi
.venv/bin/python -m compileall -q wellhitch
