#!/usr/bin/env bash
# A short seeded soak: the real programs under faults from outside. Longer
# ones by hand: scripts/soak.sh. Each seed that ever failed stands in REGRESSIONS.
set -euo pipefail
B=${B:-build}
RUN=$(mktemp -d)
SEEDS=(1 2)
REGRESSIONS=(1000 1006 1013 1014 # a request that ended more endpoints than are allowed: known late behind a proxy, or not at all
    3000 3010) # endpoints that said that they leave, or asked for rest, went on getting requests
for seed in "${SEEDS[@]}" ${REGRESSIONS[@]+"${REGRESSIONS[@]}"}; do
    if ! $B/yucca-soak --programs "$B" --seed "$seed" --seconds 8 --port 24000 --directory "$RUN/$seed"; then
        echo "FAIL: seed $seed, logs in $RUN/$seed"
        exit 1
    fi
done
