package rwversion

import (
	"maps"
	"math"
	"sync"
	"time"

	"ragwortwall/internal/rwevidence"
	"ragwortwall/pkg/rwset"

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
	Era      int64 // of the store that has the object at Revision
	Revision int64 // of the stored object
	Created  int64 // revision at which the object was created; zero if unknown
}

// Order identifies the order of a move. One that was deleted and written again is another order,
// even if it says the same.
type Order struct {
	Era     int64 `json:"era,omitempty"`
	Created int64 `json:"created"` // zero if unknown, as from a former build
}

// order returns the identity of the move's order.
func (m Move) order() Order { return Order{Era: m.Era, Created: m.Created} }

// differs reports whether the orders are known to be different ones. In a new era the store
// may have written the same order again.
func (o Order) differs(other Order) bool {
	return o.Era == other.Era && o.Created != 0 && other.Created != 0 && o.Created != other.Created
}

// before reports whether m was read from the store before other.
func (m Move) before(other Move) bool {
	return m.Era < other.Era || m.Era == other.Era && m.Revision < other.Revision
}

const (
	// minTrialShare and maxTrialShare limit the share of requests that go to the new
	// version until it is trusted.
	minTrialShare = 0.03
	maxTrialShare = 0.3
	// trialAttempts is how many attempts the share is chosen for, until trialEnd.
	trialAttempts = 12
	// maxTrialAttempts is how many attempts of all instances may go to a version that is
	// not trusted.
	maxTrialAttempts = 40
	// trustedResults is how many results make a version trusted, if they don't speak
	// against it.
	trustedResults = 8
	// trialEnd, thinEvidence and rampEnd are fractions of the move's duration: the trial
	// is planned to end at the first; from the second on, fewer results are enough if none
	// is overdue; at the third the share reaches 1.
	trialEnd     = 0.35
	thinEvidence = 0.8
	rampEnd      = 0.75
	// minCompletion is the fraction of the move's duration from which it may
	// complete. The old servers stop on completion, so until then they can finish
	// the requests that they still run.
	minCompletion = 0.9
	// minRepeatInterval is the shortest interval at which unchanged evidence is sent again,
	// fleetRepeatInterval the mean one between any two instances of a large fleet.
	minRepeatInterval   = 2 * time.Second
	fleetRepeatInterval = 50 * time.Millisecond
	// maxRampLLR is the highest log-likelihood ratio of the failures and latencies at
	// which the share may increase. Above it a bad version is more likely than a good one.
	maxRampLLR = 0
)

// Total is the evidence collected on both versions of a move.
type Total struct {
	Old     rwevidence.Evidence `json:"old"`
	New     rwevidence.Evidence `json:"new"`
	Begun   float64             `json:"begun"`         // attempts on the new version, with and without a result
	Overdue float64             `json:"overdue"`       // of the results of the new version, attempts that are late and still without one
	Bad     string              `json:"bad,omitempty"` // why the new version was found bad; empty if it was not

	// Short tells that the instance reaches old servers, but too few of the new version to take
	// all requests.
	Short bool `json:"short,omitempty"`

	Order Order `json:"order,omitzero"` // that the evidence is about
}

// Moves holds the version moves of all services. It is safe for concurrent use; the zero
// value is ready to use.
type Moves struct {
	mu        sync.Mutex
	moves     map[string]*progress        // by service
	replaced  map[string]*progress        // moves that an older one of a new era replaced, by service; their orders will be written again
	formerBad map[formerVersion]time.Time // versions that moves which are gone took back, and until when they get no requests
}

// formerVersion is the target of a move that another one has replaced, or whose order was deleted.
type formerVersion struct{ service, version string }

// formerBadTTL is how long a version that was taken back gets no requests once its move is gone. Its
// servers leave some seconds after that, or later if the platform is disturbed.
const formerBadTTL = 10 * time.Minute

// progress is the progress of one move as this instance sees it.
type progress struct {
	Move
	recorded  State     // the state in the store, which may have lost a later one
	firstSeen time.Time // when this instance first saw the move
	share     float64   // of requests that go to the new version, from 0 to 1
	trusted   bool      // enough results speak for the new version
	own       Total     // evidence of this instance, without pending attempts
	pending   map[*Attempt]bool
	supply    supply
	peers     map[string]Total     // evidence of the other instances, by name
	heard     map[string]time.Time // when it came

	peersShortSince time.Time // since when other instances lack servers of the new version; zero if they don't
	peerSum         Total     // of peers
	badReason       string    // why the new version was found bad; empty if it was not
	sent            Total     // last returned by ChangedEvidence
	sentAt          time.Time
}

// Put adds or updates a move as read from the store. A move does not return
// to an earlier state: outdated reads are ignored, and a state that the store has lost is
// recorded again.
func (m *Moves) Put(move Move) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.moves == nil {
		m.moves, m.replaced, m.formerBad = map[string]*progress{}, map[string]*progress{}, map[formerVersion]time.Time{}
	}
	p, known := m.moves[move.Service]
	if known && p.order().differs(move.order()) && move.before(p.Move) {
		return // read before the order was written again
	}
	if !known || !p.orderedBy(move) {
		old := p
		p = m.replaced[move.Service]
		delete(m.replaced, move.Service)
		if p == nil || !p.orderedBy(move) {
			p = &progress{firstSeen: time.Now(), share: minTrialShare, pending: map[*Attempt]bool{}, peers: map[string]Total{}, heard: map[string]time.Time{}, supply: supply{shortSince: time.Now()}}
		}
		if known && old.Era < move.Era {
			m.replaced[move.Service] = old
		}
		m.endLocked(old)
		delete(m.formerBad, formerVersion{move.Service, move.Target}) // the order wants it tried again
		m.moves[move.Service] = p
	}
	state := max(p.State, move.State)
	switch {
	case p.before(move):
		p.Move, p.recorded = move, move.State
	case !move.before(p.Move):
		p.Move, p.recorded = move, max(p.recorded, move.State)
	}
	p.State = state
}

// orderedBy reports whether an order is that of this move.
func (p *progress) orderedBy(order Move) bool {
	return p.Name == order.Name && p.Target == order.Target && !p.order().differs(order.order())
}

// Remove deletes a move that is no longer in the store.
func (m *Moves) Remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, p := range m.moves {
		if p.Name == name {
			delete(m.moves, service)
			m.endLocked(p)
		}
	}
}

// endLocked keeps what must still be known of a move that is gone; nil is none.
func (m *Moves) endLocked(p *progress) {
	now := time.Now()
	maps.DeleteFunc(m.formerBad, func(_ formerVersion, until time.Time) bool { return now.After(until) })
	if p != nil && p.bad() {
		m.formerBad[formerVersion{p.Service, p.Target}] = now.Add(formerBadTTL)
	}
}

// bad reports whether the new version was found bad, here or by another instance. It doesn't
// count any more once the move is completed, as the old servers have stopped then.
func (p *progress) bad() bool {
	return p.State == StateTakenBack || p.State != StateCompleted && p.badReason != ""
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
	case p.bad():
	case p.State == StateCompleted:
		toNew = true
	default:
		p.raiseShare()
		toNew = hashToShare(request) < min(p.share, p.supply.maxShare())
	}
	return func(version string) bool { return (version == target) == toNew }
}

// IsTakenBack reports whether a version was taken back, by the present move of the service or by
// a former one whose servers may still be there.
func (m *Moves) IsTakenBack(service, version string) bool {
	return m.TakenBack(service).Has(version)
}

// TakenBack returns the versions of a service for which IsTakenBack is true. No request may go to
// them during a move, even if no other version is available.
func (m *Moves) TakenBack(service string) rwset.Set[string] {
	m.mu.Lock()
	defer m.mu.Unlock()
	var versions []string
	if p, ok := m.moves[service]; ok && p.bad() {
		versions = append(versions, p.Target)
	}
	for former, until := range m.formerBad {
		if former.service == service && time.Now().Before(until) {
			versions = append(versions, former.version)
		}
	}
	if len(versions) == 0 {
		return nil
	}
	return rwset.New(versions...)
}

// hashToShare hashes a request id to a number from 0 to 1. The result does not
// depend on the instance, so at the same share all choose the same version.
func hashToShare(request string) float64 {
	return float64(xxhash.Sum64String("version/"+request)>>11) / (1 << 53)
}

// raiseShare sets the share. Until the new version is trusted, the share is that of the
// trial. Then it rises with the elapsed time, unless the results so far make a bad
// version more likely than a good one.
func (p *progress) raiseShare() {
	elapsed := p.elapsed()
	total := p.sumEvidence()
	p.trusted = p.trusted || total.trusted(elapsed) || p.untried(total)
	if !p.trusted {
		p.share = p.trialShare(total)
		return
	}
	share := minTrialShare
	if elapsed > trialEnd {
		ramped := min(1, (elapsed-trialEnd)/(rampEnd-trialEnd))
		share = max(share, ramped*ramped)
	}
	if share > p.share && total.speaksFor() {
		p.share = share
	}
}

// elapsed returns the elapsed fraction of the move's duration.
func (p *progress) elapsed() float64 {
	return float64(time.Since(p.firstSeen)) / float64(max(1, p.Duration))
}

// period returns the period of the move. The share of the new version hardly changes during the
// first one, the trial; the others are equal parts of the ramp, the last one with all that
// follows.
func (p *progress) period() int {
	const later = rwevidence.Periods - 1
	after := (p.elapsed() - trialEnd) / (rampEnd - trialEnd)
	return min(later, max(0, 1+int(math.Floor(after*later))))
}

// trialShare returns the share at which the requests so far would have made trialAttempts
// until trialEnd.
func (p *progress) trialShare(t Total) float64 {
	if t.Begun >= maxTrialAttempts {
		return 0
	}
	expected := (t.Old.Attempts + t.Begun) / max(p.elapsed(), trialEnd/8) * trialEnd
	return min(maxTrialShare, max(minTrialShare, trialAttempts/max(1, expected)))
}

// speaksFor reports whether a good version is at least as likely as a bad one.
func (t Total) speaksFor() bool {
	return rwevidence.FailureLLR(t.Old, t.New) <= maxRampLLR && rwevidence.Slowness(t.Old, t.New) <= maxRampLLR
}

// trusted reports whether the evidence is enough to raise the share. Late in a move, as
// after few requests, it is enough that nothing is late.
func (t Total) trusted(elapsed float64) bool {
	switch {
	case !t.speaksFor():
		return false
	case t.New.Attempts-t.Overdue >= trustedResults:
		return true
	}
	return elapsed >= thinEvidence && t.Overdue == 0 && t.New.Attempts > 0
}

// untried reports whether no request came for the new version for as long as a trial takes,
// although it had servers.
func (p *progress) untried(t Total) bool {
	since := p.supply.newSince
	return t.Begun == 0 && !since.IsZero() && time.Since(since) >= time.Duration(trialEnd*float64(p.Duration))
}

// sumEvidence returns the evidence summed over all instances.
func (p *progress) sumEvidence() Total {
	return p.withPending().plus(p.peerSum)
}

func (t Total) plus(o Total) Total {
	t.Old, t.New, t.Begun, t.Overdue = t.Old.Plus(o.Old), t.New.Plus(o.New), t.Begun+o.Begun, t.Overdue+o.Overdue
	return t
}

func (t Total) minus(o Total) Total {
	t.Old, t.New, t.Begun, t.Overdue = t.Old.Minus(o.Old), t.New.Minus(o.New), t.Begun-o.Begun, t.Overdue-o.Overdue
	return t
}

// withPending returns this instance's evidence with the attempts that have no result yet.
// One that is late counts as if it had ended now; otherwise requests that are slow enough
// would never count.
func (p *progress) withPending() Total {
	t := p.own
	t.Order = p.order()
	late, ok := t.Old.Overdue()
	if !ok {
		for _, peer := range p.peers {
			if late, ok = peer.Old.Overdue(); ok {
				break
			}
		}
	}
	for a := range p.pending {
		since := time.Since(a.startedAt)
		switch {
		case !ok || since < late:
		case a.version == p.Target:
			t.New = t.New.With(rwevidence.Attempt{First: since, Load: a.load, Period: a.period})
			t.Overdue++
		default:
			t.Old = t.Old.With(rwevidence.Attempt{First: since, Load: a.load, Period: a.period})
		}
	}
	return t
}

// Attempt is an attempt at a request during a move. A nil Attempt is valid and does
// nothing.
type Attempt struct {
	moves     *Moves
	progress  *progress
	version   string
	load      float64
	period    int
	startedAt time.Time
}

// Begin records that a request is sent to a server of the given version, with the load of
// the server from 0 to 1. The caller must call End or Cancel. Begin returns nil if the
// service has no move.
func (m *Moves) Begin(service, version string, load float64) *Attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.moves[service]
	if !ok || p.State >= StateCompleted {
		return nil
	}
	a := &Attempt{moves: m, progress: p, version: version, load: load, period: p.period(), startedAt: time.Now()}
	p.pending[a] = true
	if version == p.Target {
		p.own.Begun++
	}
	return a
}

// Cancel records that the attempt has no result, because the caller left.
func (a *Attempt) Cancel() {
	if a == nil {
		return
	}
	a.moves.mu.Lock()
	defer a.moves.mu.Unlock()
	delete(a.progress.pending, a)
}

// End records the result of the attempt. After a success, such as the first event of a
// stream, a failure counts as another result. End reports whether the new version is found
// bad by this result. It returns false if the move has ended or the version was found bad
// before.
func (a *Attempt) End(result rwevidence.Attempt) bool {
	if a == nil {
		return false
	}
	a.moves.mu.Lock()
	defer a.moves.mu.Unlock()
	p := a.progress
	if !p.pending[a] && !result.Failed {
		return false
	}
	delete(p.pending, a)
	if p.State >= StateCompleted || p.badReason != "" {
		return false
	}
	result.Load, result.Period = a.load, a.period
	if a.version == p.Target {
		p.own.New = p.own.New.With(result)
	} else {
		p.own.Old = p.own.Old.With(result)
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
// the move has ended, the version was found bad before, or the evidence is about another order.
func (m *Moves) SetPeerEvidence(peer, service string, t Total) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.moves[service]
	if !ok || p.State >= StateCompleted || p.badReason != "" || p.order().differs(t.Order) {
		return false
	}
	p.peerSum = p.peerSum.minus(p.peers[peer]).plus(t)
	p.peers[peer], p.heard[peer] = t, time.Now()
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
			own[service] = p.withPending()
		}
	}
	return own
}

// ChangedEvidence returns the evidence of this instance that is to be sent to the others: what
// has changed since it was last returned, and now and then what has not, as it may be lost or
// an instance may be new. others is the number of other instances.
func (m *Moves) ChangedEvidence(others int) map[string]Total {
	repeat := repeatInterval(others)
	changed := m.OwnEvidence()
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, total := range changed {
		p, ok := m.moves[service]
		if !ok || total == p.sent && time.Since(p.sentAt) < repeat {
			delete(changed, service)
			continue
		}
		p.sent, p.sentAt = total, time.Now()
	}
	return changed
}

// repeatInterval returns the interval at which unchanged evidence is sent to a number of other
// instances.
func repeatInterval(others int) time.Duration {
	return max(minRepeatInterval, time.Duration(others)*fleetRepeatInterval)
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
			if p.recorded < p.State {
				steps = append(steps, Step{Move: p.Move, Next: p.State, Reason: "the store lost the record of this step"})
			}
			continue
		}
		if next, reason := p.nextState(); next != p.recorded {
			steps = append(steps, Step{Move: p.Move, Next: next, Reason: reason})
		}
	}
	return steps
}

// nextState returns the state that the store should have, and why. A move completes only while
// the new version can take all requests, and one whose version isn't bad is taken back only
// while there are old servers: with either step servers stop for good.
func (p *progress) nextState() (next State, reason string) {
	p.raiseShare()
	p.updateShortage()
	elapsed := p.elapsed()
	switch {
	case p.badReason != "" || p.evaluate():
		return StateTakenBack, p.badReason
	case elapsed >= minCompletion && p.share >= 1 && p.canComplete():
		return StateCompleted, "the new version held all requests"
	case elapsed < 1 || !p.canTakeBack():
	case !p.trusted:
		return StateTakenBack, "at the deadline too few results speak for it"
	case p.share < 1:
		return StateTakenBack, "at the deadline its failures still speak against it"
	case p.shortFor() >= shortageTimeout:
		return StateTakenBack, "at the deadline its servers can't take all requests"
	}
	return StateRunning, "the canary begins"
}
