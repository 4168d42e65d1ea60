package rwversion

import (
	"sync"
	"time"

	"ragwortwall/internal/rwevidence"

	"github.com/cespare/xxhash/v2"
)

// State is how far a move is, as written to the store.
type State int

// The states of a move.
const (
	StateNew       State = iota // not taken up yet
	StateRunning                // requests are moved
	StateCompleted              // the old servers may stop
	StateTakenBack              // the new servers may leave
)

// Order asks that a service's requests go to servers of a version.
type Order struct {
	Name     string
	Service  string
	Target   string
	Length   time.Duration // from the order to the deadline
	State    State
	Revision int64
}

// Settings of a move, as parts of its length.
const (
	// canaryShare is the share at the beginning; canaryEnd is until when it stays,
	// and rampEnd when all requests go to the new version.
	canaryShare = 0.03
	canaryEnd   = 0.35
	rampEnd     = 0.75
	// finishAt leaves time for what still runs at old servers, which stop at the
	// moment of completion.
	finishAt = 0.9
	// holdOdds are the odds of failures above which the share waits: from there on
	// they speak more for a bad version than for a good one.
	holdOdds = 0
)

// Total is what was seen of both versions of a move.
type Total struct {
	Old rwevidence.Evidence `json:"old"`
	New rwevidence.Evidence `json:"new"`
	Bad string              `json:"bad,omitempty"` // why the new version is bad
}

// Book holds the moves of all services. The zero value is ready.
type Book struct {
	mu    sync.Mutex
	moves map[string]*move // by service
}

type move struct {
	Order
	seen  time.Time // when the order was first seen
	share float64
	own   Total
	peers map[string]Total
	bad   string
}

// Put takes in an order as the store has it.
func (b *Book) Put(o Order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.moves == nil {
		b.moves = map[string]*move{}
	}
	m, known := b.moves[o.Service]
	if !known || m.Target != o.Target || m.Name != o.Name {
		m = &move{seen: time.Now(), share: canaryShare, peers: map[string]Total{}}
		b.moves[o.Service] = m
	}
	if known && m.State > o.State && m.Target == o.Target {
		return // what ended does not begin again
	}
	m.Order = o
}

// Remove forgets an order that is no longer in the store.
func (b *Book) Remove(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, m := range b.moves {
		if m.Name == name {
			delete(b.moves, service)
		}
	}
}

// Allows returns which versions of a service may run a request; nil for all.
func (b *Book) Allows(service, request string) func(version string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.moves[service]
	if !ok {
		return nil
	}
	target, toNew := m.Target, false
	switch {
	case m.bad != "" || m.State == StateTakenBack:
	case m.State == StateCompleted:
		toNew = true
	default:
		m.advance()
		toNew = place(request) < m.share
	}
	return func(version string) bool { return (version == target) == toNew }
}

// Barred reports whether a version was taken back: no request may go to it, even
// if there is no other.
func (b *Book) Barred(service, version string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.moves[service]
	return ok && version == m.Target && (m.bad != "" || m.State == StateTakenBack)
}

// place is a request's place between 0 and 1, the same on every instance.
func place(request string) float64 {
	return float64(xxhash.Sum64String("version/"+request)>>11) / (1 << 53)
}

// advance raises the share with the time, unless what was seen so far leans
// towards a bad version.
func (m *move) advance() {
	done := float64(time.Since(m.seen)) / float64(max(1, m.Length))
	share := canaryShare
	if done > canaryEnd {
		part := min(1, (done-canaryEnd)/(rampEnd-canaryEnd))
		share = max(canaryShare, part*part)
	}
	total := m.total()
	if share > m.share && rwevidence.FailureOdds(total.Old, total.New) <= holdOdds {
		m.share = share
	}
}

func (m *move) total() Total {
	t := m.own
	for _, p := range m.peers {
		t.Old, t.New = t.Old.Plus(p.Old), t.New.Plus(p.New)
	}
	return t
}

// Seen takes in what a request saw. It reports whether the new version was just
// found bad.
func (b *Book) Seen(service, version string, s rwevidence.Seen) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.moves[service]
	if !ok || m.State >= StateCompleted || m.bad != "" {
		return false
	}
	if version == m.Target {
		m.own.New = m.own.New.With(s)
	} else {
		m.own.Old = m.own.Old.With(s)
	}
	return m.judge()
}

func (m *move) judge() bool {
	total := m.total()
	m.bad = rwevidence.Judge(total.Old, total.New)
	m.own.Bad = m.bad
	return m.bad != ""
}

// Merge takes in what another instance has seen of a service. It reports whether
// the new version was just found bad.
func (b *Book) Merge(peer, service string, t Total) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.moves[service]
	if !ok || m.State >= StateCompleted || m.bad != "" {
		return false
	}
	m.peers[peer] = t
	if t.Bad != "" {
		m.bad, m.own.Bad = t.Bad, t.Bad
		return true
	}
	return m.judge()
}

// Own returns what this instance has seen, of each service that is moved.
func (b *Book) Own() map[string]Total {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := map[string]Total{}
	for service, m := range b.moves {
		if m.State < StateCompleted {
			own[service] = m.own
		}
	}
	return own
}

// Step is a state to be written to the store.
type Step struct {
	Order
	Next   State
	Reason string
}

// Steps returns what is to be written now.
func (b *Book) Steps() []Step {
	b.mu.Lock()
	defer b.mu.Unlock()
	var steps []Step
	for _, m := range b.moves {
		if m.State >= StateCompleted {
			continue
		}
		m.advance()
		done := float64(time.Since(m.seen)) / float64(max(1, m.Length))
		switch {
		case m.bad != "":
			steps = append(steps, Step{Order: m.Order, Next: StateTakenBack, Reason: m.bad})
		case done >= 1 && m.share < 1:
			steps = append(steps, Step{Order: m.Order, Next: StateTakenBack, Reason: "at the deadline its failures still speak against it"})
		case done >= finishAt && m.share >= 1:
			steps = append(steps, Step{Order: m.Order, Next: StateCompleted, Reason: "the new version held all requests"})
		case m.State == StateNew:
			steps = append(steps, Step{Order: m.Order, Next: StateRunning, Reason: "the canary begins"})
		}
	}
	return steps
}
