#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs of the standard library alone, so that
# there is nothing to compile: this checks that the interpreter is there and reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in glob.glob("*/*.py"):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
echo "stand-ins read"
