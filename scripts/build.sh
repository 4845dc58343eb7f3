#!/usr/bin/env bash
# Configures and builds all programs in build/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
# Exits when the build fails, so that tests never run programs of an earlier build.
if ! cmake --build build -j"$(nproc)" >build/build.log 2>&1; then
    grep -E "error|Error" build/build.log | head -40
    echo "build: FAILED (build/build.log)"
    exit 1
fi
grep -E "warning:" build/build.log | head -20 || true
