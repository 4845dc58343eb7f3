#!/usr/bin/env bash
# The model check of the claim protocol and the fuzz runs of the decision
# logic. Bounded and seeded: the same verdict every time.
set -euo pipefail
cd "$(dirname "$0")/.."
ROOT=$PWD
OUT=build/proofs
mkdir -p $OUT

# Model check: no error with fresh nonces, and the old fault found without.
check() { # directory, then spin defines; prints the number of errors found
    mkdir -p "$1" && cd "$1"
    spin -a "${@:2}" "$ROOT/proofs/claim.pml" >/dev/null
    gcc -O2 -DSAFETY -DCOLLAPSE -w -o pan pan.c
    ./pan -m100000 >pan.log
    cd "$ROOT"
    grep -oE 'errors: [0-9]+' "$1/pan.log" | cut -d' ' -f2
}
errors=$(check $OUT/claim)
states=$(grep -oE '[0-9.e+]+ states, stored' $OUT/claim/pan.log)
[ "$errors" = 0 ] || { echo "proofs: claim protocol: $errors errors"; exit 1; }
seeded=$(check $OUT/claim-nonce-reused -DNONCE_REUSED)
[ "$seeded" -gt 0 ] || { echo "proofs: the seeded fault was not found"; exit 1; }
echo "proofs: claim protocol: at most one run ($states); the seeded fault is found"

# Fuzzing: a fixed number of runs from a fixed seed.
clang++ -std=c++20 -g -O1 -fsanitize=fuzzer,address,undefined -Isrc -o $OUT/fuzz_events tests/fuzz/fuzz_events.cpp src/sse.cpp
mkdir -p $OUT/corpus
cp tests/golden/stream_resumed.txt $OUT/corpus/
$OUT/fuzz_events -seed=1 -runs=100000 -max_len=512 -verbosity=0 $OUT/corpus >$OUT/fuzz.log 2>&1 || { tail -20 $OUT/fuzz.log; exit 1; }
echo "proofs: event relay: 100000 fuzz runs without a finding"
