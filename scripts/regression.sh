#!/usr/bin/env bash
# Plays the deployments and days that are replayed before a landing on the users' bench, and
# keeps the output in out/regression. Arguments: the folder of the kit's pages with the bench,
# and a regular expression that picks lines of the list below (all by default).
set -uo pipefail
cd "$(dirname "$0")/.."
kit=${1:?usage: scripts/regression.sh KIT [REGEXP]}
only=${2:-.}
bench=$(ls "$kit"/more/bench-*/bin/fleetbench | tail -1)
jobs=$((($(nproc) + 1) / 2))
mkdir -p out/regression
failed=0

play() {
	local name=$1
	[[ $name =~ $only ]] || return 0
	shift
	local out=out/regression/${name// /-}.txt
	"$bench" "$@" --jobs "$jobs" >"$out" 2>&1
	grep -E 'GATE|with a rule broken|BROKEN' "$out" | sed "s/^/$name: /"
	if grep -qE 'GATE failed|BROKEN' "$out"; then
		failed=1
	fi
}

why="regression before a landing"
play "score wadi-script-now-grown" score "$kit/shifted/wadi-script-now-grown.toml" --why "$why"
play "score bight-hq-grown" score "$kit/demands/bight-hq-grown.toml" --why "$why"
play "score npq-quotes-grown" score "$kit/demands/npq-quotes-grown.toml" --why "$why"
play "score wadi-script" score "$kit/sites/wadi-script.toml" --why "$why"
play "score joto-layouts" score "$kit/sites/joto-layouts.toml" --why "$why"
play "score wadi-script-grown" score "$kit/grown/wadi-script-grown.toml" --why "$why"
play "score joto-layouts-grown" score "$kit/grown/joto-layouts-grown.toml" --why "$why"
play "quick wadi-script-large" score "$kit/large/wadi-script-large.toml" --quick --why "$why"
play "hunt wadi-script-now-grown" hunt "$kit/shifted/wadi-script-now-grown.toml" --days 8
play "hunt bight-hq-grown" hunt "$kit/demands/bight-hq-grown.toml" --days 8
play "hunt npq-quotes-grown" hunt "$kit/demands/npq-quotes-grown.toml" --days 8
play "hunt wadi-script" hunt "$kit/sites/wadi-script.toml" --days 42
play "hunt joto-layouts" hunt "$kit/sites/joto-layouts.toml" --days 42
play "hunt wadi-script-grown" hunt "$kit/grown/wadi-script-grown.toml" --days 8
play "hunt joto-layouts-grown" hunt "$kit/grown/joto-layouts-grown.toml" --days 8
play "hunt wadi-script-large" hunt "$kit/large/wadi-script-large.toml" --days 8
exit "$failed"
