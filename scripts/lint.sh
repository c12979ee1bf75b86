#!/usr/bin/env bash
# Formatter and linter over every C++ file of the project; needs a configured build folder.
# Usage: scripts/lint.sh [BUILD_DIR] [FILE.cpp ...]
set -euo pipefail
cd "$(dirname "$0")/.."
Build="${1:-build}"
shift || true
git ls-files -co --exclude-standard '*.cpp' '*.hpp' | xargs clang-format-14 --dry-run --Werror
Files=("$@")
if [ ${#Files[@]} -eq 0 ]; then
  mapfile -t Files < <(git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' 'bench/*.cpp')
fi
printf '%s\n' "${Files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy-14 -p "$Build" --quiet \
  --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "lint: clean (${#Files[@]} files)"
