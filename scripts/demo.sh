#!/usr/bin/env bash
# Builds, starts a small deployment on loopback, sends a mixed load, kills a VM and a backend server
# during the load, prints a table and checks the history. Exit 0 only if every answer was complete
# and the caller's own, and nothing that is not idempotent ran twice.
# Usage: scripts/demo.sh [--quick] [--build DIR] [--folder DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
Build="build"
Arguments=()
while [ $# -gt 0 ]; do
  case "$1" in
    --build) Build="$2"; shift 2 ;;
    *) Arguments+=("$1"); shift ;;
  esac
done
scripts/install-packages.sh
cmake -S . -B "$Build" -G Ninja >/dev/null
mapfile -t Programs < <(basename -s .cpp src/programs/*.cpp | sed 's/^/vanillahill-/')
cmake --build "$Build" --target "${Programs[@]}" >&2
exec python3 scripts/demo.py --build "$Build" "${Arguments[@]}"
