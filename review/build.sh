#!/bin/sh
# Runs after the build of the deploy file, without a network.  The stand-ins of the cases are Python files
# and the project's own `stand-in`; this checks that all of them can be loaded.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python - <<'PY' || exit 2
import ast
import pathlib

import indigohitch.sidecar.service
import indigohitch.standins.server

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
print("review: stand-ins ready")
PY
