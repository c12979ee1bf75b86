#!/usr/bin/env bash
# Prepares the stand-ins of the second review's scripts. They are Python without packages; the store
# is the project's own, tests/soak/store.py.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/stand-2/*.py review/{6,7}/*.py tests/soak/{http1,store}.py <<'END'
import os
import sys

for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
END
