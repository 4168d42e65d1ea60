package rwversion

import (
	"sync"
	"time"

	"ragwortwall/internal/rwevidence"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a version move, as written to the store.
type State int

// The states of a version move.
const (
	StateNew       State = iota // not started yet
	StateRunning                // requests are being shifted
	StateCompleted              // all requests go to the new version; the old servers may stop
	StateTakenBack              // all requests go to the old version; the new servers may stop
)

// Move is a version move as stored: it shifts a service's requests to a new version.
type Move struct {
	Name     string
	Service  string
	Target   string        // the new version
	Duration time.Duration // from the first sight of the move to the deadline
	State    State
	Revision int64 // of the stored object
}

const (
	// canaryShare is the initial share of requests that go to the new version.
	canaryShare = 0.03
	// canaryEnd and rampEnd are fractions of the move's duration: up to the
	// first the share stays at canaryShare, at the second it reaches 1.
	canaryEnd = 0.35
	rampEnd   = 0.75
	// minCompletion is the fraction of the move's duration from which it may
	// complete. The old servers stop on completion, so until then they can finish
	// the requests that they still run.
	minCompletion = 0.9
	// maxRampLLR is the highest log-likelihood ratio of the failures at which
	// the share may increase. Above it a bad version is more likely than a good one.
	maxRampLLR = 0
)

// Total is the evidence collected on both versions of a move.
type Total struct {
	Old rwevidence.Evidence `json:"old"`
	New rwevidence.Evidence `json:"new"`
	Bad string              `json:"bad,omitempty"` // why the new version was found bad; empty if it was not
}

// Moves holds the version moves of all services. It is safe for concurrent use; the zero
// value is ready to use.
type Moves struct {
	mu    sync.Mutex
	moves map[string]*progress // by service
}

// progress is the progress of one move as this instance sees it.
type progress struct {
	Move
	firstSeen time.Time        // when this instance first saw the move
	share     float64          // of requests that go to the new version, from 0 to 1
	own       Total            // evidence of this instance
	peers     map[string]Total // evidence of the other instances, by name
	badReason string           // why the new version was found bad; empty if it was not
}

// Put adds or updates a move as read from the store. A move does not return
// to an earlier state, so outdated reads are ignored.
func (b *Moves) Put(o Move) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.moves == nil {
		b.moves = map[string]*progress{}
	}
	r, known := b.moves[o.Service]
	if !known || r.Target != o.Target || r.Name != o.Name {
		r = &progress{firstSeen: time.Now(), share: canaryShare, peers: map[string]Total{}}
		b.moves[o.Service] = r
	}
	if known && r.State > o.State && r.Target == o.Target {
		return // an outdated read
	}
	r.Move = o
}

// Remove deletes a move that is no longer in the store.
func (b *Moves) Remove(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, r := range b.moves {
		if r.Name == name {
			delete(b.moves, service)
		}
	}
}

// Allows returns a filter for the versions of a service that may run a request,
// or nil if the service has no move. request is the id of the request.
func (b *Moves) Allows(service, request string) func(version string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.moves[service]
	if !ok {
		return nil
	}
	target, toNew := r.Target, false
	switch {
	case r.badReason != "" || r.State == StateTakenBack:
	case r.State == StateCompleted:
		toNew = true
	default:
		r.raiseShare()
		toNew = hashToShare(request) < r.share
	}
	return func(version string) bool { return (version == target) == toNew }
}

// IsTakenBack reports whether a version was taken back. No request may go to it, even
// if no other version is available.
func (b *Moves) IsTakenBack(service, version string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.moves[service]
	return ok && version == r.Target && (r.badReason != "" || r.State == StateTakenBack)
}

// hashToShare hashes a request id to a number from 0 to 1. The result does not
// depend on the instance, so at the same share all choose the same version.
func hashToShare(request string) float64 {
	return float64(xxhash.Sum64String("version/"+request)>>11) / (1 << 53)
}

// raiseShare raises the share according to the elapsed time, unless the failures
// so far make a bad version more likely than a good one.
func (r *progress) raiseShare() {
	elapsed := float64(time.Since(r.firstSeen)) / float64(max(1, r.Duration))
	share := canaryShare
	if elapsed > canaryEnd {
		ramped := min(1, (elapsed-canaryEnd)/(rampEnd-canaryEnd))
		share = max(canaryShare, ramped*ramped)
	}
	total := r.sumEvidence()
	if share > r.share && rwevidence.FailureLLR(total.Old, total.New) <= maxRampLLR {
		r.share = share
	}
}

// sumEvidence returns the evidence summed over all instances.
func (r *progress) sumEvidence() Total {
	t := r.own
	for _, p := range r.peers {
		t.Old, t.New = t.Old.Plus(p.Old), t.New.Plus(p.New)
	}
	return t
}

// RecordAttempt records the result of a request to a server of the given version. It
// reports whether the new version was found bad by it.
func (b *Moves) RecordAttempt(service, version string, s rwevidence.Attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.moves[service]
	if !ok || r.State >= StateCompleted || r.badReason != "" {
		return false
	}
	if version == r.Target {
		r.own.New = r.own.New.With(s)
	} else {
		r.own.Old = r.own.Old.With(s)
	}
	return r.evaluate()
}

// evaluate compares the versions and reports whether the new one is bad.
func (r *progress) evaluate() bool {
	total := r.sumEvidence()
	r.badReason = rwevidence.Judge(total.Old, total.New)
	r.own.Bad = r.badReason
	return r.badReason != ""
}

// SetPeerEvidence replaces the evidence that another instance has sent about a service. It
// reports whether the new version was found bad by it.
func (b *Moves) SetPeerEvidence(peer, service string, t Total) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.moves[service]
	if !ok || r.State >= StateCompleted || r.badReason != "" {
		return false
	}
	r.peers[peer] = t
	if t.Bad != "" {
		r.badReason, r.own.Bad = t.Bad, t.Bad
		return true
	}
	return r.evaluate()
}

// OwnEvidence returns the evidence of this instance on every running move, by service.
func (b *Moves) OwnEvidence() map[string]Total {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := map[string]Total{}
	for service, r := range b.moves {
		if r.State < StateCompleted {
			own[service] = r.own
		}
	}
	return own
}

// Step is a state transition to be written to the store.
type Step struct {
	Move
	Next   State
	Reason string
}

// Steps returns the state transitions that are due.
func (b *Moves) Steps() []Step {
	b.mu.Lock()
	defer b.mu.Unlock()
	var steps []Step
	for _, r := range b.moves {
		if r.State >= StateCompleted {
			continue
		}
		r.raiseShare()
		elapsed := float64(time.Since(r.firstSeen)) / float64(max(1, r.Duration))
		switch {
		case r.badReason != "":
			steps = append(steps, Step{Move: r.Move, Next: StateTakenBack, Reason: r.badReason})
		case elapsed >= 1 && r.share < 1:
			steps = append(steps, Step{Move: r.Move, Next: StateTakenBack, Reason: "at the deadline its failures still speak against it"})
		case elapsed >= minCompletion && r.share >= 1:
			steps = append(steps, Step{Move: r.Move, Next: StateCompleted, Reason: "the new version held all requests"})
		case r.State == StateNew:
			steps = append(steps, Step{Move: r.Move, Next: StateRunning, Reason: "the canary begins"})
		}
	}
	return steps
}
