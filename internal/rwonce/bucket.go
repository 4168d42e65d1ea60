package rwonce

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwplatform"
	"ragwortwall/pkg/rwset"

	"github.com/juju/errors"
)

// Store is the part of the platform's API that the records need.
type Store interface {
	rwplatform.Store

	ListLabel(ctx context.Context, kind rwobject.Kind, label, value string) ([]rwobject.Object, error)
	Delete(ctx context.Context, o rwobject.Object) error
}

// The times of a bucket.
const (
	flushTimeout  = 2500 * time.Millisecond
	expireEvery   = time.Minute
	conflictsMost = 4
	retryStore    = 2 * time.Second
	retryRunning  = time.Second
)

// reply is the answer to an operation.
type reply struct {
	ticket  bool
	outcome *Outcome
	err     error
}

// operation begins or ends a call.
type operation struct {
	key    string
	record Record // its state says what the operation does
	done   chan reply
}

// bucket commits operations in groups.
type bucket struct {
	number   int
	store    Store
	interval time.Duration // least time between two commits

	mu       sync.Mutex
	pending  []*operation
	flushing bool
	last     time.Time

	// What follows belongs to the one goroutine that flushes.
	loaded   bool
	object   rwobject.Object // the last segment
	current  segment
	places   map[string]int // segment of each key
	segments map[int]rwobject.Object
	void     rwset.Set[string] // nonces of begun calls that nobody will send
	expired  time.Time
}

// do hands in an operation and waits for its commit.
func (b *bucket) do(ctx context.Context, op *operation) reply {
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
		return reply{err: storeDown(ctx.Err())}
	}
}

func storeDown(cause error) error {
	return rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
		"the call was not run: its record could not be written: %v", cause).WithRetryAfter(retryStore).WithCause(cause)
}

// flushAll commits until nothing is pending.
func (b *bucket) flushAll() {
	for {
		b.mu.Lock()
		if len(b.pending) == 0 {
			b.flushing = false
			b.mu.Unlock()
			return
		}
		wait := b.interval - time.Since(b.last)
		b.mu.Unlock()
		if wait > 0 {
			time.Sleep(wait)
		}
		b.mu.Lock()
		operations := b.pending
		b.pending = nil
		b.last = time.Now()
		b.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		b.commit(ctx, operations)
		cancel()
	}
}

// commit applies a group of operations in one conditional write.
func (b *bucket) commit(ctx context.Context, operations []*operation) {
	for range conflictsMost {
		if err := b.load(ctx); err != nil {
			b.refuse(operations, err)
			return
		}
		err := b.tryCommit(ctx, operations)
		if err == nil {
			return
		}
		b.loaded = false
		if !rwerror.Is(err, rwerror.KindConflict) {
			b.refuse(operations, err)
			return
		}
	}
	b.refuse(operations, errors.New("other instances write the same records"))
}

// refuse answers operations whose group was not committed, as far as is known.
// Nobody will send the calls that they were to begin.
func (b *bucket) refuse(operations []*operation, cause error) {
	for _, op := range operations {
		if op.record.State == StateSent {
			b.void.Add(op.record.Nonce)
		}
		op.done <- reply{err: storeDown(cause)}
	}
}

// load reads the bucket's segments unless they are known.
func (b *bucket) load(ctx context.Context) error {
	if b.loaded {
		return nil
	}
	if b.void == nil {
		b.void = rwset.New[string]()
	}
	objects, err := b.store.ListLabel(ctx, rwobject.KindRecords, labelBucket, strconv.Itoa(b.number))
	if err != nil {
		return err
	}
	b.places = map[string]int{}
	b.segments = map[int]rwobject.Object{}
	b.current = segment{Records: map[string]Record{}}
	b.object = newSegment(b.number, b.current)
	for _, o := range objects {
		s, err := read(o)
		if err != nil {
			return err
		}
		b.segments[s.Number] = o
		for key := range s.Records {
			b.places[key] = s.Number
		}
		if s.Number >= b.current.Number {
			b.current = s
			b.object = o
		}
	}
	b.loaded = true
	return nil
}

func read(o rwobject.Object) (segment, error) {
	var s segment
	if err := json.Unmarshal(o.Spec, &s); err != nil {
		return s, errors.Annotatef(err, "records %s", o.Metadata.Name)
	}
	if s.Records == nil {
		s.Records = map[string]Record{}
	}
	return s, nil
}

// tryCommit writes what the operations change and answers them.
func (b *bucket) tryCommit(ctx context.Context, operations []*operation) error {
	if err := b.roll(ctx); err != nil {
		return err
	}
	next := b.current.clone()
	dirty := b.voidIn(next)
	replies := make([]reply, len(operations))
	for i, op := range operations {
		place, known := b.places[op.key]
		if known && place != b.current.Number {
			replies[i] = b.applyOld(ctx, place, op)
			continue
		}
		var changed bool
		replies[i], changed = apply(next, op)
		dirty = dirty || changed
	}
	if dirty {
		if err := b.write(ctx, next); err != nil {
			return err
		}
	} else if err := b.confirm(ctx, replies); err != nil {
		return err
	}
	for i, op := range operations {
		op.done <- replies[i]
	}
	b.expire(ctx)
	return nil
}

// confirm sees to it that no call is said to be unknown whose outcome another
// instance has recorded since the segment was read. A write that succeeds shows
// as much by itself.
func (b *bucket) confirm(ctx context.Context, replies []reply) error {
	unknown := slices.ContainsFunc(replies, func(r reply) bool { return rwerror.Is(r.err, rwerror.KindUnknown) })
	if !unknown {
		return nil
	}
	now, err := b.store.Get(ctx, rwobject.KindRecords, b.object.Metadata.Name)
	if err != nil {
		return err
	}
	if now.Metadata.ResourceVersion != b.object.Metadata.ResourceVersion {
		return errStale
	}
	return nil
}

var errStale = rwerror.New(rwerror.KindConflict, "read the records anew", "another instance has written the records")

// write replaces the last segment if it is still as it was read.
func (b *bucket) write(ctx context.Context, next segment) error {
	made, err := rwplatform.Apply(ctx, b.store, b.object.WithSpec(next))
	if err != nil {
		return err
	}
	b.object = made
	b.current = next
	b.segments[next.Number] = made
	for key := range next.Records {
		b.places[key] = next.Number
	}
	return nil
}

// roll seals a full segment and begins the next. Sealing is a conditional write
// too: whoever would still add a key to the old segment fails.
func (b *bucket) roll(ctx context.Context) error {
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
	b.object = newSegment(b.number, next)
	return b.write(ctx, next)
}

// voidIn marks records as not run whose writes were thought to have failed.
func (b *bucket) voidIn(s segment) bool {
	if len(b.void) == 0 {
		return false
	}
	dirty := false
	for key, r := range s.Records {
		if r.State == StateSent && b.void.Has(r.Nonce) {
			r.State = StateNotRun
			s.Records[key] = r
			dirty = true
		}
	}
	b.void.Clear()
	return dirty
}

// apply carries out one operation on a segment.
func apply(s segment, op *operation) (reply, bool) {
	have, known := s.Records[op.key]
	if op.record.State != StateSent {
		return applyEnd(s, op, have, known)
	}
	if !known || have.State == StateNotRun && have.Body == op.record.Body {
		s.Records[op.key] = op.record
		return reply{ticket: true}, true
	}
	return answerRepeat(have, op), false
}

// answerRepeat answers a call whose key has a record already.
func answerRepeat(have Record, op *operation) reply {
	switch {
	case have.Body != op.record.Body:
		return reply{err: rwerror.New(rwerror.KindMismatch, "use a new Idempotency-Key for a new call",
			"the key was used before with another body")}
	case have.State == StateDone:
		outcome := have.Outcome
		return reply{outcome: &outcome}
	default:
		return reply{err: rwerror.New(rwerror.KindUnknown, "send the same call with the same key again, or ask the service for its status; use no other key",
			"the call was sent before and its outcome is not known").WithRan(rwerror.RanUnknown).WithRetryAfter(retryRunning)}
	}
}

// applyEnd writes the outcome of a call. Only the writer that began it may, and
// a call that has ended stays as it is.
func applyEnd(s segment, op *operation, have Record, known bool) (reply, bool) {
	if !known || have.Nonce != op.record.Nonce || have.State != StateSent {
		return reply{}, false
	}
	have.State = op.record.State
	have.Outcome = op.record.Outcome
	s.Records[op.key] = have
	return reply{}, true
}

// applyOld carries out an operation on a key in a sealed segment.
func (b *bucket) applyOld(ctx context.Context, place int, op *operation) reply {
	o, err := b.store.Get(ctx, rwobject.KindRecords, segmentName(b.number, place))
	if err != nil {
		return reply{err: storeDown(err)}
	}
	s, err := read(o)
	if err != nil {
		return reply{err: storeDown(err)}
	}
	s = s.clone()
	answer, changed := apply(s, op)
	if !changed {
		return answer
	}
	made, err := rwplatform.Apply(ctx, b.store, o.WithSpec(s))
	if err != nil {
		return reply{err: storeDown(err)}
	}
	b.segments[place] = made
	return answer
}

// expire deletes sealed segments whose records are all old enough, or older
// than the least time when the bucket holds too many keys.
func (b *bucket) expire(ctx context.Context) {
	if time.Since(b.expired) < expireEvery {
		return
	}
	b.expired = time.Now()
	for number, o := range b.segments {
		if number == b.current.Number {
			continue
		}
		s, err := read(o)
		if err != nil {
			continue
		}
		age := time.Since(s.newest())
		if age < retainLeast || age < Retention && len(b.places) < keysMost {
			continue
		}
		if b.store.Delete(ctx, o) != nil {
			b.loaded = false // another instance changed it; read the bucket anew
			return
		}
		delete(b.segments, number)
		for key := range s.Records {
			delete(b.places, key)
		}
	}
}
