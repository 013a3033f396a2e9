#!/bin/bash
# See claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# With TROUBLE=0 it does the same without the disruption, and must pass.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
exec timeout --preserve-status -s INT -k 5 110 python3 run.py
