#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
[ -x ../../target/release/marjoram ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 2 118 python3 -B case.py
