#!/usr/bin/env bash
# Requests in flight at an entry router that stops are finished when a reload or another stop signal follows the first.
source "$(dirname "$0")/lib.bash"
P=${YUCCA_E2E_BASE:-18900}
STORE=127.0.0.1:$P

cat >"$RUN/router.json" <<JSON
{"interface": "platform", "id": "router-1", "failureDomain": "zone-a", "traffic": "127.0.0.1:$((P + 10))",
 "readiness": "127.0.0.1:$((P + 11))", "metrics": "127.0.0.1:$((P + 12))", "store": "$STORE", "stopGraceS": 8,
 "peers": "127.0.0.1:$((P + 13))"}
JSON
start platform $B/yucca-platform --port $P
wait_ok "$STORE/healthz"
curl -sf -X POST "$STORE/api/objects/config" -d '{"metadata": {"name": "main"}, "spec": {"version": 1,
 "routes": [{"name": "book", "host": "h.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 6000,
             "target_latency_ms": 3000, "priority": 1, "service": "s", "max_attempts": 1}],
 "services": [{"name": "s", "health_path": "/health", "max_conns": 100}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
 "tenants": [{"name": "north", "api_keys": ["key-1"], "priority": 1}]}}' >/dev/null
start i-1 $B/yucca-endpoint --id i-1 --service s --port $((P + 1)) --store-port $P --work-ms 1500

for second in HUP TERM; do
    start router $B/yucca-router --config "$RUN/router.json"
    router=$LAST_PID
    wait_ok "127.0.0.1:$((P + 11))/ready"
    sleep 0.5 # until the router has the endpoint's entry
    curl -s -o "$RUN/body" -w '%{http_code}' -X POST "127.0.0.1:$((P + 10))/book/1" -H 'Host: h.example' \
        -H "Yuccasaddle-Attempt-Id: b-$second" -H 'X-Api-Key: key-1' -d '{}' >"$RUN/status" &
    caller=$!
    sleep 0.3
    kill -TERM "$router"
    sleep 0.2
    kill -$second "$router"
    wait $caller || true
    [ "$(cat "$RUN/status")" = 200 ] || fail "SIG$second after SIGTERM: the request in flight got status $(cat "$RUN/status")"
    code=0
    wait "$router" || code=$?
    [ "$code" = 0 ] || fail "SIG$second after SIGTERM: the router exited with $code"
    pass "SIG$second after SIGTERM: the request in flight is answered, and the router stops as asked"
done
