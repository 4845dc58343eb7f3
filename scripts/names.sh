#!/usr/bin/env bash
# Fails when src/ or include/ contain a name of the platform's wire protocol: a header name, a path, or a field that has
# another name in this project. Only platform/ and the emulators may use them. Fails too when JSON or CBOR is decoded
# where nothing bounds it.
set -euo pipefail
cd "$(dirname "$0")/.."
WORDS='yuccasaddle-|x-api-key|kv-fetch|kv-from|api/objects|api/ready|store_revision|after_rev|path_prefix|max_conns|api_keys|gap_aim|target_latency_ms|cold_remaining|health_path|"servers"|"tenants"'
if grep -rniE "$WORDS" src include; then
    echo "names: words of the platform outside platform/"
    exit 1
fi
# Values from outside are decoded in one place, which bounds them.
if grep -rnE 'json::(parse|accept|sax_parse|from_)' src platform emulators | grep -v '^src/decode\.cpp:'; then
    echo "names: JSON or CBOR decoded outside src/decode.cpp"
    exit 1
fi
# platform/ must stay below a tenth of the code.
lines() { # folders
    find "$@" -name '*.cpp' -o -name '*.h' | xargs cat | wc -l
}
all=$(lines src include platform emulators)
echo "platform/: $(lines platform) of $all lines"
[ $((10 * $(lines platform))) -lt "$all" ] || { echo "names: platform/ is a tenth of the code or more"; exit 1; }
# So must the soak test.
soak=$(lines emulators/soak emulators/soak_main.cpp)
echo "emulators/soak/: $soak of $all lines"
[ $((10 * soak)) -lt "$all" ] || { echo "names: the soak is a tenth of the code or more"; exit 1; }
