#!/usr/bin/env bash
# A short seeded soak test: the real programs under external faults. scripts/soak.sh runs longer ones.
set -euo pipefail
B=${B:-build}
RUN=$(mktemp -d)
SEEDS=(1 2)
if ! $B/yucca-soak --programs "$B" --seed 3 --power-loss --seconds 8 --port 24000 --directory "$RUN/power-loss"; then
    echo "FAIL: loss of power, logs in $RUN/power-loss"
    exit 1
fi
for seed in "${SEEDS[@]}"; do
    if ! $B/yucca-soak --programs "$B" --seed "$seed" --seconds 8 --port 24000 --directory "$RUN/$seed"; then
        echo "FAIL: seed $seed, logs in $RUN/$seed"
        exit 1
    fi
done
