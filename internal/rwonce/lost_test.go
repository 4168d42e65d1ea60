package rwonce

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwerror"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// copyStore returns a function that brings the present contents back: later writes are gone,
// and their resource versions are given out again.
func (s *lossyStore) copyStore() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, revision := maps.Clone(s.objects), s.revision
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.objects, s.revision = maps.Clone(objects), revision
	}
}

// beginCall begins a call and returns whether it was granted and what a repeat gets.
func beginCall(t *testing.T, l *Ledger, key string) (granted bool, status int, kind rwerror.Kind) {
	t.Helper()
	granted, outcome, err := l.Begin(t.Context(), Call{Key: key, RequestDigest: 1}, NewNonce())
	if outcome != nil {
		status = outcome.Status
	}
	if err != nil {
		kind = rwerror.As(err).Kind
	}
	return granted, status, kind
}

// TestRecordsLost guards against a call that runs a second time because the store came
// back from a copy that was made before its record: an instance that had the record knows
// it, and writes it again.
func TestRecordsLost(t *testing.T) {
	for name, c := range map[string]struct {
		before int // number of calls, in the same bucket, that the older copy has
		ended  bool
		status int
		kind   rwerror.Kind
	}{
		"ended, first of its bucket": {0, true, 201, ""},
		"ended, segment is older":    {3, true, 201, ""},
		"ended, segment is lost":     {maxSegmentRecords, true, 201, ""},
		"sent":                       {3, false, 0, rwerror.KindOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newLossyStore(1, 0)
				l, other := NewLedger(store, 0, logr.Discard()), NewLedger(store, 0, logr.Discard())
				keys := keysOfBucket(0, c.before+3)
				for _, key := range keys[:c.before] {
					granted, _, _ := beginCall(t, l, key)
					require.True(t, granted)
				}
				restore := store.copyStore()
				lost, next := keys[c.before], keys[c.before+1]
				nonce := NewNonce()
				granted, _, err := l.Begin(t.Context(), Call{Key: lost, RequestDigest: 1}, nonce)
				require.NoError(t, err)
				require.True(t, granted)
				if c.ended {
					require.NoError(t, l.End(t.Context(), Call{Key: lost, RequestDigest: 1}, nonce, StateDone, Outcome{Status: 201}))
				}
				restore()
				granted, _, _ = beginCall(t, l, next)
				require.True(t, granted, "the next call of the bucket")
				for _, ledger := range []*Ledger{l, other} {
					granted, status, kind := beginCall(t, ledger, lost)
					require.False(t, granted, "the call must not run again")
					require.Equal(t, c.status, status)
					require.Equal(t, c.kind, kind)
				}
			})
		})
	}
}

// TestRecordGrantedAgain checks that a record of an earlier copy doesn't replace one that
// another instance has written since.
func TestRecordGrantedAgain(t *testing.T) {
	b := &bucket{segmentByKey: map[string]int{}, lost: map[string]Record{}}
	earlier := Record{Nonce: "1", State: StateDone, WrittenAt: time.Now().Unix()}
	for name, c := range map[string]struct {
		record Record
		stored map[string]Record
		lost   bool
	}{
		"missing":         {earlier, nil, true},
		"end is missing":  {earlier, map[string]Record{"k": {Nonce: "1", State: StateSent}}, true},
		"the same":        {earlier, map[string]Record{"k": earlier}, false},
		"has ended since": {Record{Nonce: "1", State: StateSent, WrittenAt: earlier.WrittenAt}, map[string]Record{"k": earlier}, false},
		"granted again":   {earlier, map[string]Record{"k": {Nonce: "2", State: StateSent}}, false},
		"may be expired":  {Record{Nonce: "1", State: StateDone, WrittenAt: time.Now().Add(-2 * minRetention).Unix()}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			clear(b.lost)
			b.checkLost("k", c.record, c.stored)
			require.Equal(t, c.lost, len(b.lost) == 1)
		})
	}
}

// TestLostRecordFound guards against a record that was taken for lost because of an outdated
// list, and then replaces a later one of its key.
func TestLostRecordFound(t *testing.T) {
	now := time.Now().Unix()
	sent := Record{Nonce: "1", State: StateSent, WrittenAt: now}
	for name, stored := range map[string]Record{
		"the same":      sent,
		"has ended":     {Nonce: "1", State: StateDone, WrittenAt: now},
		"granted again": {Nonce: "2", State: StateSent, WrittenAt: now},
	} {
		t.Run(name, func(t *testing.T) {
			store := newLossyStore(1, 0)
			b := &bucket{store: store, lost: map[string]Record{"k": sent}}
			_, err := store.Create(t.Context(), newSegmentObject(0, segment{Records: map[string]Record{"k": stored}}))
			require.NoError(t, err)
			require.NoError(t, b.load(t.Context()))
			require.Empty(t, b.lost)
			require.Equal(t, stored, b.current.Records["k"])
		})
	}
}

// keysOfBucket returns keys that are hashed into a bucket.
func keysOfBucket(bucket, count int) []string {
	var keys []string
	for len(keys) < count {
		key := NewNonce()
		if BucketOf(key) == bucket {
			keys = append(keys, key)
		}
	}
	return keys
}
