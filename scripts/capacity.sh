#!/usr/bin/env bash
# Measures the control-plane cost of one router by number of endpoints and workspaces, for docs/CAPACITY.md. For each
# size it starts a platform with a VM list and a catalogue of that size and one router, and reports control bytes and
# CPU time in steady state with ten catalogue changes, and resident memory. Uses loopback only; takes about 20 s per
# size.
#   scripts/capacity.sh [ENDPOINTS:WORKSPACES ...]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
source scripts/fleet.bash
SIZES=(${*:-20:10 200:500 2100:5500})
WINDOW=12

create_objects() { # endpoints workspaces
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

control_bytes() { curl -s "127.0.0.1:$((BASE + 10))/status" | python3 -c 'import json,sys; print(json.load(sys.stdin)["controlBytes"])'; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

echo "| endpoints | workspaces | start: control bytes | start: CPU ms | steady control B/s | steady CPU % of a core | resident KB |"
echo "|---|---|---|---|---|---|---|"
for size in "${SIZES[@]}"; do
    endpoints=${size%:*} workspaces=${size#*:}
    echo '{"writesPerS": 1000000, "readsPerS": 1000000, "vmListLagMs": 0, "logLevel": "error"}' >"$RUN/platform.json"
    start platform $B/yucca-platform --port "$BASE" --config "$RUN/platform.json"
    wait_ready "127.0.0.1:$BASE/healthz"
    create_objects "$endpoints" "$workspaces"
    start router $B/yucca-router --port $((BASE + 10)) --platform-port "$BASE" --config config/router.json
    router=$!
    wait_ready "127.0.0.1:$((BASE + 10))/readyz"
    sleep 3
    bytes0=$(control_bytes) ticks0=$(cpu_ticks $router)
    for i in $(seq 1 10); do
        $B/yucca-ctl --port "$BASE" edit workspace w1 /limits/maxInflight $((100 + i)) >/dev/null
        sleep $((WINDOW / 10))
    done
    bytes1=$(control_bytes) ticks1=$(cpu_ticks $router)
    rss=$(awk '/VmRSS/ {print $2}' "/proc/$router/status")
    awk -v e="$endpoints" -v w="$workspaces" -v b0="$bytes0" -v t0="$ticks0" -v b1="$bytes1" -v t1="$ticks1" -v rss="$rss" -v s=10 \
        'BEGIN {printf "| %d | %d | %d | %d | %.0f | %.2f | %d |\n", e, w, b0, t0 * 10, (b1 - b0) / s, (t1 - t0) / s, rss}'
    stop_all
done

# Measures the same for an entry router with the platform's interface: one configuration object with that many
# workspaces, one entry per endpoint, and ten endpoints whose entries change every second.
create_entry_objects() { # endpoints workspaces
    python3 - "$BASE" "$1" "$2" <<'PY'
import http.client, json, sys
base, endpoints, workspaces = map(int, sys.argv[1:4])
c = http.client.HTTPConnection("127.0.0.1", base)
def create(kind, name, spec):
    c.request("POST", f"/api/objects/{kind}", json.dumps({"metadata": {"name": name}, "spec": spec}))
    c.getresponse().read()
routes = [{"name": f"r{i}", "host": "h.example", "path_prefix": f"/p{i}/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1200,
           "priority": 0, "service": "m", "max_attempts": 2, "sticky": True, "resumable": True, "gap_aim_ms": 600} for i in range(28)]
tenants = [{"name": f"w{i}", "api_keys": [f"key-of-workspace-{i}"], "priority": 1} for i in range(workspaces)]
spec = {"version": 1, "routes": routes, "services": [{"name": "m", "max_conns": 360, "engine": {"slots": 64, "kv_tokens": 444862}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}, "tenants": tenants}
create("config", "main", spec)
for i in range(endpoints):
    create("servers", f"i-{i}", {"service": "m", "address": "127.0.0.1:1", "zone": "z", "slots": 64, "state": "ready", "sequence": 1})
print(len(json.dumps(spec)))
PY
}
update_entries() { # seconds
    python3 - "$BASE" "$1" <<'PY'
import http.client, json, sys, time
base, seconds = map(int, sys.argv[1:3])
c = http.client.HTTPConnection("127.0.0.1", base)
for s in range(seconds):
    for i in range(10):
        c.request("PUT", f"/api/objects/servers/i-{i}", json.dumps({"metadata": {"name": f"i-{i}"}, "spec": {
            "service": "m", "address": "127.0.0.1:1", "zone": "z", "slots": 64, "state": "ready", "sequence": s}}))
        c.getresponse().read()
    time.sleep(1)
PY
}
echo "| endpoints | workspaces | configuration bytes | start: CPU ms | steady CPU % of a core, ten entries a second | resident KB |"
echo "|---|---|---|---|---|---|"
for size in "${SIZES[@]}"; do
    endpoints=${size%:*} workspaces=${size#*:}
    start platform $B/yucca-platform --port "$BASE" --config "$RUN/platform.json"
    wait_ready "127.0.0.1:$BASE/healthz"
    bytes=$(create_entry_objects "$endpoints" "$workspaces")
    cat >"$RUN/entry.json" <<JSON
{"interface": "platform", "traffic": "127.0.0.1:$((BASE + 10))", "readiness": "127.0.0.1:$((BASE + 11))",
 "metrics": "127.0.0.1:$((BASE + 12))", "store": "127.0.0.1:$BASE"}
JSON
    $B/yucca-router --config "$RUN/entry.json" >"$RUN/entry.jsonl" 2>&1 &
    router=$!
    PIDS+=($router)
    wait_ready "127.0.0.1:$((BASE + 11))/ready"
    sleep 1
    ticks0=$(cpu_ticks $router)
    update_entries 10
    ticks1=$(cpu_ticks $router)
    rss=$(awk '/VmRSS/ {print $2}' "/proc/$router/status")
    awk -v e="$endpoints" -v w="$workspaces" -v b="$bytes" -v t0="$ticks0" -v t1="$ticks1" -v rss="$rss" \
        'BEGIN {printf "| %d | %d | %d | %d | %.2f | %d |\n", e, w, b, t0 * 10, (t1 - t0) / 10, rss}'
    stop_all
done
