#!/usr/bin/env bash
# Fails when a word of the platform's wire stands outside platform/ and the
# emulators: header names, paths, and fields that the product calls otherwise.
set -euo pipefail
cd "$(dirname "$0")/.."
WORDS='yuccasaddle-|x-api-key|kv-fetch|kv-from|api/objects|api/ready|store_revision|after_rev|path_prefix|max_conns|api_keys|gap_aim|target_latency_ms|cold_remaining|health_path|"servers"|"tenants"'
if grep -rniE "$WORDS" src include; then
    echo "names: words of the platform outside platform/"
    exit 1
fi
# platform/ stays under a tenth of the code.
small=$(cat platform/* | wc -l)
all=$(cat src/*.cpp src/*.h src/entry/* include/yucca/* platform/* emulators/* | wc -l)
echo "platform/: $small of $all lines"
[ $((10 * small)) -lt "$all" ] || { echo "names: platform/ is a tenth of the code or more"; exit 1; }
