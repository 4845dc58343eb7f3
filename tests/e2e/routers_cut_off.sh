#!/usr/bin/env bash
# Routers that lose their paths to all endpoints must serve their callers nearly as well as the others do.
set -euo pipefail
B=${B:-build}
RUN=$(mktemp -d)
if ! $B/yucca-soak --programs "$B" --seed 1 --cut-routers --routers 6 --port 24000 --directory "$RUN/soak"; then
    echo "FAIL: logs in $RUN/soak"
    exit 1
fi
