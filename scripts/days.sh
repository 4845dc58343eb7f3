#!/usr/bin/env bash
# Runs the days of deploy/days on the users' bench for each given site:
#   scripts/days.sh BENCH WHY SITE...
# BENCH is the path of the bench program. Requires the users' kit; not part of the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 why=$2
shift 2
for site in "$@"; do
    for day in deploy/days/*.toml; do
        echo "== $(basename "$site" .toml) $(basename "$day" .toml)"
        "$bench" run "$site" "$day" --jobs 4 --why "$why" | grep -E "^($(basename "$day" .toml)|rules|short|[A-Z]+ at)" || true
    done
done
