#!/usr/bin/env bash
# Measures the policies of the settings side by side, on real processes over loopback.
# Usage: scripts/experiment.sh [--quick|--full] [options]; scripts/experiment.sh --help shows them.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/experiment.py "$@"
