#!/bin/sh
# The stand-ins of the cases are Python programs that need only its standard library: checks that they
# compile. The project's own program comes from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
export PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/millstair-review-pycache"
python3 -m py_compile standins/*.py [0-9]*/*.py tried/*.py tried/*/*.py
