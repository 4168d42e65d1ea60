package rwonce

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwobject"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// lossyStore is a store whose answers, and writes, get lost.
type lossyStore struct {
	mu       sync.Mutex
	random   *rand.Rand
	loss     float64
	pace     time.Duration // a call takes up to 40 times this
	objects  map[string]rwobject.Object
	revision int
	writes   int
}

var errLost = rwerror.New(rwerror.KindUnavailable, "", "lost").WithRan(rwerror.RanUnknown)

func newLossyStore(seed uint64, loss float64) *lossyStore {
	return &lossyStore{random: rand.New(rand.NewPCG(seed, 0)), loss: loss, objects: map[string]rwobject.Object{}}
}

// around runs a call of the store: lost before it takes effect, or after, or not.
func (s *lossyStore) around(call func() (rwobject.Object, error)) (rwobject.Object, error) {
	s.mu.Lock()
	pause := time.Duration(s.random.IntN(40)) * s.pace
	before, after := s.random.Float64() < s.loss, s.random.Float64() < s.loss
	s.mu.Unlock()
	time.Sleep(pause)
	if before {
		return rwobject.Object{}, errLost
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, err := call()
	if after {
		return rwobject.Object{}, errLost
	}
	return o, err
}

func (s *lossyStore) Get(_ context.Context, _ rwobject.Kind, name string) (rwobject.Object, error) {
	return s.around(func() (rwobject.Object, error) {
		o, ok := s.objects[name]
		if !ok {
			return o, rwerror.New(rwerror.KindNotFound, "", "not found")
		}
		return o, nil
	})
}

func (s *lossyStore) put(o rwobject.Object) rwobject.Object {
	s.writes++
	s.revision++
	o.Metadata.ResourceVersion = strconv.Itoa(s.revision)
	s.objects[o.Metadata.Name] = o
	return o
}

func (s *lossyStore) Create(_ context.Context, o rwobject.Object) (rwobject.Object, error) {
	return s.around(func() (rwobject.Object, error) {
		if _, ok := s.objects[o.Metadata.Name]; ok {
			return o, rwerror.New(rwerror.KindConflict, "", "exists")
		}
		return s.put(o), nil
	})
}

func (s *lossyStore) Update(_ context.Context, o rwobject.Object) (rwobject.Object, error) {
	return s.around(func() (rwobject.Object, error) {
		if s.objects[o.Metadata.Name].Metadata.ResourceVersion != o.Metadata.ResourceVersion {
			return o, rwerror.New(rwerror.KindConflict, "", "changed")
		}
		return s.put(o), nil
	})
}

func (s *lossyStore) Delete(_ context.Context, o rwobject.Object) error {
	_, err := s.around(func() (rwobject.Object, error) {
		delete(s.objects, o.Metadata.Name)
		return o, nil
	})
	return err
}

func (s *lossyStore) ListLabel(_ context.Context, _ rwobject.Kind, label, value string) ([]rwobject.Object, error) {
	var all []rwobject.Object
	_, err := s.around(func() (rwobject.Object, error) {
		for o := range maps.Values(s.objects) {
			if o.Metadata.Labels[label] == value {
				all = append(all, o)
			}
		}
		return rwobject.Object{}, nil
	})
	return all, err
}

// step is one call of the ledger on one key.
type step struct {
	end   State // of an End; empty for a Begin
	nonce string
}

// told is what the ledger answered.
type told string

const (
	toldTicket  told = "ticket"
	toldDone    told = "done"
	toldUnknown told = "unknown"
	toldRefused told = "refused" // it may have been written all the same
	toldEnded   told = "ended"
)

// keyState is the record of one key. A void record was written by a Begin that
// was refused: it may count as sent, or as not run.
type keyState struct {
	state State
	nonce string
	void  bool
}

// onceModel is what histories of one key are checked against.
var onceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyState{}} },
	Step: func(from, input, output any) []any {
		return next(from.(keyState), input.(step), output.(told))
	},
	Equal: func(a, b any) bool { return a == b },
}

func next(s keyState, in step, out told) []any {
	free := s.state == "" || s.state == StateNotRun || s.void
	mine := s.state == StateSent && s.nonce == in.nonce
	switch {
	case in.end != "" && out == toldEnded && mine:
		return []any{keyState{state: in.end, nonce: in.nonce}}
	case in.end != "" && out == toldEnded:
		return []any{s}
	case in.end != "" && mine: // refused: written or not
		return []any{s, keyState{state: in.end, nonce: in.nonce}}
	case in.end != "":
		return []any{s}
	case out == toldTicket && free:
		return []any{keyState{state: StateSent, nonce: in.nonce}}
	case out == toldDone && s.state == StateDone:
		return []any{s}
	case out == toldUnknown && s.state == StateSent:
		return []any{s}
	case out == toldRefused && free:
		return []any{s, keyState{state: StateSent, nonce: in.nonce, void: true}}
	case out == toldRefused:
		return []any{s}
	}
	return nil
}

// caller is one instance that handles repeats of one call.
func caller(l *Ledger, id int, seed uint64, record func(step, func() told)) {
	random := rand.New(rand.NewPCG(seed, uint64(id)))
	call := Call{Key: "key", Body: 1}
	for n := range 4 {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		nonce := fmt.Sprintf("%d-%d", id, n)
		ticket := false
		record(step{nonce: nonce}, func() told {
			ok, outcome, err := l.Begin(context.Background(), call, nonce)
			ticket = ok
			switch {
			case ok:
				return toldTicket
			case outcome != nil:
				return toldDone
			case rwerror.Is(err, rwerror.KindUnknown):
				return toldUnknown
			default:
				return toldRefused
			}
		})
		if !ticket {
			continue
		}
		state := StateDone
		if random.IntN(3) == 0 {
			state = StateNotRun
		}
		record(step{nonce: nonce, end: state}, func() told {
			if l.End(context.Background(), call, nonce, state, Outcome{Status: 201}) != nil {
				return toldRefused
			}
			return toldEnded
		})
	}
}

// TestHistories has two ledgers with one store serve repeats of one call, with
// store answers lost, and checks that each history is one that a single record
// could have given.
func TestHistories(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newLossyStore(seed, 0.15)
				store.pace = time.Millisecond
				ledgers := []*Ledger{NewLedger(store, 20*time.Millisecond), NewLedger(store, 20*time.Millisecond)}
				var mu sync.Mutex
				var history []porcupine.Operation
				var wait sync.WaitGroup
				for id := range 4 {
					wait.Go(func() {
						caller(ledgers[id%2], id, seed, func(in step, do func() told) {
							began := time.Now().UnixNano()
							out := do()
							mu.Lock()
							defer mu.Unlock()
							history = append(history, porcupine.Operation{ClientId: id, Input: in, Call: began, Output: out, Return: time.Now().UnixNano()})
						})
					})
				}
				wait.Wait()
				model := onceModel.ToModel()
				require.True(t, porcupine.CheckOperations(model, history), "seed %d: %v", seed, history)
			})
		})
	}
}

// TestManyKeys uses enough keys for segments to be sealed, and begins every call
// again through another ledger: each must be known.
func TestManyKeys(t *testing.T) {
	for _, keys := range []int{1, segmentRecords, Buckets * segmentRecords, 10 * segmentRecords} {
		t.Run(strconv.Itoa(keys), func(t *testing.T) {
			store := newLossyStore(1, 0)
			require.Equal(t, keys, tickets(NewLedger(store, 0), keys))
			require.Zero(t, tickets(NewLedger(store, 0), keys), "second tickets")
		})
	}
}

// tickets begins calls, all at once, and counts those that may be sent.
func tickets(l *Ledger, keys int) (count int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for n := range keys {
		wait.Go(func() {
			ok, _, _ := l.Begin(context.Background(), Call{Key: strconv.Itoa(n)}, NewNonce())
			mu.Lock()
			defer mu.Unlock()
			if ok {
				count++
			}
		})
	}
	wait.Wait()
	return count
}
