#!/usr/bin/env bash
# Runs the tests of one package under the race detector. It is for packages that use
# testing/synctest, where the detector itself can crash. Arguments: the package and,
# optionally, a regular expression of tests to skip.
#
# In Go 1.26, all timers of a synctest bubble share one race context. Goroutines that
# receive from expired timer channels can use it at the same time, which corrupts the
# detector's memory and ends the process. With -cpu 1 this can't happen, so the first
# run must pass. The second run, on all processors, may end in this crash (RACE DETECTOR
# in KNOWN-RED.txt), but not in a data race, a failed test or a panic.
set -uo pipefail
cd "$(dirname "$0")/.."
package=$1
skip=${2:-}
mkdir -p out
out=out/race.txt

go test -race -cpu 1 -skip "$skip" "$package" || exit 1
if go test -race -skip "$skip" "$package" >"$out" 2>&1; then
	cat "$out"
	exit 0
fi
# The messages of this crash. Go code that doesn't use unsafe can't cause them: it
# panics when it dereferences a nil pointer.
corrupted='ThreadSanitizer: CHECK failed|^SIGSEGV: segmentation violation|^fatal error: (unexpected signal during runtime execution|s\.freeindex > s\.nelems)'
if grep -qE -e '--- FAIL|DATA RACE|^panic:' "$out" || ! grep -qE "$corrupted" "$out"; then
	cat "$out"
	exit 1
fi
echo "known red: race detector, $package: $(grep -m1 -E "$corrupted" "$out")"
