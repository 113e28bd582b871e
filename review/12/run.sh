#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.  What was sent, answered and run goes to
# record.txt in this folder.
cd "$(dirname "$0")" || exit 2
case "${TROUBLE:-1}" in 0) trouble=0 ;; *) trouble=1 ;; esac
rm -f record.txt
python3 -B case.py --trouble "$trouble" --record record.txt
status=$?
# An error of the case is no finding: without a result in the record it is 2.
grep -q "result: " record.txt || exit 2
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
