#!/usr/bin/env bash
# Runs a small deployment under load for minutes while VMs are killed, paused and stopped, links are
# cut, the log fails, backend servers misbehave and operators race; checks the histories.
# Usage: scripts/soak.sh [--minutes M] [--seed S]; scripts/soak.sh --help shows all options.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/soak.py "$@"
