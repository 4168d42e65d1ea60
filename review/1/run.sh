#!/usr/bin/env bash
# Two generations in one session, and the instance that relays them is killed (see claim.txt).
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec timeout -k 5 115 target/review/standins --program target/rwentry --record review/1/record.txt --trouble=$trouble session
