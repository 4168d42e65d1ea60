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
	Duration time.Duration // until the deadline, from when an instance first sees the move
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
func (m *Moves) Put(move Move) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.moves == nil {
		m.moves = map[string]*progress{}
	}
	p, known := m.moves[move.Service]
	if !known || p.Target != move.Target || p.Name != move.Name {
		p = &progress{firstSeen: time.Now(), share: canaryShare, peers: map[string]Total{}}
		m.moves[move.Service] = p
	}
	if known && p.State > move.State && p.Target == move.Target {
		return // an outdated read
	}
	p.Move = move
}

// Remove deletes a move that is no longer in the store.
func (m *Moves) Remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, p := range m.moves {
		if p.Name == name {
			delete(m.moves, service)
		}
	}
}

// VersionFilter returns a filter for the versions of a service that may run a request,
// or nil if the service has no move. request is the id of the request.
func (m *Moves) VersionFilter(service, request string) func(version string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.moves[service]
	if !ok {
		return nil
	}
	target, toNew := p.Target, false
	switch {
	case p.badReason != "" || p.State == StateTakenBack:
	case p.State == StateCompleted:
		toNew = true
	default:
		p.raiseShare()
		toNew = hashToShare(request) < p.share
	}
	return func(version string) bool { return (version == target) == toNew }
}

// IsTakenBack reports whether a version was taken back. No request may go to it, even
// if no other version is available.
func (m *Moves) IsTakenBack(service, version string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.moves[service]
	return ok && version == p.Target && (p.badReason != "" || p.State == StateTakenBack)
}

// hashToShare hashes a request id to a number from 0 to 1. The result does not
// depend on the instance, so at the same share all choose the same version.
func hashToShare(request string) float64 {
	return float64(xxhash.Sum64String("version/"+request)>>11) / (1 << 53)
}

// raiseShare raises the share according to the elapsed time, unless the failures
// so far make a bad version more likely than a good one.
func (p *progress) raiseShare() {
	elapsed := float64(time.Since(p.firstSeen)) / float64(max(1, p.Duration))
	share := canaryShare
	if elapsed > canaryEnd {
		ramped := min(1, (elapsed-canaryEnd)/(rampEnd-canaryEnd))
		share = max(canaryShare, ramped*ramped)
	}
	total := p.sumEvidence()
	if share > p.share && rwevidence.FailureLLR(total.Old, total.New) <= maxRampLLR {
		p.share = share
	}
}

// sumEvidence returns the evidence summed over all instances.
func (p *progress) sumEvidence() Total {
	t := p.own
	for _, peer := range p.peers {
		t.Old, t.New = t.Old.Plus(peer.Old), t.New.Plus(peer.New)
	}
	return t
}

// RecordAttempt records the result of a request to a server of the given version. It
// reports whether the new version is found bad by this result. It returns false if the
// move has ended or the version was found bad before.
func (m *Moves) RecordAttempt(service, version string, a rwevidence.Attempt) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.moves[service]
	if !ok || p.State >= StateCompleted || p.badReason != "" {
		return false
	}
	if version == p.Target {
		p.own.New = p.own.New.With(a)
	} else {
		p.own.Old = p.own.Old.With(a)
	}
	return p.evaluate()
}

// evaluate compares the versions, records the reason if the new one is bad, and reports
// whether it is.
func (p *progress) evaluate() bool {
	total := p.sumEvidence()
	p.badReason = rwevidence.Judge(total.Old, total.New)
	p.own.Bad = p.badReason
	return p.badReason != ""
}

// SetPeerEvidence replaces the evidence that another instance has sent about a service.
// It reports whether the new version is found bad by this evidence. It returns false if
// the move has ended or the version was found bad before.
func (m *Moves) SetPeerEvidence(peer, service string, t Total) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.moves[service]
	if !ok || p.State >= StateCompleted || p.badReason != "" {
		return false
	}
	p.peers[peer] = t
	if t.Bad != "" {
		p.badReason, p.own.Bad = t.Bad, t.Bad
		return true
	}
	return p.evaluate()
}

// OwnEvidence returns the evidence of this instance on every move that has not
// ended, by service.
func (m *Moves) OwnEvidence() map[string]Total {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := map[string]Total{}
	for service, p := range m.moves {
		if p.State < StateCompleted {
			own[service] = p.own
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
func (m *Moves) Steps() []Step {
	m.mu.Lock()
	defer m.mu.Unlock()
	var steps []Step
	for _, p := range m.moves {
		if p.State >= StateCompleted {
			continue
		}
		p.raiseShare()
		elapsed := float64(time.Since(p.firstSeen)) / float64(max(1, p.Duration))
		switch {
		case p.badReason != "":
			steps = append(steps, Step{Move: p.Move, Next: StateTakenBack, Reason: p.badReason})
		case elapsed >= 1 && p.share < 1:
			steps = append(steps, Step{Move: p.Move, Next: StateTakenBack, Reason: "at the deadline its failures still speak against it"})
		case elapsed >= minCompletion && p.share >= 1:
			steps = append(steps, Step{Move: p.Move, Next: StateCompleted, Reason: "the new version held all requests"})
		case p.State == StateNew:
			steps = append(steps, Step{Move: p.Move, Next: StateRunning, Reason: "the canary begins"})
		}
	}
	return steps
}
