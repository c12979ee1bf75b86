#!/usr/bin/env bash
# Measures the latency and processor time that one entry process adds, over loopback.
# Usage: scripts/bench-added-latency.sh [BUILD_DIR] [OPTION of bench-added-latency ...]
set -euo pipefail
cd "$(dirname "$0")/.."
Build="${1:-build}"
shift || true
Folder="$(mktemp -d)"
Pids=()
stopProcesses() {
  for Pid in "${Pids[@]}"; do
    kill "$Pid" 2>/dev/null || true
  done
  for Pid in "${Pids[@]}"; do
    wait "$Pid" 2>/dev/null || true
  done
  rm -rf "$Folder"
}
trap stopProcesses EXIT

# Waits until a command prints something, then prints that.
waitForOutput() {
  for _ in $(seq 100); do
    Found="$("$@" 2>/dev/null || true)"
    if [ -n "$Found" ]; then
      echo "$Found"
      return 0
    fi
    sleep 0.1
  done
  echo "no output within 10 s from: $*" >&2
  return 1
}

findFreePort() {
  python3 -c 'import socket; s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])'
}

"$Build/vanillahill-platform" > "$Folder/platform.log" 2>&1 &
Pids+=($!)
"$Build/vanillahill-backend" --service bench:10:6 --tail fixed --mean-ms 5 \
  --addresses "$Folder/backends.json" > "$Folder/backend.log" 2>&1 &
Pids+=($!)
Platform="$(waitForOutput sed -n 's/^listening //p' "$Folder/platform.log")"
waitForOutput cat "$Folder/backends.json" >/dev/null
Caller="127.0.0.1:$(findFreePort)"
Peer="127.0.0.1:$(findFreePort)"
Admin="127.0.0.1:$(findFreePort)"
cat > "$Folder/vm.json" <<SETTINGS
{"name": "e1", "site": "bench", "data_center": "eros", "caller_address": "$Caller",
 "peer_address": "$Peer", "admin_address": "$Admin", "platform_address": "$Platform",
 "admin_token": "bench-admin-token", "peer_token": "bench-peer-token", "workers": 2, "seed": 1}
SETTINGS
python3 - "$Platform" "$Peer" <<'LIST'
import http.client, json, sys
connection = http.client.HTTPConnection(sys.argv[1])
connection.request("PUT", "/vms/e1", json.dumps(
    {"peer_address": sys.argv[2], "data_center": "eros", "state": "live"}))
sys.exit(0 if connection.getresponse().status == 200 else 1)
LIST
"$Build/vanillahill-entry" --settings "$Folder/vm.json" > "$Folder/entry.log" 2>&1 &
EntryPid=$!
Pids+=("$EntryPid")
"$Build/bench-added-latency" --backends "$Folder/backends.json" --platform "$Platform" \
  --entry "$Caller" --admin "$Admin" --entry-pid "$EntryPid" "$@" ||
  { tail -5 "$Folder"/*.log >&2; exit 1; }
