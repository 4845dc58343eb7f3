# Functions for a small fleet on loopback, used by the demo and the measurements. They start programs, register
# endpoints, run yucca-load through routers with one policy, and stop only what they started, by process id.
BASE=${YUCCA_PORT_BASE:-19400}
B=build
RUN=$(mktemp -d)
PIDS=()

stop_all() {
    for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
    PIDS=()
}
trap stop_all EXIT

start() { # name, then the command
    local name=$1; shift
    "$@" 2>"$RUN/$name.log" &
    PIDS+=($!)
}

wait_ready() { # url
    for _ in $(seq 1 100); do
        curl -sf "$1" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "$1 did not become ready" >&2
    return 1
}

register() { # id port pool kind
    curl -sf -X PUT "127.0.0.1:$BASE/admin/vms/$1" \
        -d "{\"host\":\"127.0.0.1\",\"port\":$2,\"pool\":\"$3\",\"kind\":\"$4\",\"state\":\"live\"}" >/dev/null
}

start_platform() {
    start platform $B/yucca-platform --port "$BASE" --config config/platform.json
    wait_ready "127.0.0.1:$BASE/healthz"
}

start_engine() { # number pool
    start "engine-$1" $B/yucca-engine --port $((BASE + 100 + $1)) --id "engine-$1" --config config/engine.json
    wait_ready "127.0.0.1:$((BASE + 100 + $1))/healthz"
    register "engine-$1" $((BASE + 100 + $1)) "$2" engine
}

start_scheduler() {
    start scheduler $B/yucca-engine --port $((BASE + 201)) --id scheduler-1 --kind service --config config/engine.json
    wait_ready "127.0.0.1:$((BASE + 201))/healthz"
    register scheduler-1 $((BASE + 201)) scheduler service
}

apply_catalogue() {
    $B/yucca-ctl --port "$BASE" --author demo --reason "sample catalogue" apply config/catalogue-lonestar.json >"$RUN/ctl.log"
}

# Clears the cache of every engine and puts it back into service.
reset_engines() { # count
    for i in $(seq 1 "$1"); do
        local at="127.0.0.1:$((BASE + 100 + i))"
        curl -sf -X POST "$at/admin/reset" >/dev/null
        curl -sf -X POST "$at/v1/orders" -d '{"kind":"undrain","fence":4294967295,"holder":"demo"}' >/dev/null
        register "engine-$i" $((BASE + 100 + i)) counsel-a engine
    done
    sleep 1.5 # until the delayed VM list shows the change
}

# Runs one phase: starts three routers with a policy and runs yucca-load with the given options. Its report is written
# to $RUN/LABEL.json.
run_phase() { # policy label [yucca-load options]
    local policy=$1 label=$2 routers=() list=""
    shift 2
    for i in 1 2 3; do
        local port=$((BASE + 10 * i))
        start "router-$label-$i" $B/yucca-router --port $port --platform-port "$BASE" --id "router-$i" --policy "$policy" --config config/router.json
        routers+=($!)
        list+="127.0.0.1:$port,"
    done
    for i in 1 2 3; do wait_ready "127.0.0.1:$((BASE + 10 * i))/readyz"; done
    $B/yucca-load --routers "${list%,}" --platform-port "$BASE" --label "$label" "$@" >"$RUN/$label.json" 2>"$RUN/load-$label.log" || true
    # Stops each router gracefully: a router finishes its requests in flight first.
    local clean=0
    for pid in "${routers[@]}"; do
        kill -TERM "$pid"
        if wait "$pid"; then clean=$((clean + 1)); fi
        PIDS=("${PIDS[@]/$pid/}")
    done
    echo "$label: 3 routers stopped, $clean cleanly"
}
