#!/usr/bin/env bash
# Guards against a router that follows the store by answers of lagging replicas once it hears no other router: a key that is taken away
# must be refused 2 s later.
source "$(dirname "$0")/lib.bash"
P=18900
STORE=127.0.0.1:$P

router_settings() { # number
    cat <<JSON
{"interface": "platform", "id": "router-$1", "failureDomain": "zone-a",
 "traffic": "127.0.0.1:$((P + 10 * $1))", "readiness": "127.0.0.1:$((P + 10 * $1 + 1))", "metrics": "127.0.0.1:$((P + 10 * $1 + 2))",
 "store": "$STORE", "peers": "127.0.0.1:$((P + 10 * $1 + 3))"}
JSON
}

configuration() { # version, key
    cat <<JSON
{"metadata": {"name": "main"}, "spec": {"version": $1,
 "routes": [{"name": "book", "host": "h.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 3000,
             "target_latency_ms": 300, "priority": 2, "service": "s", "max_attempts": 1}],
 "services": [{"name": "s", "health_path": "/health", "max_conns": 100}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
 "tenants": [{"name": "north", "api_keys": ["$2"], "priority": 1}]}}
JSON
}

send_booking() { # id, key: prints the status
    curl -s -o /dev/null -w '%{http_code}' -X POST "127.0.0.1:$((P + 10))/book/1" -H 'Host: h.example' -H "Yuccasaddle-Attempt-Id: $1" \
        -H "X-Api-Key: $2" -d '{}' || true
}

echo '{"replicaLagMs": 5000}' >"$RUN/store.json"
start platform $B/yucca-platform --config "$RUN/store.json" --port $P
wait_ok "$STORE/healthz"
configuration 1 key-1 | curl -sf -X POST "$STORE/api/objects/config" -d @- >/dev/null
start endpoint $B/yucca-endpoint --id i-s1 --service s --port $((P + 51)) --store-port $P
for r in 1 2; do
    router_settings $r >"$RUN/router-$r.json"
    start "router-$r" $B/yucca-router --config "$RUN/router-$r.json"
    eval "ROUTER_$r=$LAST_PID"
done
for r in 1 2; do wait_ok "127.0.0.1:$((P + 10 * r + 1))/"; done
sleep 4 # the routers hear each other
kill -KILL "$ROUTER_2"
sleep 22 # the effects of a sign of trouble at the start are over
for version in 2 3 4; do
    configuration $version "key-$version" | curl -sf -X PUT "$STORE/api/objects/config/main" -d @- >/dev/null
    sleep 2
    status=$(send_booking "old-$version" "key-$((version - 1))")
    [ "$status" = 401 ] || fail "version $version: the revoked key gets $status"
    status=$(send_booking "new-$version" "key-$version")
    [ "$status" = 200 ] || fail "version $version: the key in force gets $status"
    sleep 3
done
pass "a router alone applies changes within the bound"
