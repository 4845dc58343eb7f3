#!/usr/bin/env bash
# Demonstrates a small version of the Lone Star deployment on loopback. Starts one yucca-platform, four counsel engines,
# one scheduler service and three routers, and applies the sample catalogue. Runs yucca-load while one engine drains,
# first with the affinity policy, then with the round-robin baseline, and then a move to another pool. Stops everything
# it started, and prints a summary and one JSON line at the end. Exits with a non-zero status when a request failed or
# was run twice, when none was served, or when the move did not happen.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh

source scripts/fleet.bash
LOAD=(--conversations 240 --turns 5 --max-requests 1200 --duration "${YUCCA_DEMO_SECONDS:-8}" --concurrency 12)

start_platform
for i in 1 2 3 4; do start_engine $i counsel-a; done
start_scheduler
apply_catalogue
echo "demo: platform, 4 engines, 1 scheduler up; catalogue applied ($(wc -l <"$RUN/ctl.log") entries)"

# Runs the same returning conversations with the affinity policy and with the baseline; engine-4 drains after 2 s.
reset_engines 4
run_phase affinity yuccasaddle "${LOAD[@]}" --drain-at 2 --drain-engine engine-4
reset_engines 4
run_phase roundrobin baseline "${LOAD[@]}" --drain-at 2 --drain-engine engine-4
# Provider move: two engines of another pool join, and a conditional catalogue write moves the counsel class to them
# after 3 s.
reset_engines 4
for i in 5 6; do start_engine $i counsel-b; done
sleep 1.5
run_phase affinity migrate "${LOAD[@]}" --migrate-at 3 --migrate-class counsel --migrate-pool counsel-b
stop_all
trap - EXIT

python3 - "$RUN/yuccasaddle.json" "$RUN/baseline.json" "$RUN/migrate.json" <<'PY'
import json, sys
ours, base, move = (json.load(open(p)) for p in sys.argv[1:4])
rows = ["served", "failed", "wrong", "not_run", "unknown", "booked", "replayed", "duplicates",
        "arrivals_3s_after_drain", "cache_reuse", "skew", "control_bytes_per_s_per_router",
        "record_bytes_per_s_per_router"]
print(f"{'measure':32} {'yuccasaddle':>12} {'baseline':>12}")
for r in rows:
    a, b = ours.get(r, 0), base.get(r, 0)
    fmt = (lambda v: f"{v:12.3f}") if isinstance(a, float) else (lambda v: f"{v:12d}")
    print(f"{r:32} {fmt(a)} {fmt(b)}")
print(f"{'ttft p95 ms':32} {ours['ttft_ms']['p95']:12.0f} {base['ttft_ms']['p95']:12.0f}")
print(f"provider move: moved={move['moved']} served={move['served']} failed={move['failed']} "
      f"duplicates={move['duplicates']} cache_reuse={move['cache_reuse']:.3f} after the move={move['cache_reuse_after_move']:.3f}")
for p in ours.get("first_problems", []) + move.get("first_problems", []):
    print("problem:", p)
summary = {k: ours[k] for k in ["served", "failed", "not_run", "unknown", "duplicates", "cache_reuse", "skew",
                                "control_bytes_per_s_per_router"]}
summary["baseline"] = {k: base[k] for k in ["served", "failed", "cache_reuse", "skew"]}
summary["move"] = {k: move[k] for k in ["moved", "served", "failed", "duplicates", "cache_reuse_after_move"]}
print(json.dumps(summary))
clean = all(r["failed"] == 0 and r["duplicates"] == 0 and r["served"] > 0 for r in (ours, move)) and move["moved"]
sys.exit(0 if clean else 1)
PY
