#!/usr/bin/env bash
# Two of three instances of a zone are stopped in turn; one takes a stream late (see claim.txt).
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec timeout -k 5 115 target/review/standins --program target/rwentry --record review/3/record.txt --trouble=$trouble latestop
