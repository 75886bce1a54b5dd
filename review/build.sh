#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library and need no build.
# Checks that this Python can read them; writes nothing.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PROGRAM'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sorted(pathlib.Path().rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PROGRAM
