#!/usr/bin/env bash
# Verifies each model in spec/ with Spin, and checks that Spin rejects each broken
# variant of the model. Prints the number of states that were searched.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v spin >/dev/null || { echo "spin is missing: apt-get install spin" >&2; exit 1; }
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# check MODEL VARIANT FLAGS: prints the number of errors that Spin found.
check() {
	local model=$PWD/spec/$1.pml variant=$2
	(
		cd "$work"
		rm -f pan*
		spin ${variant:+-D"$variant"} -a "$model" >/dev/null
		gcc -O2 -DSAFETY -DMEMLIM=2048 -o pan pan.c 2>/dev/null
		./pan -m200000 $3 >out.txt
		grep -oE 'errors: [0-9]+' out.txt | grep -oE '[0-9]+'
	)
}

states() { grep -oE '[0-9]+ states, stored' "$work/out.txt" | grep -oE '^[0-9]+'; }

for file in spec/*.pml; do
	model=$(basename "$file" .pml)
	errors=$(check "$model" "" "")
	if [ "$errors" = 0 ] && ! grep -q 'max search depth too small' "$work/out.txt"; then
		echo "ok    $model: no error in $(states) states"
		passed=$((passed + 1))
	else
		echo "FAIL  $model: $errors errors"
		failed=$((failed + 1))
	fi
	for variant in $(sed -n '/Broken variants/,/\*\//p' "$file" | grep -oE '^ \*   [A-Z]+' | grep -oE '[A-Z]+'); do
		# A variant must violate a property. A deadlock counts as a violation only if
		# the variant's line in the model says so.
		flags=-E
		if grep -q "$variant (by deadlock)" "$file"; then flags=""; fi
		errors=$(check "$model" "$variant" "$flags")
		if [ "$errors" != 0 ]; then
			echo "ok    $model without its guard ($variant): rejected"
			passed=$((passed + 1))
		else
			echo "FAIL  $model without its guard ($variant): not rejected"
			failed=$((failed + 1))
		fi
	done
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
