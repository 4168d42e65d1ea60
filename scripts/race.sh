#!/usr/bin/env bash
# Runs the tests of a package that uses testing/synctest under the race detector.
#
# Go 1.26 gives all timers of a synctest bubble one race context. Two goroutines that
# receive from expired timer channels use it at the same time, which corrupts the
# detector's memory and ends the process. It can't happen on one processor, so that
# run has to pass. The run on all processors may end in that fault (RACE DETECTOR in
# KNOWN-RED.txt), but not with a race, a failed test or a panic.
set -uo pipefail
cd "$(dirname "$0")/.."
package=$1
mkdir -p out
out=out/race.txt

go test -race -cpu 1 "$package" || exit 1
if go test -race "$package" >"$out" 2>&1; then
	cat "$out"
	exit 0
fi
# Go code without unsafe can cause none of these: a nil pointer is a panic there.
corrupted='ThreadSanitizer: CHECK failed|^SIGSEGV: segmentation violation|^fatal error: (unexpected signal during runtime execution|s\.freeindex > s\.nelems)'
if grep -qE -e '--- FAIL|DATA RACE|^panic:' "$out" || ! grep -qE "$corrupted" "$out"; then
	cat "$out"
	exit 1
fi
echo "known red: race detector, $package: $(grep -m1 -E "$corrupted" "$out")"
