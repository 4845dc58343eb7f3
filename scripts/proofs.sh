#!/usr/bin/env bash
# Model-checks the claim protocol and the relay of requests, and fuzzes the event relay and the decoders. All runs are bounded and seeded, so that
# results are reproducible.
set -euo pipefail
cd "$(dirname "$0")/.."
ROOT=$PWD
OUT=build/proofs
mkdir -p $OUT

# Model check: expects no error with fresh nonces, and an error when nonces are reused, which shows that the model
# detects this fault.
model_check() { # directory, model, then spin defines; prints the number of errors found
    mkdir -p "$1" && cd "$1"
    spin -a "${@:3}" "$ROOT/proofs/$2.pml" >/dev/null
    gcc -O2 -DSAFETY -DCOLLAPSE -w -o pan pan.c
    ./pan -m100000 >pan.log
    cd "$ROOT"
    grep -oE 'errors: [0-9]+' "$1/pan.log" | cut -d' ' -f2
}
errors=$(model_check $OUT/claim claim)
states=$(grep -oE '[0-9.e+]+ states, stored' $OUT/claim/pan.log)
[ "$errors" = 0 ] || { echo "proofs: claim protocol: $errors errors"; exit 1; }
seeded_errors=$(model_check $OUT/claim-nonce-reused claim -DNONCE_REUSED)
[ "$seeded_errors" -gt 0 ] || { echo "proofs: the seeded fault was not found"; exit 1; }
echo "proofs: claim protocol: at most one run ($states); the seeded fault is found"
errors=$(model_check $OUT/relay relay)
states=$(grep -oE '[0-9.e+]+ states, stored' $OUT/relay/pan.log)
[ "$errors" = 0 ] || { echo "proofs: relay: $errors errors"; exit 1; }
for fault in RESEND_AFTER_SEND NOT_RUN_AFTER_SEND NO_END_MARKER; do
    seeded_errors=$(model_check "$OUT/relay-$fault" relay "-D$fault")
    [ "$seeded_errors" -gt 0 ] || { echo "proofs: relay: the seeded fault $fault was not found"; exit 1; }
done
echo "proofs: relay: at most one run, true answers ($states); three seeded faults are found"

errors=$(model_check $OUT/streams streams)
states=$(grep -oE '[0-9.e+]+ states, stored' $OUT/streams/pan.log)
[ "$errors" = 0 ] || { echo "proofs: streams: $errors errors"; exit 1; }
for fault in UNBOUND_RESPONSE GUESS_WHEN_UNKNOWN TRUST_ADDRESS BIND_BY_LISTING; do
    seeded_errors=$(model_check "$OUT/streams-$fault" streams "-D$fault")
    [ "$seeded_errors" -gt 0 ] || { echo "proofs: streams: the seeded fault $fault was not found"; exit 1; }
done
echo "proofs: streams: no stream over two versions ($states); four seeded faults are found"

errors=$(model_check $OUT/records records)
states=$(grep -oE '[0-9.e+]+ states, stored' $OUT/records/pan.log)
[ "$errors" = 0 ] || { echo "proofs: records of streams: $errors errors"; exit 1; }
for fault in EARLIER_RECORD OWN_VIEW RECORD_FIRST LEAVES_UNRECORDED; do
    seeded_errors=$(model_check "$OUT/records-$fault" records "-D$fault")
    [ "$seeded_errors" -gt 0 ] || { echo "proofs: records of streams: the seeded fault $fault was not found"; exit 1; }
done
echo "proofs: records of streams: no stream bound to another version ($states); four seeded faults are found"

# Fuzzing: a fixed number of runs with a fixed seed. The programs are linked without PIE, because libFuzzer's choices
# depend on code addresses.
clang++ -std=c++20 -g -O1 -fsanitize=fuzzer,address,undefined -fno-pie -no-pie -Isrc -o $OUT/fuzz_events tests/fuzz/fuzz_events.cpp src/sse.cpp
mkdir -p $OUT/corpus
cp tests/golden/stream_resumed.txt $OUT/corpus/
$OUT/fuzz_events -seed=1 -runs=100000 -max_len=512 -verbosity=0 $OUT/corpus >$OUT/fuzz.log 2>&1 || { tail -20 $OUT/fuzz.log; exit 1; }
echo "proofs: event relay: 100000 fuzz runs without a finding"

# Fuzzing of the decoders of external input. Asio's coroutine support is enabled by defines, because Boost 1.74 does not
# detect it in this version of clang.
clang++ -std=c++20 -g -O1 -fsanitize=fuzzer,address,undefined -fno-pie -no-pie -w -DBOOST_ASIO_HAS_CO_AWAIT=1 -DBOOST_ASIO_HAS_STD_COROUTINE=1 \
    -Iinclude -Isrc -Iplatform -Iemulators -Itests -o $OUT/fuzz_decoders tests/fuzz/fuzz_decoders.cpp platform/codec.cpp platform/prompt_parts.cpp \
    src/entry/entry_settings.cpp src/entry/configuration.cpp src/explain.cpp src/peers/peer_message.cpp src/name_digest.cpp emulators/model/scenario.cpp src/settings.cpp src/findings.cpp src/http.cpp \
    src/tunnel_frames.cpp src/decode.cpp platform/response_parser.cpp src/object_replica.cpp -lxxhash
mkdir -p $OUT/decoders
cp config/router.json $OUT/decoders/
cp tests/fuzz/regressions/decoders/* $OUT/decoders/ # inputs of earlier findings
printf '{"version":1,"routes":[{"host":"h","path_prefix":"/a/","kind":"streaming","service":"s"}],"services":[{"name":"s"}]}' >$OUT/decoders/configuration
printf '{"service":"s","address":"1.2.3.4:5"}' >$OUT/decoders/endpoint
printf '5c1e07a2:800,91bd3f06:410' >$OUT/decoders/parts
printf '{"at_ms":1,"name":"RequestFinished","id":"q1","end":"cut"}' >$OUT/decoders/line
cp config/scenarios/lonestar.json $OUT/decoders/scenario
printf '\x81\x83\x61i\x0c\x18\xfa' >$OUT/decoders/loads
printf '[%.0s' $(seq 2000) >$OUT/decoders/nested_lists
printf '{"a":%.0s' $(seq 600) >$OUT/decoders/nested_objects
printf '\x41"x"' >$OUT/decoders/at_the_bound
printf '\x59\x00\x04HTTP\x59\x00\x01/\x00' >$OUT/decoders/frames
$OUT/fuzz_decoders -seed=1 -runs=20000 -max_len=4096 -verbosity=0 $OUT/decoders >$OUT/fuzz_decoders.log 2>&1 || { tail -20 $OUT/fuzz_decoders.log; exit 1; }
echo "proofs: decoders: 20000 fuzz runs without a finding"
