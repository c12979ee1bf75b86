#!/usr/bin/env bash
# Nothing has to be compiled: the stand-ins are Python files without packages. Checks that they can be
# read by the Python that the scripts use.
set -euo pipefail
cd "$(dirname "$0")"
python3 - stand/*.py */run.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"review: {len(sys.argv) - 1} files can be run")
CHECK
