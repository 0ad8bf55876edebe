#!/bin/sh
# Builds the stand-ins of review/4 and later cases. They are Python 3.11 scripts that use its standard
# library alone and start target/bin/millstaird, so this only checks that all of it is there.
set -e
cd "$(dirname "$0")/.."
test -x target/bin/millstaird || { echo "build by the command of deploy/system.toml first" >&2; exit 1; }
python3 -B -c 'import ast, glob, sys, tomllib
for path in glob.glob("review/standins-2/*.py") + glob.glob("review/[4-6]/*.py"):
    ast.parse(open(path, encoding="utf-8").read(), path)'
