package rwmove

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"time"

	"ragwortwall/internal/rwcursor"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwevidence"
	"ragwortwall/internal/rwgeneration"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwoperate"
	"ragwortwall/internal/rwslot"
	"ragwortwall/internal/rwtree"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

// Editor writes a move's object.
type Editor interface {
	Put(ctx context.Context, c rwoperate.Change) (rwobject.Object, error)
}

// Loads returns the current load of backend servers.
type Loads interface {
	Load(server string) (rwslot.Load, bool)
}

// Verdict states that a move's new version is bad.
type Verdict struct {
	Move   string    // name of the move's object
	Begun  time.Time // start of the move; the verdict does not apply to later moves of the route
	Reason string
}

// Mover chooses the versions of generations, collects evidence on both versions of
// each move, and stops traffic to bad versions. Each instance has one. Set the
// exported fields before first use.
type Mover struct {
	Self      string
	Tree      func() rwtree.Tree
	Editor    Editor
	Loads     Loads
	Broadcast func(v Verdict)                 // sends a verdict to all instances
	Peers     func() []string                 // the other live instances
	Pinned    func(route, version string) int // number of this instance's running generations that are pinned to a version
	Log       logr.Logger

	mu           sync.Mutex
	ownEvidence  map[EvidenceKey]rwevidence.Evidence
	peerEvidence map[peerProcess]map[EvidenceKey]rwevidence.Evidence
	verdicts     map[string]Verdict             // by the name of the move's object
	pinnedByPeer map[string]map[EvidenceKey]int // number of generations pinned to a version, by instance
}

// peerProcess identifies one process of an instance. Evidence from before a restart
// is kept under the earlier incarnation and still counts.
type peerProcess struct {
	instance    string
	incarnation uint64
}

// EvidenceKey identifies the evidence on one version in one move.
type EvidenceKey struct {
	Move    string    `json:"move"`
	Begun   time.Time `json:"begun"`
	Version string    `json:"version"`
}

// Pick returns the version that serves a generation. Instances with the same
// settings and verdicts return the same version.
func (m *Mover) Pick(route rwtree.NamedRoute, id rwcursor.GenerationID) string {
	move, ok := m.Tree().Move(route.Key())
	if !ok || move.Phase == rwtree.PhaseTakenBack {
		return route.Version
	}
	if move.Phase == rwtree.PhaseDone || move.Phase == rwtree.PhaseUnloading {
		return move.To
	}
	if m.isContained(move) || hashToShare(route.Key(), id) >= move.Share {
		return move.From
	}
	return move.To
}

// hashToShare hashes a route and a generation ID to a number from 0 to 1. The result
// does not depend on the instance.
func hashToShare(route string, id rwcursor.GenerationID) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(route)
	_, _ = h.Write(id[:])
	return float64(h.Sum64()) / math.MaxUint64
}

// FallbackVersion returns the version to retry with after an attempt failed before any token
// was delivered: the old version if the new one of a running move failed, otherwise
// the same version again.
func (m *Mover) FallbackVersion(route rwtree.NamedRoute, failed string) string {
	move, ok := m.Tree().Move(route.Key())
	if ok && move.Active() && failed == move.To {
		return move.From
	}
	return failed
}

// isContained reports whether a verdict stops traffic to the new version of a move.
func (m *Mover) isContained(move rwtree.Move) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.verdicts[rwtree.MoveName(move.Route)]
	return ok && v.Begun.Equal(move.StartedAt)
}

// RecordAttempt records the result of one attempt as evidence, if its version belongs
// to a running move and it failed or produced tokens.
func (m *Mover) RecordAttempt(s rwgeneration.Sample) {
	move, ok := m.Tree().Move(s.Route)
	if !ok || !move.Active() || s.Version != move.From && s.Version != move.To || !s.Failed && s.Tokens == 0 {
		return
	}
	attempt := rwevidence.Attempt{Failed: s.Failed, First: s.TimeToFirstToken, MeanTokenTime: s.MeanTokenTime, Load: s.Load, Period: period(move.Share)}
	key := EvidenceKey{Move: rwtree.MoveName(move.Route), Begun: move.StartedAt, Version: s.Version}
	m.mu.Lock()
	if m.ownEvidence == nil {
		m.ownEvidence = map[EvidenceKey]rwevidence.Evidence{}
	}
	m.ownEvidence[key] = m.ownEvidence[key].With(attempt)
	m.mu.Unlock()
	m.evaluate(move)
}

// evaluate compares the versions of a move. If the new one is bad by the evidence
// known to this instance, it stores the verdict and broadcasts it.
func (m *Mover) evaluate(move rwtree.Move) {
	before, after := m.evidence(move)
	reason := rwevidence.Judge(before, after)
	if reason == "" || m.isContained(move) {
		return
	}
	v := Verdict{Move: rwtree.MoveName(move.Route), Begun: move.StartedAt, Reason: reason}
	m.Log.Info("new version found bad, traffic returns to the old version", "route", move.Route, "version", move.To, "reason", reason)
	m.AddVerdict(v)
	go m.Broadcast(v)
}

// AddVerdict stores a verdict, unless one on the same or a later move of the route is
// already stored.
func (m *Mover) AddVerdict(v Verdict) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.verdicts == nil {
		m.verdicts = map[string]Verdict{}
	}
	if stored, ok := m.verdicts[v.Move]; ok && !v.Begun.After(stored.Begun) {
		return
	}
	m.verdicts[v.Move] = v
}

// Verdicts returns the verdicts on running moves.
func (m *Mover) Verdicts() []Verdict {
	tree := m.Tree()
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Verdict
	for _, move := range tree.Moves() {
		v, ok := m.verdicts[rwtree.MoveName(move.Route)]
		if ok && v.Begun.Equal(move.StartedAt) && move.Active() {
			all = append(all, v)
		}
	}
	return all
}

// evidence returns the evidence on both versions, summed over this instance and what
// its peers sent.
func (m *Mover) evidence(move rwtree.Move) (before, after rwevidence.Evidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := rwtree.MoveName(move.Route)
	from := EvidenceKey{Move: name, Begun: move.StartedAt, Version: move.From}
	to := EvidenceKey{Move: name, Begun: move.StartedAt, Version: move.To}
	before, after = m.ownEvidence[from], m.ownEvidence[to]
	for _, evidence := range m.peerEvidence {
		before = before.Plus(evidence[from])
		after = after.Plus(evidence[to])
	}
	return before, after
}

// sharedEvidence is the evidence on one version in the form that is sent to peers.
type sharedEvidence struct {
	EvidenceKey

	Evidence rwevidence.Evidence `json:"evidence"`
	Pinned   int                 `json:"pinned"`
}

// EncodeOwnEvidence returns the evidence of this instance on running moves and the
// number of its generations that are pinned to versions being unloaded, encoded for
// its peers, or nil if there is neither. It drops evidence on moves that no longer run.
func (m *Mover) EncodeOwnEvidence() []byte {
	tree := m.Tree()
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []sharedEvidence
	for _, move := range tree.Moves() {
		if move.Phase == rwtree.PhaseUnloading {
			key := EvidenceKey{Move: rwtree.MoveName(move.Route), Begun: move.StartedAt, Version: move.From}
			entries = append(entries, sharedEvidence{EvidenceKey: key, Pinned: m.Pinned(move.Route, move.From)})
		}
	}
	for key, evidence := range m.ownEvidence {
		move, ok := tree.Move(routeOf(tree, key.Move))
		if !ok || !move.Active() || !move.StartedAt.Equal(key.Begun) {
			delete(m.ownEvidence, key)
			continue
		}
		entries = append(entries, sharedEvidence{EvidenceKey: key, Evidence: evidence})
	}
	if len(entries) == 0 {
		return nil
	}
	body, err := json.Marshal(entries)
	if err != nil {
		return nil
	}
	return body
}

// routeOf returns the route of the move whose object has the given name, or "".
func routeOf(tree rwtree.Tree, name string) string {
	for _, move := range tree.Moves() {
		if rwtree.MoveName(move.Route) == name {
			return move.Route
		}
	}
	return ""
}

// SetPeerEvidence stores the evidence that a peer sent. It replaces what the same process sent
// before. Evidence that cannot be decoded is ignored.
func (m *Mover) SetPeerEvidence(instance string, incarnation uint64, body []byte) {
	if len(body) == 0 {
		return
	}
	var entries []sharedEvidence
	if json.Unmarshal(body, &entries) != nil {
		return
	}
	evidence := map[EvidenceKey]rwevidence.Evidence{}
	pinned := map[EvidenceKey]int{}
	for _, e := range entries {
		evidence[e.EvidenceKey] = e.Evidence
		pinned[e.EvidenceKey] = e.Pinned
	}
	m.mu.Lock()
	if m.peerEvidence == nil {
		m.peerEvidence = map[peerProcess]map[EvidenceKey]rwevidence.Evidence{}
		m.pinnedByPeer = map[string]map[EvidenceKey]int{}
	}
	m.pinnedByPeer[instance] = pinned
	m.peerEvidence[peerProcess{instance, incarnation}] = evidence
	m.mu.Unlock()
	for _, move := range m.Tree().Moves() {
		if move.Active() {
			m.evaluate(move)
		}
	}
}

// hasPinned reports whether any instance has a generation that is pinned to the old
// version. An instance that has not reported its count yet is assumed to have one.
func (m *Mover) hasPinned(move rwtree.Move) bool {
	key := EvidenceKey{Move: rwtree.MoveName(move.Route), Begun: move.StartedAt, Version: move.From}
	if m.Pinned(move.Route, move.From) > 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range m.Peers() {
		n, reported := m.pinnedByPeer[name][key]
		if !reported || n > 0 {
			return true
		}
	}
	return false
}

// Status holds a move and the evidence on its two versions. BadReason is the reason of
// the verdict against the new version, or empty if there is none.
type Status struct {
	rwtree.Move

	BadReason   string              `json:"contained,omitempty"`
	OldEvidence rwevidence.Evidence `json:"before"` // on the old version
	NewEvidence rwevidence.Evidence `json:"after"`  // on the new version
}

// Status returns all moves with the evidence and verdicts known to this instance.
func (m *Mover) Status() []Status {
	all := []Status{}
	for _, move := range m.Tree().Moves() {
		s := Status{Move: move}
		s.OldEvidence, s.NewEvidence = m.evidence(move)
		m.mu.Lock()
		if v, ok := m.verdicts[rwtree.MoveName(move.Route)]; ok && v.Begun.Equal(move.StartedAt) {
			s.BadReason = v.Reason
		}
		m.mu.Unlock()
		all = append(all, s)
	}
	return all
}

// BeginRequest is an operator's request to begin a move.
type BeginRequest struct {
	Route    string    `json:"route"` // TEAM/NAME
	To       string    `json:"to"`
	Deadline time.Time `json:"deadline"`
	Soak     string    `json:"soak,omitempty"` // a duration such as 30s
	Load     bool      `json:"load,omitempty"` // order the servers to load the new version and unload the old one
}

// Begin begins a move. The errors are KindNotFound if there is no such model route,
// KindConflict if its last move has not ended, KindInvalid if the soak time cannot be
// parsed, and those of Editor.Put.
func (m *Mover) Begin(ctx context.Context, s BeginRequest, author string) (rwtree.Move, error) {
	tree := m.Tree()
	route, ok := tree.Route(s.Route)
	if !ok || route.Model == "" {
		return rwtree.Move{}, rwerror.New(rwerror.KindNotFound, "give the route of a model as TEAM/NAME", "there is no model route %q", s.Route)
	}
	if old, ok := tree.Move(s.Route); ok && !old.Ended() {
		return rwtree.Move{}, rwerror.New(rwerror.KindConflict, "wait until that move has ended, or take it back first", "the route already has a move to version %s in phase %s", old.To, old.Phase)
	}
	move := rwtree.Move{
		Route: s.Route, From: route.Version, To: s.To, StartedAt: time.Now().UTC(), Deadline: s.Deadline.UTC(),
		Load: s.Load, Phase: rwtree.PhaseLoading, Reason: "begun by " + author,
	}
	if s.Soak != "" {
		if err := move.Soak.UnmarshalJSON([]byte(`"` + s.Soak + `"`)); err != nil {
			return rwtree.Move{}, rwerror.New(rwerror.KindInvalid, "write soak as a duration such as 30s", "%v", err)
		}
	}
	return move, m.writeMove(ctx, move, author)
}

// Action is an operator's action on a move.
type Action string

// The actions of operators.
const (
	ActionTakeBack Action = "takeback"
	ActionPause    Action = "pause"
	ActionResume   Action = "resume"
)

// Act applies an operator's action to the running move of a route. The errors are
// KindNotFound if there is no running move, KindInvalid if there is no such action,
// and those of Editor.Put.
func (m *Mover) Act(ctx context.Context, route string, a Action, author string) (rwtree.Move, error) {
	move, ok := m.Tree().Move(route)
	if !ok || !move.Active() {
		return rwtree.Move{}, rwerror.New(rwerror.KindNotFound, "list the moves to see which are running", "the route %q has no running move", route)
	}
	switch a {
	case ActionTakeBack:
		move = move.WithShare(0).WithPhase(rwtree.PhaseTakenBack, "taken back by "+author)
	case ActionPause:
		move = move.WithPhase(rwtree.PhasePaused, "paused by "+author)
	case ActionResume:
		move = move.WithPhase(rwtree.PhaseRamping, "resumed by "+author)
	default:
		return rwtree.Move{}, rwerror.New(rwerror.KindInvalid, "use takeback, pause or resume", "there is no action %q", a)
	}
	return move, m.writeMove(ctx, move, author)
}

// writeMove writes a move on condition that the stored generation is the one of this
// instance's settings. The write of a decider that was paused or has lost the lease
// fails, because its generation is outdated.
func (m *Mover) writeMove(ctx context.Context, move rwtree.Move, author string) error {
	body, err := json.Marshal(move)
	if err != nil {
		return err
	}
	name := rwtree.MoveName(move.Route)
	_, err = m.Editor.Put(ctx, rwoperate.Change{Name: name, Spec: body, Generation: m.Tree().Generation(name), Author: author})
	return err
}
