#!/usr/bin/env bash
# The stand-ins are Python files that need only the standard library of the interpreter that deploy/build.sh installs.
set -euo pipefail
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q .
