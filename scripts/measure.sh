#!/usr/bin/env bash
# Measures requests, cache reuse and load skew under churn, a surge and a store outage. Runs each scenario with the
# affinity policy, the earlier bounded policy and the round-robin baseline, one after the other on the same fleet.
# Prints the rows of docs/MEASURES.md. Uses loopback only; takes about two minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
source scripts/fleet.bash
ENGINES=6
SCENARIOS=(${*:-churn surge outage})

options() { # scenario
    local common="--conversations 300 --turns 40 --max-requests 4000 --duration 12 --concurrency 32 --max-tokens 16"
    case $1 in
    churn) echo "$common --churn-every 2" ;;
    surge) echo "$common --surge-at 4 --surge-conversations 300" ;;
    outage) echo "$common --outage-at 4 --outage-for 4" ;;
    *) echo "unknown scenario $1" >&2; exit 2 ;;
    esac
}

start_platform
for i in $(seq 1 $ENGINES); do start_engine "$i" counsel-a; done
start_scheduler
apply_catalogue
for scenario in "${SCENARIOS[@]}"; do
    for policy in affinity bounded roundrobin; do
        reset_engines $ENGINES
        # shellcheck disable=SC2046
        run_phase $policy "$scenario-$policy" $(options "$scenario") >/dev/null
    done
done
python3 - "$RUN" "${SCENARIOS[@]}" <<'PY'
import json, sys
print("| scenario | policy | served | failed | not_run | unknown | duplicates | cache_reuse | skew | load skew mean / worst | control B/s | ttft p95 ms |")
print("|---|---|---|---|---|---|---|---|---|---|---|---|")
for scenario in sys.argv[2:]:
    for policy in ["affinity", "bounded", "roundrobin"]:
        r = json.load(open(f"{sys.argv[1]}/{scenario}-{policy}.json"))
        print(f"| {scenario} | {policy} | {r['served']} | {r['failed']} | {r['not_run']} | {r['unknown']} | {r['duplicates']} | {r['cache_reuse']:.3f} | "
              f"{r['skew']:.3f} | {r['load_skew_mean']:.2f} / {r['load_skew_worst']:.2f} | {r['control_bytes_per_s_per_router']:.0f} | {r['ttft_ms']['p95']:.0f} |")
PY
