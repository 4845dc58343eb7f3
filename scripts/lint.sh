#!/usr/bin/env bash
# Runs clang-tidy with the checks of .clang-tidy on all source files, or on the given ones. Asio's coroutine support is
# enabled by defines, because Boost 1.74 does not detect it in this version of clang.
set -euo pipefail
cd "$(dirname "$0")/.."
TIDY=${CLANG_TIDY:-clang-tidy-16}
files=("$@")
[ ${#files[@]} -gt 0 ] || files=(src/*.cpp src/entry/*.cpp src/peers/*.cpp platform/*.cpp emulators/*.cpp emulators/*/*.cpp)
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 "$TIDY" -p build --quiet \
    --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 --extra-arg=-Wno-everything 2>/dev/null
