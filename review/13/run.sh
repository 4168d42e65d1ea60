#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/rvcase3 ] && [ -x target/rwentry ] || { echo "build first: the deploy file, then review/build-3.sh" >&2; exit 2; }
exec target/review-3/rvcase3 -case drain -record review/13/record.txt
