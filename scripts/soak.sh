#!/usr/bin/env bash
# Runs soak tests with a range of seeds, LANES at a time; each takes about 20 s:
#   scripts/soak.sh FIRST LAST [DIRECTORY [ROUTERS ENDPOINTS [LANES]]]
# SOAK_OPTIONS in the environment adds options, for example "--retries --seconds 60".
# Odd seeds end with a loss of power, unless SOAK_OPTIONS has --pauses. The logs of each seed stay in DIRECTORY/SEED. Uses loopback only. Each lane runs
# ROUTERS + ENDPOINTS + 2 programs:
# keep the total to a few hundred.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
first=$1 last=$2 out=${3:-$(mktemp -d)} routers=${4:-3} endpoints=${5:-4} lanes=${6:-3}
ports_per_lane=$((10 * (routers + 1) + 2 * endpoints + (routers < 8 ? routers : 8) * endpoints + 1))
mkdir -p "$out"
run_lane() { # number
    local port=$((20000 + ports_per_lane * $1))
    for seed in $(seq $((first + $1)) "$lanes" "$last"); do
        local power_loss=()
        [ $((seed % 2)) = 0 ] || [[ ${SOAK_OPTIONS:-} == *--pauses* ]] || power_loss=(--power-loss)
        build/yucca-soak --seed "$seed" --seconds 8 ${power_loss[@]+"${power_loss[@]}"} ${SOAK_OPTIONS:-} --port $port --routers "$routers" --endpoints "$endpoints" --directory "$out/$seed" || true
    done
}
for n in $(seq 0 $((lanes - 1))); do run_lane "$n" & done | tee "$out/outcome.txt"
wait
echo "$(grep -c '^seed' "$out/outcome.txt") seeds, $(grep -c ', 0 promises broken$' "$out/outcome.txt" || true) without a broken promise; logs in $out"
! grep -q '^broken' "$out/outcome.txt"
