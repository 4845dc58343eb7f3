#!/usr/bin/env bash
# Every request that was sent whole gets a whole response or a refusal while endpoints pause for a second or so beside changes of the
# configuration, reloads, graceful stops and releases.
set -euo pipefail
B=${B:-build}
RUN=$(mktemp -d)
SEEDS=(2)
for seed in "${SEEDS[@]}"; do
    if ! $B/yucca-soak --programs "$B" --pauses --seed "$seed" --seconds 8 --port 24000 --directory "$RUN/$seed"; then
        echo "FAIL: seed $seed, logs in $RUN/$seed"
        exit 1
    fi
done
