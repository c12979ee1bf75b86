#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t Packages < scripts/packages.txt
if dpkg -s "${Packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
Sudo=""
[ "$(id -u)" -eq 0 ] || Sudo="sudo"
$Sudo apt-get update -qq
$Sudo apt-get install -y -qq --no-install-recommends "${Packages[@]}" >/dev/null
