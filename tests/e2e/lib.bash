# Functions for the end-to-end tests. They start programs on loopback, wait for them with a limited number of polls, and
# stop only what they started, by process id.
set -euo pipefail
B=${B:-build}
RUN=$(mktemp -d)
PIDS=()

cleanup() {
    for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap cleanup EXIT

start() { # name, then the command
    local name=$1; shift
    "$@" 2>"$RUN/$name.log" &
    PIDS+=($!)
    LAST_PID=$!
}

# Polls a URL until it answers 2xx, at most 100 times.
wait_ok() {
    for _ in $(seq 1 100); do
        curl -sf "$1" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "$1 did not become ready"; return 1
}

register() { # platform-port id port pool kind
    curl -sf -X PUT "127.0.0.1:$1/admin/vms/$2" -d "{\"host\":\"127.0.0.1\",\"port\":$3,\"pool\":\"$4\",\"kind\":\"$5\"}" >/dev/null
}

# Starts a fleet with the native interface: a platform, engines, a scheduler and two routers, with the sample catalogue.
# Sets ENGINE_N and ROUTER_N to process ids, and R1 and R2 to the routers' addresses.
start_native_fleet() { # first port, number of engines [settings of engines, settings of routers]
    local base=$1 engines=$2 engine_settings=() router_settings=()
    [ -z "${3:-}" ] || engine_settings=(--config "$3")
    [ -z "${4:-}" ] || router_settings=(--config "$4")
    start platform $B/yucca-platform --port "$base"
    wait_ok "127.0.0.1:$base/healthz"
    for i in $(seq 1 "$engines"); do
        start "engine-$i" $B/yucca-engine --port $((base + i)) --id "engine-$i" ${engine_settings[@]+"${engine_settings[@]}"}
        eval "ENGINE_$i=$LAST_PID"
        wait_ok "127.0.0.1:$((base + i))/healthz"
        register "$base" "engine-$i" $((base + i)) counsel-a engine
    done
    start scheduler $B/yucca-engine --port $((base + 9)) --id scheduler-1 --kind service
    wait_ok "127.0.0.1:$((base + 9))/healthz"
    register "$base" scheduler-1 $((base + 9)) scheduler service
    $B/yucca-ctl --port "$base" apply config/catalogue-lonestar.json >/dev/null || fail "catalogue apply"
    for r in 1 2; do
        start "router-$r" $B/yucca-router --port $((base + 10 + r)) --platform-port "$base" --id "router-$r" ${router_settings[@]+"${router_settings[@]}"}
        eval "ROUTER_$r=$LAST_PID"
        wait_ok "127.0.0.1:$((base + 10 + r))/readyz"
    done
    R1=127.0.0.1:$((base + 11))
    R2=127.0.0.1:$((base + 12))
}

fail() { echo "FAIL: $*"; for f in "$RUN"/*.log; do echo "== $f"; tail -5 "$f"; done; exit 1; }
pass() { echo "ok: $*"; }
