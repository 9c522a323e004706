#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 1 115 target/review/case-5 review/5/record.txt
code=$?
[ $code -le 1 ] || exit 2
exit $code
