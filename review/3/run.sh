#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
review/build.sh || exit 2
REPOSITORY=$PWD timeout 110 build/review/case-3 review/3/record.txt
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
