#!/usr/bin/env bash
# Installs the Debian packages that the build needs and that are missing.
set -euo pipefail
PACKAGES=(cmake g++ make pkg-config libboost-dev nlohmann-json3-dev
          liblog4cxx-dev libpopt-dev libcpputest-dev libxxhash-dev curl python3
          clang-format clang-tidy-16 clang libclang-rt-14-dev spin)
missing=()
for p in "${PACKAGES[@]}"; do
    dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q "ok installed" || missing+=("$p")
done
if [ ${#missing[@]} -gt 0 ]; then
    echo "setup: installing ${missing[*]}"
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq "${missing[@]}" >/dev/null
fi
