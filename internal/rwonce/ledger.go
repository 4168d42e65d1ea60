package rwonce

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Buckets is how many buckets the keys are spread over.
const Buckets = 4

// DefaultInterval is the least time between two commits of a bucket.
const DefaultInterval = 125 * time.Millisecond

// Ledger keeps records at the platform. Set the fields before first use.
type Ledger struct {
	Store    Store
	Interval time.Duration // least time between two commits of a bucket

	buckets [Buckets]bucket
}

// NewLedger returns a ledger over a store.
func NewLedger(store Store, interval time.Duration) *Ledger {
	l := &Ledger{Store: store, Interval: interval}
	for n := range l.buckets {
		l.buckets[n].number = n
		l.buckets[n].store = store
		l.buckets[n].interval = interval
	}
	return l
}

// Call identifies a call: the digest of organisation, route and key, and the
// digest of the body.
type Call struct {
	Key  string
	Body uint64
}

// BucketOf returns the bucket of a key.
func BucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// NewNonce returns a nonce for one Begin. It must be used for no other.
func NewNonce() string { return uuid.NewString() }

// Begin writes the record of a call before it is sent. It returns true when the
// caller of Begin, and nobody else ever, may send the call; the outcome when
// the call ran before; and an error otherwise. After any error the caller must
// not send it.
func (l *Ledger) Begin(ctx context.Context, c Call, nonce string) (bool, *Outcome, error) {
	r := l.buckets[BucketOf(c.Key)].do(ctx, &operation{
		key:    c.Key,
		record: Record{Body: c.Body, Nonce: nonce, State: StateSent, At: time.Now().Unix()},
	})
	return r.ticket, r.outcome, r.err
}

// End writes how a call ended: StateDone with its outcome, or StateNotRun when
// it is proved that no byte of it reached the service.
func (l *Ledger) End(ctx context.Context, c Call, nonce string, state State, outcome Outcome) error {
	if len(outcome.Payload) > PayloadMost {
		outcome.Payload = nil
	}
	r := l.buckets[BucketOf(c.Key)].do(ctx, &operation{
		key:    c.Key,
		record: Record{Body: c.Body, Nonce: nonce, State: state, Outcome: outcome},
	})
	return r.err
}
