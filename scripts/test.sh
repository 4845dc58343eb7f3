#!/usr/bin/env bash
# Runs all tests and checks: installs missing packages, builds, runs the unit tests (CppUTest), the end-to-end tests and
# the checks, and prints the totals in the last line.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh

e2e_passed=0
e2e_failed=0

# A test listed in KNOWN-RED.txt runs like the others and may fail; its result is printed either way. Each line holds
# the test (GROUP.NAME or a script's name), then its command and seed, the cause, and the issue.
known_red() { # test
    [ -s KNOWN-RED.txt ] && grep -qE "^$1([[:space:]]|$)" KNOWN-RED.txt
}
if [ -s KNOWN-RED.txt ]; then
    echo "known red:"
    sed 's/^/  /' KNOWN-RED.txt
fi

# Unit and invariant tests (CppUTest): each group in a process of its own, several at a time.
known_failed=0
rm -rf build/unit
mkdir -p build/unit
build/yucca-tests -lg | tr ' ' '\n' | grep . | sort -u >build/unit/groups
run_group() { timeout 300 build/yucca-tests -v -sg "$1" >"build/unit/$1.log" 2>&1 || true; }
export -f run_group
xargs -P "$((($(nproc) + 1) / 2))" -I{} bash -c 'run_group "$1"' run_group {} <build/unit/groups
# A group that crashed, timed out, ran nothing or printed no result counts as a failure.
incomplete=()
while read -r group; do
    grep -qE '^(OK|Errors) \(.* [1-9][0-9]* ran' "build/unit/$group.log" || incomplete+=("$group")
done <build/unit/groups
cat build/unit/*.log >build/unit.log
unit_ran=$(grep -E '^(OK|Errors) \(' build/unit.log | grep -oE '[0-9]+ ran' | awk '{n += $1} END {print n + 0}')
unit_listed=$(build/yucca-tests -ln | tr ' ' '\n' | grep -c .)
echo "unit tests: $unit_ran of $unit_listed ran, in $(wc -l <build/unit/groups) groups"
unit_failed=0
failed_tests=$(grep -oE 'Failure in TEST\([A-Za-z0-9_]+, [A-Za-z0-9_]+\)' build/unit.log | sed -E 's/.*\((.*), (.*)\)/\1.\2/' | sort -u || true)
for t in $failed_tests; do
    if known_red "$t"; then
        echo "known red, failed as listed: $t"
        known_failed=$((known_failed + 1))
    else
        unit_failed=$((unit_failed + 1))
    fi
done
if [ "$unit_failed" -gt 0 ]; then
    grep -A6 "Failure in" build/unit.log | head -80
fi
for group in "${incomplete[@]}"; do
    echo "unit tests, group $group: no result"
    tail -5 "build/unit/$group.log"
    unit_failed=$((unit_failed + 1))
done
if [ "$unit_ran" -ne "$unit_listed" ] && [ ${#incomplete[@]} -eq 0 ]; then
    echo "unit tests: some did not run"
    unit_failed=$((unit_failed + 1))
fi
for t in $(cut -d' ' -f1 KNOWN-RED.txt 2>/dev/null | grep -F . | grep -v '\.sh$' || true); do
    echo "$failed_tests" | grep -qx "$t" || echo "known red, but it passed: $t"
done

# End-to-end tests, with separate processes on loopback.
for t in tests/e2e/*.sh; do
    [ -e "$t" ] || continue
    log="build/$(basename "$t" .sh).log"
    if timeout 300 bash "$t" >"$log" 2>&1; then
        echo "e2e $(basename "$t"): ok"
        e2e_passed=$((e2e_passed + 1))
        ! known_red "$(basename "$t")" || echo "known red, but it passed: $(basename "$t")"
    elif known_red "$(basename "$t")"; then
        echo "e2e $(basename "$t"): known red, failed as listed"
        known_failed=$((known_failed + 1))
    else
        echo "e2e $(basename "$t"): FAILED"
        tail -n 30 "$log"
        e2e_failed=$((e2e_failed + 1))
    fi
done

# Detects changes of routing behaviour: the bench's signature is a hash of every decision of both policies. A change
# that alters routing must update tests/bench.signature.
sig=$(build/yucca-sim bench | awk '/^signature/ {print $2}')
if [ "$sig" = "$(cat tests/bench.signature)" ]; then
    echo "bench signature: ok ($sig)"
    e2e_passed=$((e2e_passed + 1))
else
    echo "bench signature: FAILED (got $sig, expected $(cat tests/bench.signature))"
    e2e_failed=$((e2e_failed + 1))
fi

# Runs one check, and prints the end of its output if it fails.
run_check() { # name, then the command
    local name=$1; shift
    if "$@" >"build/$name.log" 2>&1; then
        echo "$name: ok"
        e2e_passed=$((e2e_passed + 1))
    else
        echo "$name: FAILED"
        tail -n 30 "build/$name.log"
        e2e_failed=$((e2e_failed + 1))
    fi
}

run_check proofs scripts/proofs.sh
# All files must be formatted by clang-format (KDE Frameworks style).
run_check format clang-format --dry-run --Werror $(git ls-files '*.cpp' '*.h')
# Names of the platform's wire protocol must stay in platform/ and the emulators.
run_check names scripts/names.sh
run_check manpages scripts/manpages.sh
run_check lint scripts/lint.sh

passed=$((unit_ran - $(echo "$failed_tests" | grep -c . || true) + e2e_passed))
[ "$known_failed" -eq 0 ] || echo "$known_failed known red"
echo "$passed passed, $((unit_failed + e2e_failed)) failed"
[ "$((unit_failed + e2e_failed))" -eq 0 ]
