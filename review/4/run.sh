#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
# TROUBLE=0 does the same without the disruption; the case reads it.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
PYTHONPATH=target/deps timeout -k 5 110 python3 review/4/case.py
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
