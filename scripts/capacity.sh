#!/usr/bin/env bash
# The slopes of docs/CAPACITY.md: what one router's control side costs for a
# number of endpoints and workspaces. For each size: a platform, the VM list
# and catalogue of that size, one router; control bytes and processor time
# over 12 steady seconds with ten catalogue changes, and resident memory.
# Loopback only; about 20 s a size.
#   scripts/capacity.sh [ENDPOINTS:WORKSPACES ...]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
source scripts/fleet.bash
SIZES=(${*:-20:10 200:500 2100:5500})
WINDOW=12

fill() { # endpoints workspaces
    python3 - "$BASE" "$1" "$2" <<'PY'
import http.client, json, sys
base, endpoints, workspaces = map(int, sys.argv[1:4])
c = http.client.HTTPConnection("127.0.0.1", base)
def call(method, path, body):
    c.request(method, path, json.dumps(body))
    c.getresponse().read()
def create(kind, name, spec):
    call("POST", f"/api/objects/{kind}", {"metadata": {"name": name}, "spec": spec})
create("class", "counsel", {"pool": "counsel-a", "kind": "engine"})
for i in range(workspaces):
    create("workspace", f"w{i}", {"owner": f"owner-{i}", "class": "counsel", "limits": {"maxInflight": 64, "requestsPerS": 100}})
for i in range(endpoints):
    call("PUT", f"/admin/vms/e{i}", {"host": "127.0.0.1", "port": 1, "pool": "counsel-a", "kind": "engine"})
PY
}

status() { curl -s "127.0.0.1:$((BASE + 10))/status" | python3 -c 'import json,sys; print(json.load(sys.stdin)["controlBytes"])'; }
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

echo "| endpoints | workspaces | start: control bytes | start: CPU ms | steady control B/s | steady CPU % of a core | resident KB |"
echo "|---|---|---|---|---|---|---|"
for size in "${SIZES[@]}"; do
    endpoints=${size%:*} workspaces=${size#*:}
    echo '{"writesPerS": 1000000, "readsPerS": 1000000, "vmListLagMs": 0, "logLevel": "error"}' >"$RUN/platform.json"
    start platform $B/yucca-platform --port "$BASE" --config "$RUN/platform.json"
    wait_ready "127.0.0.1:$BASE/healthz"
    fill "$endpoints" "$workspaces"
    start router $B/yucca-router --port $((BASE + 10)) --platform-port "$BASE" --config config/router.json
    router=$!
    wait_ready "127.0.0.1:$((BASE + 10))/readyz"
    sleep 3
    bytes0=$(status) ticks0=$(ticks $router)
    for i in $(seq 1 10); do
        $B/yucca-ctl --port "$BASE" edit workspace w1 /limits/maxInflight $((100 + i)) >/dev/null
        sleep $((WINDOW / 10))
    done
    bytes1=$(status) ticks1=$(ticks $router)
    rss=$(awk '/VmRSS/ {print $2}' "/proc/$router/status")
    awk -v e="$endpoints" -v w="$workspaces" -v b0="$bytes0" -v t0="$ticks0" -v b1="$bytes1" -v t1="$ticks1" -v rss="$rss" -v s=10 \
        'BEGIN {printf "| %d | %d | %d | %d | %.0f | %.2f | %d |\n", e, w, b0, t0 * 10, (b1 - b0) / s, (t1 - t0) / s, rss}'
    stop_all
done
