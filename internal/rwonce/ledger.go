package rwonce

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
)

// Buckets is the number of buckets that keys are hashed into.
const Buckets = 4

// DefaultCommitInterval is the default minimum time between two commits of a bucket.
const DefaultCommitInterval = 125 * time.Millisecond

// Ledger stores call records at the platform. Create one with NewLedger.
type Ledger struct {
	Store    Store
	Interval time.Duration // minimum time between two commits of a bucket

	buckets [Buckets]bucket
}

// NewLedger returns a ledger that writes to store and commits each bucket at most
// once per interval.
func NewLedger(store Store, interval time.Duration, log logr.Logger) *Ledger {
	l := &Ledger{Store: store, Interval: interval}
	for n := range l.buckets {
		l.buckets[n].number = n
		l.buckets[n].store = store
		l.buckets[n].interval = interval
		l.buckets[n].log = log
	}
	return l
}

// LostRecords returns how many records this instance has found that the platform had lost.
func (l *Ledger) LostRecords() int64 {
	count := int64(0)
	for n := range l.buckets {
		count += l.buckets[n].lostRecords.Load()
	}
	return count
}

// Call identifies a call. Key is the digest of the organisation, the route and the
// caller's idempotency key; RequestDigest is the digest of the request.
type Call struct {
	Key           string
	RequestDigest uint64
}

// BucketOf returns the bucket number of a key.
func BucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// NewNonce returns a unique nonce. Each call of Begin needs its own.
func NewNonce() string { return uuid.NewString() }

// Begin writes the record of a call before the call is sent. It returns true if
// the caller of Begin has the sole right to send the call, or the recorded outcome
// if the call has already run. The error has KindMismatch if the key was used with
// another request, KindOutcomeUnknown if the call may have been sent and has no recorded
// outcome, and KindUnavailable if the record could not be written or read, or ctx ended
// first. After any error the call must not be sent.
func (l *Ledger) Begin(ctx context.Context, c Call, nonce string) (bool, *Outcome, error) {
	r := l.buckets[BucketOf(c.Key)].submit(ctx, &operation{
		key:    c.Key,
		record: Record{RequestDigest: c.RequestDigest, Nonce: nonce, State: StateSent, WrittenAt: time.Now().Unix()},
	})
	return r.granted, r.outcome, r.err
}

// End records the end of a call: StateDone with its outcome, or StateNotRun if it
// is certain that the call did not run. Payloads longer than MaxPayloadBytes are not
// stored. The error has KindUnavailable if the record could not be written or read, or
// ctx ended first.
func (l *Ledger) End(ctx context.Context, c Call, nonce string, state State, outcome Outcome) error {
	if len(outcome.Payload) > MaxPayloadBytes {
		outcome.Payload = nil
	}
	r := l.buckets[BucketOf(c.Key)].submit(ctx, &operation{
		key:    c.Key,
		record: Record{RequestDigest: c.RequestDigest, Nonce: nonce, State: state, Outcome: outcome},
	})
	return r.err
}
