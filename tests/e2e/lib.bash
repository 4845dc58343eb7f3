# Helpers for the end-to-end tests: start programs on loopback, wait for
# them with bounded polls, stop exactly the ones started (by pid).
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

# Polls a URL until it answers 2xx; bounded to 100 tries.
wait_ok() {
    for _ in $(seq 1 100); do
        curl -sf "$1" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "never ready: $1"; return 1
}

register() { # platform-port id port pool kind
    curl -sf -X PUT "127.0.0.1:$1/admin/vms/$2" -d "{\"host\":\"127.0.0.1\",\"port\":$3,\"pool\":\"$4\",\"kind\":\"$5\"}" >/dev/null
}

fail() { echo "FAIL: $*"; for f in "$RUN"/*.log; do echo "== $f"; tail -5 "$f"; done; exit 1; }
pass() { echo "ok: $*"; }
