package rwonce

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwplatform"
	"ragwortwall/pkg/rwset"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// Store is the part of the platform's API that a Ledger uses.
type Store interface {
	rwplatform.Store

	ListLabel(ctx context.Context, kind rwobject.Kind, label, value string) ([]rwobject.Object, error)
	Delete(ctx context.Context, o rwobject.Object) error
}

// Timeouts and limits of a bucket.
const (
	flushTimeout      = 2500 * time.Millisecond
	expireInterval    = time.Minute
	maxCommitAttempts = 4
	storeRetryAfter   = 2 * time.Second
	unknownRetryAfter = time.Second
)

// reply is the result of an operation.
type reply struct {
	// granted is set if the caller may send the call.
	granted bool
	outcome *Outcome
	err     error
}

// operation is a pending Begin or End.
type operation struct {
	key    string
	record Record // StateSent for a Begin, StateDone or StateNotRun for an End
	done   chan reply
}

// bucket commits operations in groups. flushing is set while a goroutine runs
// flushAll.
type bucket struct {
	number   int
	store    Store
	interval time.Duration // minimum time between two commits
	log      logr.Logger

	mu         sync.Mutex
	pending    []*operation
	flushing   bool
	lastCommit time.Time

	lostRecords atomic.Int64 // records found lost, since the start

	// The fields below are used only by the goroutine that runs flushAll.
	loaded          bool
	currentObject   rwobject.Object // holds the current segment as last read or written
	current         segment
	segmentByKey    map[string]int // segment number of each key
	segmentObjects  map[int]rwobject.Object
	abandonedNonces rwset.Set[string] // nonces of failed Begins, whose calls will not be sent
	lost            map[string]Record // records by key that the store had and lost; the next commit writes them again
	lastExpiry      time.Time
}

// submit queues an operation and waits until it is committed or ctx ends.
func (b *bucket) submit(ctx context.Context, op *operation) reply {
	op.done = make(chan reply, 1)
	b.mu.Lock()
	b.pending = append(b.pending, op)
	if !b.flushing {
		b.flushing = true
		go b.flushAll()
	}
	b.mu.Unlock()
	select {
	case r := <-op.done:
		return r
	case <-ctx.Done():
		return reply{err: storeUnavailable(ctx.Err())}
	}
}

func storeUnavailable(cause error) error {
	return rwerror.New(rwerror.KindUnavailable, "retry after the time in Retry-After",
		"the call was not run: its record could not be written: %v", cause).WithRetryAfter(storeRetryAfter).WithCause(cause)
}

// flushAll commits pending operations, at most one group per interval, until none
// is left.
func (b *bucket) flushAll() {
	for {
		b.mu.Lock()
		if len(b.pending) == 0 {
			b.flushing = false
			b.mu.Unlock()
			return
		}
		wait := b.interval - time.Since(b.lastCommit)
		b.mu.Unlock()
		if wait > 0 {
			time.Sleep(wait)
		}
		b.mu.Lock()
		operations := b.pending
		b.pending = nil
		b.lastCommit = time.Now()
		b.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		b.commit(ctx, operations)
		cancel()
	}
}

// commit applies a group of operations and retries after write conflicts.
func (b *bucket) commit(ctx context.Context, operations []*operation) {
	for range maxCommitAttempts {
		if err := b.load(ctx); err != nil {
			b.failAll(operations, err)
			return
		}
		err := b.tryCommit(ctx, operations)
		if err == nil {
			return
		}
		b.loaded = false
		// A segment is missing if the store came back from an older copy of its contents.
		if !rwerror.Is(err, rwerror.KindConflict) && !rwerror.Is(err, rwerror.KindNotFound) {
			b.failAll(operations, err)
			return
		}
	}
	b.failAll(operations, errors.New("too many write conflicts with other instances"))
}

// failAll answers operations with an error after a failed commit. The write may
// still have taken effect, so the nonces of Begins are kept for markAbandoned:
// their calls will not be sent.
func (b *bucket) failAll(operations []*operation, cause error) {
	for _, op := range operations {
		if op.record.State == StateSent {
			b.abandonedNonces.Add(op.record.Nonce)
		}
		op.done <- reply{err: storeUnavailable(cause)}
	}
}

// load reads the bucket's segments unless they are loaded.
func (b *bucket) load(ctx context.Context) error {
	if b.loaded {
		return nil
	}
	if b.abandonedNonces == nil {
		b.abandonedNonces = rwset.New[string]()
	}
	objects, err := b.store.ListLabel(ctx, rwobject.KindRecords, labelBucket, strconv.Itoa(b.number))
	if err != nil {
		return err
	}
	earlier := b.segmentObjects
	b.segmentByKey = map[string]int{}
	b.segmentObjects = map[int]rwobject.Object{}
	b.current = segment{Records: map[string]Record{}}
	b.currentObject = newSegmentObject(b.number, b.current)
	for _, o := range objects {
		s, err := decodeSegment(o)
		if err != nil {
			b.segmentObjects = earlier
			return err
		}
		b.segmentObjects[s.Number] = o
		for key := range s.Records {
			b.segmentByKey[key] = s.Number
		}
		if s.Number >= b.current.Number {
			b.current = s
			b.currentObject = o
		}
	}
	if err := b.findLost(earlier); err != nil {
		return err
	}
	b.loaded = true
	return nil
}

func decodeSegment(o rwobject.Object) (segment, error) {
	var s segment
	if err := json.Unmarshal(o.Spec, &s); err != nil {
		return s, errors.Annotatef(err, "records %s", o.Metadata.Name)
	}
	if s.Records == nil {
		s.Records = map[string]Record{}
	}
	return s, nil
}

// tryCommit applies the operations, writes the changed segment with one conditional
// write, and answers the operations if the write succeeds.
func (b *bucket) tryCommit(ctx context.Context, operations []*operation) error {
	if err := b.rollSegment(ctx); err != nil {
		return err
	}
	next := b.current.clone()
	dirty := b.addLost(next)
	dirty = b.markAbandoned(next) || dirty
	replies := make([]reply, len(operations))
	for i, op := range operations {
		number, known := b.segmentByKey[op.key]
		if known && number != b.current.Number {
			replies[i] = b.applySealed(ctx, number, op)
			continue
		}
		dirty = b.addLostKey(next, op.key) || dirty
		var changed bool
		replies[i], changed = apply(next, op)
		dirty = dirty || changed
	}
	if dirty {
		if err := b.write(ctx, next); err != nil {
			return err
		}
	} else if err := b.confirmUnchanged(ctx, replies); err != nil {
		return err
	}
	for i, op := range operations {
		op.done <- replies[i]
	}
	b.expire(ctx)
	return nil
}

// confirmUnchanged returns errStale if a reply says that an outcome is unknown and
// the current segment has changed at the platform since it was read, because
// another instance may have recorded that outcome. A group that changes the segment
// needs no such check: its conditional write fails if the segment has changed.
func (b *bucket) confirmUnchanged(ctx context.Context, replies []reply) error {
	unknown := slices.ContainsFunc(replies, func(r reply) bool { return rwerror.Is(r.err, rwerror.KindOutcomeUnknown) })
	if !unknown {
		return nil
	}
	latest, err := b.store.Get(ctx, rwobject.KindRecords, b.currentObject.Metadata.Name)
	if err != nil {
		return err
	}
	if latest.Metadata.ResourceVersion != b.currentObject.Metadata.ResourceVersion {
		return errStale
	}
	return nil
}

var errStale = rwerror.New(rwerror.KindConflict, "reload the records", "another instance has changed the records")

// write replaces the current segment with a conditional write on the version that
// was last read.
func (b *bucket) write(ctx context.Context, next segment) error {
	written, err := rwplatform.WriteConditionally(ctx, b.store, b.currentObject.WithSpec(next))
	if err != nil {
		return err
	}
	b.currentObject = written
	b.current = next
	b.segmentObjects[next.Number] = written
	for key := range next.Records {
		b.segmentByKey[key] = next.Number
		delete(b.lost, key)
	}
	return nil
}

// rollSegment seals the current segment if it is full, and starts the next one.
// Sealing is a conditional write too, so an instance with an older copy of the segment
// can't add a key to it any more.
func (b *bucket) rollSegment(ctx context.Context) error {
	if !b.current.Sealed {
		if !b.current.full() {
			return nil
		}
		sealed := b.current
		sealed.Sealed = true
		if err := b.write(ctx, sealed); err != nil {
			return err
		}
	}
	next := segment{Number: b.current.Number + 1, Records: map[string]Record{}}
	b.currentObject = newSegmentObject(b.number, next)
	return b.write(ctx, next)
}

// markAbandoned sets the records of abandoned nonces to StateNotRun: their Begin was
// answered with an error although the write took effect. It reports whether it
// changed the segment.
func (b *bucket) markAbandoned(s segment) bool {
	if len(b.abandonedNonces) == 0 {
		return false
	}
	dirty := false
	for key, r := range s.Records {
		if r.State == StateSent && b.abandonedNonces.Has(r.Nonce) {
			r.State = StateNotRun
			s.Records[key] = r
			dirty = true
		}
	}
	b.abandonedNonces.Clear()
	return dirty
}

// apply applies an operation to a segment and reports whether the segment changed.
func apply(s segment, op *operation) (reply, bool) {
	have, known := s.Records[op.key]
	if op.record.State != StateSent {
		return applyEnd(s, op, have, known)
	}
	if !known || have.State == StateNotRun && have.RequestDigest == op.record.RequestDigest {
		s.Records[op.key] = op.record
		return reply{granted: true}, true
	}
	return answerRepeat(have, op), false
}

// answerRepeat answers a Begin whose key already has a record.
func answerRepeat(have Record, op *operation) reply {
	switch {
	case have.RequestDigest != op.record.RequestDigest:
		return reply{err: rwerror.New(rwerror.KindMismatch, "use a new Idempotency-Key for a new call",
			"the Idempotency-Key was already used with a different body")}
	case have.State == StateDone:
		outcome := have.Outcome
		return reply{outcome: &outcome}
	default:
		return reply{err: rwerror.New(rwerror.KindOutcomeUnknown, "repeat the call with the same key, or ask the service for its status; do not use another key",
			"the call was already sent and its outcome is unknown").WithRan(rwerror.RanUnknown).WithRetryAfter(unknownRetryAfter)}
	}
}

// applyEnd records the end of a call. It ignores an End whose nonce is not the one
// of the Begin, and one of a call that has already ended.
func applyEnd(s segment, op *operation, have Record, known bool) (reply, bool) {
	if !known || have.Nonce != op.record.Nonce || have.State != StateSent {
		return reply{}, false
	}
	have.State = op.record.State
	have.Outcome = op.record.Outcome
	s.Records[op.key] = have
	return reply{}, true
}

// applySealed applies an operation to a key in a sealed segment, with a conditional
// write of its own.
func (b *bucket) applySealed(ctx context.Context, number int, op *operation) reply {
	o, err := b.store.Get(ctx, rwobject.KindRecords, segmentName(b.number, number))
	if err != nil {
		return reply{err: storeUnavailable(err)}
	}
	s, err := decodeSegment(o)
	if err != nil {
		return reply{err: storeUnavailable(err)}
	}
	s = s.clone()
	answer, changed := apply(s, op)
	if !changed {
		return answer
	}
	written, err := rwplatform.WriteConditionally(ctx, b.store, o.WithSpec(s))
	if err != nil {
		return reply{err: storeUnavailable(err)}
	}
	b.segmentObjects[number] = written
	return answer
}

// expire deletes sealed segments whose records are all older than Retention, or
// older than minRetention if the bucket holds maxBucketKeys or more. It does so at
// most once per expireInterval.
func (b *bucket) expire(ctx context.Context) {
	if time.Since(b.lastExpiry) < expireInterval {
		return
	}
	b.lastExpiry = time.Now()
	for number, o := range b.segmentObjects {
		if number == b.current.Number {
			continue
		}
		s, err := decodeSegment(o)
		if err != nil {
			continue
		}
		age := time.Since(s.newestRecordTime())
		if age < minRetention || age < Retention && len(b.segmentByKey) < maxBucketKeys {
			continue
		}
		if b.store.Delete(ctx, o) != nil {
			b.loaded = false // another instance changed the segment; reload the bucket
			return
		}
		delete(b.segmentObjects, number)
		for key := range s.Records {
			delete(b.segmentByKey, key)
		}
	}
}
