#!/usr/bin/env bash
# Configures and builds every binary into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build -j"$(nproc)" 2>&1 | grep -vE '^\[|^-- ' || true
test -x build/yucca-router -a -x build/yucca-tests
