#!/usr/bin/env bash
# Runs the tests of the concurrent parts that do not use oneTBB under the thread sanitizer: oneTBB
# comes built without it, so that its own synchronisation would be reported as races. The sanitizer
# knows no stand-alone memory fence, so Asio is built without the ones around its handlers; its locks
# order what they would.
set -euo pipefail
cd "$(dirname "$0")/.."
Tests=(unit-peer-link)
cmake -S . -B build-tsan -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DVANILLAHILL_SANITIZE=thread -DCMAKE_CXX_FLAGS=-DBOOST_ASIO_DISABLE_FENCED_BLOCK >/dev/null
cmake --build build-tsan --parallel "${JOBS:-$(nproc)}" --target "${Tests[@]}"
Pattern="$(IFS='|'; echo "^(${Tests[*]})\$")"
TSAN_OPTIONS="halt_on_error=1" ctest --test-dir build-tsan -R "$Pattern" --output-on-failure \
  --no-tests=error --repeat until-fail:10
