#!/usr/bin/env bash
# Installs what is missing, builds everything and runs every test.
# Usage: scripts/test.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
Build="${1:-build}"
scripts/install-packages.sh
cmake -S . -B "$Build" -G Ninja >/dev/null
cmake --build "$Build"
scripts/run-tests.sh "$Build"
