#!/usr/bin/env bash
# Mutation tests: disables one guard of the code at a time, in a scratch copy, and
# checks that the named test then fails. Arguments of breaks: package, test, file,
# text to replace, replacement. With an argument, this script runs only the lines
# whose test matches it, a regular expression.
set -uo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git ls-files -z | tar --null -T - -cf - | tar -xf - -C "$work"
caught=0
missed=0
only=${1:-.}

breaks() {
	local package=$1 test=$2 file=$3 from=$4 to=$5
	[[ $test =~ $only ]] || return 0
	if ! FROM=$from TO=$to perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/ or exit 3' "$work/$file" || ! grep -qF -- "$to" "$work/$file"; then
		echo "GONE   $file: $from"
		missed=$((missed + 1))
	elif (cd "$work" && timeout 100 go test -vet=off -count=1 -run "$test" "./$package") >"$work/out.txt" 2>&1; then
		echo "MISSED $test does not notice: $file: $from"
		missed=$((missed + 1))
	else
		echo "caught $test: $file: $from"
		caught=$((caught + 1))
	fi
	cp "$file" "$work/$file"
}

g=internal/rwgeneration
breaks internal/rwserve 'TestAnswerAfterLoss/engine_killed' $g/attempt.go 'ids = append(ids, t.ID)' '_ = t'
breaks internal/rwserve 'TestAnswerAfterLoss/primary_frozen' internal/rwgateway/relay.go 'guard.Reset(primaryStallTimeout)' 'guard.Reset(time.Hour)'
breaks internal/rwserve 'TestAnswerAfterLoss/engine_frozen' $g/watchdog.go 'idle < probeAfterIdle' 'true'
breaks internal/rwserve 'TestAnswerRollingKills$' $g/serve.go 'g.onlyLocalReaders() && p.HasOtherInstances()' 'false'
breaks internal/rwserve 'TestAnswerReconnectAtPrimary' $g/serve.go 'caughtUp := len(tokens) < maxChunkTokens' 'caughtUp := true'
breaks internal/rwserve 'TestPoison' internal/rwserve/server.go 'return r.Resume ||' 'return r.Resume &&'
breaks internal/rwserve 'TestAnswerOrphanCancelled' $g/primary.go 'g.orphaned(OrphanTimeout)' 'false'
breaks internal/rwserve 'TestAnswerKeyWithOtherBody' internal/rwserve/claims.go 'return e.bodyHash == bodyHash' 'return true'
breaks internal/rwserve 'TestPoison' $g/trial.go 'if e.proven || e.leader == g {' 'if true {'
breaks internal/rwserve 'TestOrder' internal/rwservice/proxy.go 'if outcome != nil {' 'if outcome != nil && false {'
breaks internal/rwserve 'TestOrderAllAtOnce' internal/rwonce/bucket.go 'if !known || have.State == StateNotRun' 'if !known || have.State == StateSent || have.State == StateNotRun'
breaks internal/rwserve 'TestOrderStoreAnswersLost' internal/rwplatform/apply.go 'if found && current.Nonce() == o.Nonce() {' 'if false {'
breaks internal/rwserve 'TestSettingsNeverRevert' internal/rwsettings/follower.go 'o.Metadata.Generation <= tree.Generation(name)' 'o.Metadata.Generation == tree.Generation(name)'
breaks internal/rwserve 'TestMoveContained' internal/rwmove/mover.go 'if m.isContained(move) || hashToShare' 'if hashToShare'
breaks internal/rwonce 'TestHistories' internal/rwonce/bucket.go 'if !unknown {' 'if !unknown || true {'
breaks internal/rwonce 'TestHistories' internal/rwplatform/apply.go 'if found && current.Nonce() == o.Nonce() {' 'if found {'
breaks internal/rwonce 'TestManyKeys' internal/rwonce/bucket.go 'b.segmentByKey[key] = s.Number' '_ = key'
breaks internal/rwslot 'TestPoolTwoOwners' internal/rwslot/pool.go 'time.Now().Add(WarmUp)' 'time.Now()'
breaks internal/rwslot 'TestPoolRefuses' internal/rwslot/pool.go '!p.MayGrant()' 'false'
breaks internal/rwslot 'TestPoolFair' internal/rwslot/queue.go 'case w.tag != other.tag:' 'case false:'
breaks internal/rwslot 'TestPoolSuspects' internal/rwslot/pool.go 'if !r.Suspect {' 'if true {'
breaks internal/rwmove 'TestSimulationBad' internal/rwevidence/evidence.go 'FailureLLR(before, after) > badThreshold' 'false'
breaks internal/rwmove 'TestSimulationGood' internal/rwevidence/evidence.go 'max(minFailureRate, (before' 'min(minFailureRate, (before'
breaks internal/rwgeneration 'TestStopMatcher' $g/stop.go 'len(m.text) - m.partialMatch()' 'len(m.text)'
breaks internal/rwcursor 'TestCursor' internal/rwcursor/cursor.go 'h.Write([]byte(organisation))' '_ = organisation'
breaks internal/rwtoken 'TestJournalRefuses' internal/rwtoken/journal.go 'if have != digest {' 'if have != digest && false {'
breaks internal/rwretry 'TestBudget' internal/rwretry/budget.go 'if balance < 1 {' 'if balance < -1e9 {'
breaks internal/rwpoison 'TestRegistry' internal/rwpoison/registry.go 'isolated && len(e.servers) >= QuarantineThreshold' 'len(e.servers) >= QuarantineThreshold'
# Guards of package rwentry, whose instances run on the users' platform, of the
# packages that it uses, and of rwservice, which also uses rwattempt.
f=internal/rwforward
breaks platform 'TestRequestSmuggling' $f/forwarder.go 'len(r.TransferEncoding) > 0 || f.ShuttingDown()' 'f.ShuttingDown()'
breaks platform 'TestForgedHeaders' platform/headers.go 'set(headerTenant, o.Organisation)' '_ = o.Organisation'
breaks platform 'TestRevokedKey' internal/rwentry/instance.go 'time.Duration(revocationMargin * float64(i.Settings.RevocationBound))' 'time.Hour'
breaks platform 'TestInvalidObjectsIgnored' internal/rwfeed/store.go 'w.needsList = true
		default' 'w.needsList = false
		default'
breaks platform 'TestVersionMove' internal/rwentry/moves.go 'm.recordSteps(ctx)' '_ = ctx'
breaks internal/rwbackend 'TestEntries' internal/rwbackend/directory.go 'if !s.Leaving {' 'if true {'
breaks $f 'TestStatus' $f/refuse.go 'return http.StatusBadGateway' 'return code'
breaks internal/rwrelay 'TestSequencer' internal/rwrelay/event.go 's.started && e.ID <= s.last' 'false'
breaks internal/rwrelay 'TestSequencerResumed' internal/rwrelay/event.go 's.started && e.ID > s.last+1' 'false'
breaks internal/rwfeed 'TestCacheNeverGoesBack' internal/rwfeed/cache.go 'b.Revision < c.revision' 'false'
breaks internal/rwfeed 'TestServersListedAgain' internal/rwfeed/servers.go '!entry.Leaving && time.Since(s.StoreRecoveredAt()) < relistTimeout' '!entry.Leaving && false'
breaks internal/rwfeed 'TestFollowPeer' internal/rwfeed/peer.go 'time.Duration(confirmed - receivedAt).Milliseconds()' '0 * time.Duration(confirmed - receivedAt).Milliseconds()'
breaks internal/rwlink 'TestExchangeLate' internal/rwlink/conn.go 'owns != nil && !owns(response.Header)' 'false'
breaks internal/rwlink 'TestExtraBytes' internal/rwlink/conn.go 'c.reader.Buffered() == 0' 'true'
breaks internal/rwlink 'TestPool' internal/rwlink/pool.go 'open = errors.Is(err, unix.EAGAIN)' 'open = errors.Is(err, unix.EAGAIN) || true'
breaks internal/rwpick 'TestStreamZoneLoss' internal/rwpick/stream.go 'compared >= maxCandidates' 'false'
breaks internal/rwpick 'TestStream/copy' internal/rwpick/stream.go 'cost += sameZoneTokens' 'cost += 0'
breaks internal/rwversion 'TestBadVersion' internal/rwversion/moves.go 'case p.badReason != "" || p.State == StateTakenBack:' 'case p.State == StateTakenBack:'
breaks internal/rwbackend 'TestZoneLoss' internal/rwbackend/evidence.go 'lost < minZoneLosses' 'lost < 1'
breaks internal/rwbackend 'TestRunsOfPeers' internal/rwbackend/evidence.go 'run.Started = r.hasStarted' 'run.Started = run.Started && r.hasStarted'
breaks internal/rwattempt 'TestRunAtMostOnce' internal/rwattempt/plan.go 'r.Outcome == OutcomeUnsent && p.CanContinue()' 'r.Outcome == OutcomeUnsent || r.Outcome == OutcomeUnknown'
breaks internal/rwattempt 'TestNeverTwice' internal/rwattempt/plan.go 'case r.Outcome == OutcomeNotRun' 'case r.Outcome != OutcomeAnswered'
breaks internal/rwservice 'TestOnce' internal/rwservice/proxy.go 'case rwattempt.OutcomeUnknown:' 'case rwattempt.OutcomeRefused:'
breaks platform 'TestEndWithoutEvents' $f/relay.go 's.emptyEndAttempt == 0' 'false'
breaks platform 'TestRefusedStream' $f/stream.go 'return s.emptyEndAttempt > 0 && ' 'return '
breaks platform 'TestEmptyStream' $f/relay.go 's.eventsSent > 0 && s.attempts == 1' 's.attempts == 1'
breaks $f 'TestVerifyAsync' $f/replacement.go '!description.Ready || description.Incarnation <= old.Incarnation' 'description.Incarnation <= old.Incarnation'
breaks $f 'TestFind' $f/finder.go 's.done && time.Since(s.startedAt) > searchInterval' 'time.Since(s.startedAt) > 0'
breaks internal/rwroute 'TestProvides' internal/rwroute/table.go 'slices.Contains(s.Engine.Models, model) != (name == service)' 'name == service && !slices.Contains(s.Engine.Models, model)'
breaks internal/rwfeed 'TestUnlistedServer' internal/rwfeed/servers.go 'gone || s.missing[e.ID]' 's.missing[e.ID] && gone'
breaks internal/rwfeed 'TestNoWait' internal/rwfeed/peer.go 'request.WaitMillis, maxStaleness = 0, maxPeerStalenessNoWait' 'maxStaleness = maxPeerStalenessNoWait'
breaks internal/rwfeed 'TestServersRunDeadlock' internal/rwfeed/servers.go 'age, known := s.Age()
	s.mu.Lock()
	defer s.mu.Unlock()' 's.mu.Lock()
	defer s.mu.Unlock()
	age, known := s.Age()'
breaks internal/rwfeed 'TestFollowAfterStart' internal/rwfeed/peer.go 'if missing {' 'if false {'
breaks internal/rwpick 'TestStreamWithCachedPrompt' internal/rwpick/stream.go 's.Suspect || s.SilentSinceLoss || !hasRoom' 's.Suspect || !hasRoom'
breaks internal/rwlog 'TestSlowReader' internal/rwlog/log.go 'len(w.pending)+len(line) > maxPendingBytes' 'false'
breaks internal/rwpeer 'TestZoneLossBounded' internal/rwpeer/outbox.go 'if after > limit {' 'if false {'
breaks internal/rwpeer 'TestRepeatedHello' internal/rwpeer/start.go 'a.waiting > 0 || repeat' 'a.waiting > 0'
d=internal/rwduty
breaks internal/rwduty 'TestLostAnswer' $d/machine.go 'm.until = max(m.until, after(a.at, m.rules.Hold))' 'm.until = max(m.until, after(m.positionAt, m.rules.Hold))'
breaks internal/rwduty 'TestRandomSchedules' $d/machine.go 'due = after(due, m.rules.Length)' 'due = after(due, 0)'
breaks internal/rwduty 'TestRandomSchedules' $d/rules.go 'Hold: length * 3 / 4' 'Hold: length'
breaks internal/rwduty 'TestFormerHolder' $d/machine.go 'return after(max(m.startedAt, m.calledTo), m.rules.Return)' 'return 0'
breaks internal/rwduty 'TestFreeInOlderCopy' $d/machine.go 'm.free = r.Record.Free && r.Record.fence() >= first' 'm.free = r.Record.Free'
breaks internal/rwduty 'TestTakeOver' $d/machine.go 'r.Record.Free || r.Record.fence() < first {' 'r.Record.Free {'
breaks internal/rwduty 'TestRandomSchedules' $d/machine.go 'a.record.Count == r.Record.Count' 'true'
breaks internal/rwduty 'TestReleaseWaits' $d/machine.go 'm.leaving && !idle' 'm.leaving && false'
breaks internal/rwduty 'TestCallEnds' $d/call.go 'if now >= c.until {' 'if false {'
echo "$caught passed, $missed failed"
[ "$missed" = 0 ]
