#!/usr/bin/env bash
# Builds what the cases 6 and later start besides the call server. Their stand-ins need only the standard library and run
# with the interpreter that the deploy file's build leaves in .venv, so there is nothing to install: this checks that the
# interpreter is there and that it can compile them.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x .venv/bin/python ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
.venv/bin/python -B - <<'PY'
import pathlib
import tomllib

tomllib.loads(pathlib.Path("deploy/balancer.toml").read_text())["run"]
for path in [pathlib.Path("review/rig_2.py"), *pathlib.Path("review").glob("[6-9]/case.py"), *pathlib.Path("review").glob("10/case.py")]:
    compile(path.read_text(), str(path), "exec")
PY
