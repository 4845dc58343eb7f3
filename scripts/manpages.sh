#!/usr/bin/env bash
# Fails when a man page does not name an option or a command of its program, or lacks a required section.
set -euo pipefail
cd "$(dirname "$0")/.."
for page in docs/man/*.1; do
    program=$(basename "$page" .1)
    text=$(sed 's/\\-/-/g; s/\\f[BRI]//g' "$page")
    help=$(build/"$program" --help)
    names=$(echo "$help" | grep -oE -- '--[a-z-]+' | grep -vE '^--(help|usage)$' | sort -u)
    names+=" $(echo "$help" | sed -nE 's/^  ([a-z]+) [A-Z].*/\1/p')"
    for name in $names; do
        grep -qF -- "$name" <<<"$text" || { echo "$page: $name is missing"; exit 1; }
    done
    for section in NAME SYNOPSIS OPTIONS "EXIT STATUS"; do
        grep -qx "\.SH $section" "$page" || { echo "$page: no section $section"; exit 1; }
    done
done
echo "man pages: $(ls docs/man/*.1 | wc -l), every option named"
