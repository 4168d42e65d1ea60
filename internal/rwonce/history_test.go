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
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// lossyStore is a store that drops requests and responses at random.
type lossyStore struct {
	mu              sync.Mutex
	random          *rand.Rand
	lossProbability float64
	delayUnit       time.Duration // a call is delayed by up to 39 units
	objects         map[string]rwobject.Object
	revision        int
	writes          int
}

var errLost = rwerror.New(rwerror.KindUnavailable, "", "lost").WithRan(rwerror.RanUnknown)

func newLossyStore(seed uint64, loss float64) *lossyStore {
	return &lossyStore{random: rand.New(rand.NewPCG(seed, 0)), lossProbability: loss, objects: map[string]rwobject.Object{}}
}

// callWithLoss runs a store operation. The request may be lost before it takes
// effect, or the response after.
func (s *lossyStore) callWithLoss(call func() (rwobject.Object, error)) (rwobject.Object, error) {
	s.mu.Lock()
	pause := time.Duration(s.random.IntN(40)) * s.delayUnit
	requestLost, responseLost := s.random.Float64() < s.lossProbability, s.random.Float64() < s.lossProbability
	s.mu.Unlock()
	time.Sleep(pause)
	if requestLost {
		return rwobject.Object{}, errLost
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, err := call()
	if responseLost {
		return rwobject.Object{}, errLost
	}
	return o, err
}

func (s *lossyStore) Get(_ context.Context, _ rwobject.Kind, name string) (rwobject.Object, error) {
	return s.callWithLoss(func() (rwobject.Object, error) {
		o, ok := s.objects[name]
		if !ok {
			return o, rwerror.New(rwerror.KindNotFound, "", "not found")
		}
		return o, nil
	})
}

// put stores an object under a new resource version. s.mu must be held.
func (s *lossyStore) put(o rwobject.Object) rwobject.Object {
	s.writes++
	s.revision++
	o.Metadata.ResourceVersion = strconv.Itoa(s.revision)
	s.objects[o.Metadata.Name] = o
	return o
}

func (s *lossyStore) Create(_ context.Context, o rwobject.Object) (rwobject.Object, error) {
	return s.callWithLoss(func() (rwobject.Object, error) {
		if _, ok := s.objects[o.Metadata.Name]; ok {
			return o, rwerror.New(rwerror.KindConflict, "", "exists")
		}
		return s.put(o), nil
	})
}

func (s *lossyStore) Update(_ context.Context, o rwobject.Object) (rwobject.Object, error) {
	return s.callWithLoss(func() (rwobject.Object, error) {
		if s.objects[o.Metadata.Name].Metadata.ResourceVersion != o.Metadata.ResourceVersion {
			return o, rwerror.New(rwerror.KindConflict, "", "changed")
		}
		return s.put(o), nil
	})
}

func (s *lossyStore) Delete(_ context.Context, o rwobject.Object) error {
	_, err := s.callWithLoss(func() (rwobject.Object, error) {
		delete(s.objects, o.Metadata.Name)
		return o, nil
	})
	return err
}

func (s *lossyStore) ListLabel(_ context.Context, _ rwobject.Kind, label, value string) ([]rwobject.Object, error) {
	var all []rwobject.Object
	_, err := s.callWithLoss(func() (rwobject.Object, error) {
		for o := range maps.Values(s.objects) {
			if o.Metadata.Labels[label] == value {
				all = append(all, o)
			}
		}
		return rwobject.Object{}, nil
	})
	return all, err
}

// modelInput is a Begin or End of one key.
type modelInput struct {
	end   State // state set by an End; empty for a Begin
	nonce string
}

// modelOutput is the result of a modelInput.
type modelOutput string

const (
	outputGranted modelOutput = "ticket"  // the Begin may send the call
	outputDone    modelOutput = "done"    // the Begin got the recorded outcome
	outputUnknown modelOutput = "unknown" // the outcome of an earlier Begin is unknown
	outputFailed  modelOutput = "refused" // an error; the write may have taken effect
	outputEnded   modelOutput = "ended"   // the End succeeded
)

// keyState is the model's record of one key. An abandoned record was written by a
// Begin that returned an error: it may later be seen as sent or as not run.
type keyState struct {
	state     State
	nonce     string
	abandoned bool
}

// onceModel is the sequential specification of one key.
var onceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyState{}} },
	Step: func(from, input, output any) []any {
		return nextStates(from.(keyState), input.(modelInput), output.(modelOutput))
	},
	Equal: func(a, b any) bool { return a == b },
}

// nextStates returns the states that a key may have after an operation with the given
// output. There is none if the output is wrong in state s.
func nextStates(s keyState, in modelInput, out modelOutput) []any {
	free := s.state == "" || s.state == StateNotRun || s.abandoned
	mine := s.state == StateSent && s.nonce == in.nonce
	switch {
	case in.end != "" && out == outputEnded && mine:
		return []any{keyState{state: in.end, nonce: in.nonce}}
	case in.end != "" && out == outputEnded:
		return []any{s}
	case in.end != "" && mine: // the End failed, and may or may not have been written
		return []any{s, keyState{state: in.end, nonce: in.nonce}}
	case in.end != "":
		return []any{s}
	case out == outputGranted && free:
		return []any{keyState{state: StateSent, nonce: in.nonce}}
	case out == outputDone && s.state == StateDone:
		return []any{s}
	case out == outputUnknown && s.state == StateSent:
		return []any{s}
	case out == outputFailed && free:
		return []any{s, keyState{state: StateSent, nonce: in.nonce, abandoned: true}}
	case out == outputFailed:
		return []any{s}
	}
	return nil
}

// runCaller repeats one call through a ledger, as an instance does for a caller that
// retries, and passes each operation to record.
func runCaller(l *Ledger, id int, seed uint64, record func(modelInput, func() modelOutput)) {
	random := rand.New(rand.NewPCG(seed, uint64(id)))
	call := Call{Key: "key", RequestDigest: 1}
	for n := range 4 {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		nonce := fmt.Sprintf("%d-%d", id, n)
		granted := false
		record(modelInput{nonce: nonce}, func() modelOutput {
			ok, outcome, err := l.Begin(context.Background(), call, nonce)
			granted = ok
			switch {
			case ok:
				return outputGranted
			case outcome != nil:
				return outputDone
			case rwerror.Is(err, rwerror.KindOutcomeUnknown):
				return outputUnknown
			default:
				return outputFailed
			}
		})
		if !granted {
			continue
		}
		state := StateDone
		if random.IntN(3) == 0 {
			state = StateNotRun
		}
		record(modelInput{nonce: nonce, end: state}, func() modelOutput {
			if l.End(context.Background(), call, nonce, state, Outcome{Status: 201}) != nil {
				return outputFailed
			}
			return outputEnded
		})
	}
}

// TestHistories guards against a call being sent twice. Two ledgers share one
// store that loses requests and responses while four callers repeat the same call;
// each history must be linearizable with respect to a single record.
func TestHistories(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newLossyStore(seed, 0.15)
				store.delayUnit = time.Millisecond
				ledgers := []*Ledger{NewLedger(store, 20*time.Millisecond, logr.Discard()), NewLedger(store, 20*time.Millisecond, logr.Discard())}
				var mu sync.Mutex
				var history []porcupine.Operation
				var wait sync.WaitGroup
				for id := range 4 {
					wait.Go(func() {
						runCaller(ledgers[id%2], id, seed, func(in modelInput, do func() modelOutput) {
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

// TestManyKeys guards against keys in sealed segments being forgotten. It begins
// enough calls to seal segments, then begins each again through a second ledger,
// which must grant none of them.
func TestManyKeys(t *testing.T) {
	for _, keys := range []int{1, maxSegmentRecords, Buckets * maxSegmentRecords, 10 * maxSegmentRecords} {
		t.Run(strconv.Itoa(keys), func(t *testing.T) {
			store := newLossyStore(1, 0)
			require.Equal(t, keys, countGranted(NewLedger(store, 0, logr.Discard()), keys))
			require.Zero(t, countGranted(NewLedger(store, 0, logr.Discard()), keys), "calls granted a second time")
		})
	}
}

// countGranted begins calls concurrently and returns how many may be sent.
func countGranted(l *Ledger, keys int) (count int) {
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
