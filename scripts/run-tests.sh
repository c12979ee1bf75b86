#!/usr/bin/env bash
# Runs the tests of a build folder. A test listed in KNOWN-RED.txt is run apart and printed;
# only those may fail.
# Usage: scripts/run-tests.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
Build="$1"
Known=()
if [ -f KNOWN-RED.txt ]; then
  echo "known red:"
  sed 's/^/  /' KNOWN-RED.txt
  mapfile -t Known < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
Exclude=()
if [ ${#Known[@]} -gt 0 ]; then
  Pattern="$(IFS='|'; echo "^(${Known[*]})\$")"
  Exclude=(-E "$Pattern")
  ctest --test-dir "$Build" -R "$Pattern" --output-on-failure || true
fi
ctest --test-dir "$Build" -j "$(( $(nproc) / 2 ))" --output-on-failure --no-tests=error "${Exclude[@]}"
