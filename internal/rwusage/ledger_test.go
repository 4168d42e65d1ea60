package rwusage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// at returns the time some seconds after the end of window 100.
func at(seconds float64) Time {
	return windowEnd(100, testWindow).Add(time.Duration(seconds * float64(time.Second)))
}

func newLedger(closed int64) *ledger {
	return &ledger{window: testWindow, due: testDue, settle: 3 * time.Second, closed: closed}
}

func windows(reports []Report) []int64 {
	var all []int64
	for _, r := range reports {
		all = append(all, r.Window)
	}
	return all
}

// TestNextToClose guards against windows that are closed too early, twice or out of order, and
// against those whose reports the store may have lost.
func TestNextToClose(t *testing.T) {
	for name, c := range map[string]struct {
		closed     int64
		now        Time
		doubtUntil Time
		window     int64
		skipped    int64
		ok         bool
	}{
		"has not settled":    {closed: 99, now: at(2.9)},
		"has settled":        {closed: 99, now: at(3), window: 100, ok: true},
		"is closed":          {closed: 100, now: at(3)},
		"earlier ones first": {closed: 97, now: at(3), window: 98, ok: true},
		"too old":            {closed: 97, now: at(46), window: 102, skipped: 4, ok: true},
		"closed long ago":    {closed: 5, now: at(30), window: 99, skipped: 93, ok: true},
		"in doubt":           {closed: 98, now: at(9), doubtUntil: at(4), window: 101, skipped: 2, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(c.closed)
			l.doubtUntil = c.doubtUntil
			window, skipped, ok := l.nextToClose(c.now)
			require.Equal(t, c.ok, ok)
			require.Equal(t, c.window, window)
			require.Equal(t, c.skipped, skipped)
		})
	}
}

// TestLedgerSends guards against a report that is sent although it is reported or too old, before
// it is in the store, or with other counts than before.
func TestLedgerSends(t *testing.T) {
	counts := map[string]int64{"a": 3}
	l := newLedger(90)
	l.learn(95, 94, at(0))
	require.EqualValues(t, 95, l.closed)
	for _, window := range []int64{80, 94, 99, 100} {
		l.adopt(Report{window, counts}, 1)
	}
	require.Equal(t, []int64{99, 100}, windows(l.toSend(1, at(1))))
	require.EqualValues(t, 94, l.reportedThrough())
	require.Equal(t, []int64{80}, l.toDelete(at(1)))

	l.reports[99].sent, l.reports[99].calls = true, 1
	require.Equal(t, []int64{100, 99}, windows(l.toSend(1, at(1))), "one whose answers get lost doesn't hold others up")
	require.Empty(t, l.toSend(2, at(1)), "the store has come back older")
	require.Equal(t, []int64{94, 99, 100}, windows(l.toRestore(2, at(1))))

	l.adopt(Report{100, map[string]int64{"a": 4}}, 2)
	require.Equal(t, []Report{{100, map[string]int64{"a": 4}}}, l.toSend(2, at(1)), "what the store says, as nothing was sent")
	l.adopt(Report{99, map[string]int64{"a": 4}}, 2)
	require.Equal(t, []int64{100}, windows(l.toSend(2, at(1))), "another content was sent")
	l.reports[100].reported = true
	require.Empty(t, l.toSend(2, at(1)))
}

// TestLedgerLearns guards against a wrong word that closes windows which haven't ended.
func TestLedgerLearns(t *testing.T) {
	l := newLedger(90)
	l.learn(101, 101, at(1))
	require.EqualValues(t, 90, l.closed)
	require.EqualValues(t, 0, l.reported)
}
