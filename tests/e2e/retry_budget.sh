#!/usr/bin/env bash
# Retries of the whole fleet, counted at the endpoints, stay within the budget while routers restart, pause, are cut off and lose
# their list, and a service fails most requests.
set -euo pipefail
B=${B:-build}
RUN=$(mktemp -d)
SEEDS=(5 2)
for seed in "${SEEDS[@]}"; do
    if ! $B/yucca-soak --programs "$B" --retries --seed "$seed" --seconds 24 --port 24000 --directory "$RUN/$seed"; then
        echo "FAIL: seed $seed, logs in $RUN/$seed"
        exit 1
    fi
done
