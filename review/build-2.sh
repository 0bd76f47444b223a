#!/bin/sh
# Builds what the scripts of the second review start beside the coordinators: the stand-ins in review/second,
# which are plain Python on the standard library. The build of the deploy file has to come first.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "build first: the command of the deploy file"; exit 2; }
PYTHONPATH=review/second .venv/bin/python -c "import backend, drains, fleet, links, relay, runner, settings, traffic, world" || exit 2
echo "the stand-ins can be imported"
