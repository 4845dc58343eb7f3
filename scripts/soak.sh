#!/usr/bin/env bash
# Soaks with a range of seeds, a few at a time, each of about 20 s:
#   scripts/soak.sh FIRST LAST [DIRECTORY [ROUTERS ENDPOINTS [LANES]]]
# Logs of a seed that broke a promise stay in DIRECTORY/SEED. Loopback only;
# ROUTERS + ENDPOINTS + 2 programs a lane: keep to a few hundred in all.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
first=$1 last=$2 out=${3:-$(mktemp -d)} routers=${4:-3} endpoints=${5:-4} lanes=${6:-3}
ports_a_lane=$((10 * (routers + 1) + 2 * endpoints))
mkdir -p "$out"
lane() { # number
    local port=$((20000 + ports_a_lane * $1))
    for seed in $(seq $((first + $1)) "$lanes" "$last"); do
        build/yucca-soak --seed "$seed" --seconds 8 --port $port --routers "$routers" --endpoints "$endpoints" --directory "$out/$seed" || true
    done
}
for n in $(seq 0 $((lanes - 1))); do lane "$n" & done | tee "$out/outcome.txt"
wait
echo "$(grep -c '^seed' "$out/outcome.txt") seeds, $(grep -c ', 0 promises broken$' "$out/outcome.txt" || true) without a broken promise; logs in $out"
! grep -q '^broken' "$out/outcome.txt"
