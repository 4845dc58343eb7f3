#!/usr/bin/env bash
# Measures the CPU time that an entry router spends on log lines per request, and how many lines the rate limit drops
# under a flood of requests: one router, two endpoints without streams, one caller on one connection. Prints a table for
# docs/MEASURES.md. Uses loopback only; takes about one minute.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
source scripts/fleet.bash

send_requests() { # log level, requests per second (0: as many as possible), seconds
    python3 - "$BASE" "$ROUTER" "$1" "$2" "$3" "$RUN/router.jsonl" <<'PY'
import glob, http.client, json, sys, time
base, pid, level, rate, seconds, log = int(sys.argv[1]), sys.argv[2], sys.argv[3], float(sys.argv[4]), float(sys.argv[5]), sys.argv[6]
def cpu_us():  # of all threads
    return sum(int(open(f).read().split()[0]) for f in glob.glob(f"/proc/{pid}/task/*/schedstat")) / 1000
def lines():
    text = open(log).read().splitlines()
    return len(text), sum(json.loads(l).get("lines", 0) for l in text if '"LinesLeftOut"' in l)
c = http.client.HTTPConnection("127.0.0.1", base + 10)
def send_request(n):
    c.request("GET", "/remind/1", headers={"Host": "h.example", "Yuccasaddle-Attempt-Id": f"{level}-{rate}-{n}", "X-Api-Key": "key"})
    r = c.getresponse()
    r.read()
    assert r.status == 200, r.status
for n in range(50):
    send_request(f"warm{n}")
time.sleep(1.5)  # until the log rate limiter is full again
cpu0, (l0, out0), t0, n = cpu_us(), lines(), time.time(), 0
while time.time() - t0 < seconds:
    send_request(n)
    n += 1
    if rate:
        time.sleep(max(0, t0 + n / rate - time.time()))
took = time.time() - t0
used = cpu_us() - cpu0
time.sleep(1.2)
l1, out1 = lines()
print(f"| {level} | {n / took:.0f} | {used / n:.0f} | {(l1 - l0) / took:.0f} | {out1 - out0} |")
PY
}

start platform $B/yucca-platform --port "$BASE" --config config/platform.json
wait_ready "127.0.0.1:$BASE/healthz"
curl -sf -X POST "127.0.0.1:$BASE/api/objects/config" -d '{"metadata": {"name": "main"}, "spec": {"version": 1,
 "routes": [{"name": "remind", "host": "h.example", "path_prefix": "/remind/", "kind": "idempotent", "timeout_ms": 3000, "service": "s", "max_attempts": 2}],
 "services": [{"name": "s", "max_conns": 100}], "tenants": [{"name": "north", "api_keys": ["key"]}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}}' >/dev/null
for i in 1 2; do
    start "endpoint-$i" $B/yucca-endpoint --id "i-$i" --service s --port $((BASE + 100 + i)) --store-port "$BASE" --work-ms 0
done
echo "| log level | requests/s | router's processor time, µs a request | lines/s | lines left out |"
echo "|---|---|---|---|---|"
for level in error info; do
    cat >"$RUN/router.json" <<JSON
{"interface": "platform", "logLevel": "$level", "traffic": "127.0.0.1:$((BASE + 10))", "readiness": "127.0.0.1:$((BASE + 11))",
 "metrics": "127.0.0.1:$((BASE + 12))", "store": "127.0.0.1:$BASE"}
JSON
    : >"$RUN/router.jsonl"
    $B/yucca-router --config "$RUN/router.json" >"$RUN/router.jsonl" 2>&1 &
    ROUTER=$!
    PIDS+=($ROUTER)
    wait_ready "127.0.0.1:$((BASE + 11))/ready"
    sleep 1 # until the router has the endpoints' entries
    send_requests $level 100 12
    send_requests $level 0 6
    kill -TERM $ROUTER
    wait $ROUTER || true
    PIDS=("${PIDS[@]/$ROUTER/}")
done
