#!/bin/sh
# Runs the case and writes what was sent, answered and run to record.txt beside
# this file. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 runs it without the disruption.
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_folder/../.." || exit 2
rm -f "$case_folder/record.txt"
PYTHONDONTWRITEBYTECODE=1 timeout -k 5 115 python3 "$case_folder/case.py"
code=$?
[ -f "$case_folder/record.txt" ] || exit 2
[ "$code" -le 1 ] && exit "$code"
exit 2
