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

// Loads tells the load of backend servers.
type Loads interface {
	Load(server string) (rwslot.Load, bool)
}

// Verdict says that a move's new version is bad.
type Verdict struct {
	Move   string    // the object's name
	Begun  time.Time // of the move, so that a later one on the route is free of it
	Reason string
}

// Mover picks versions, gathers evidence and contains bad versions at one
// instance. Set the exported fields before first use.
type Mover struct {
	Self   string
	Tree   func() rwtree.Tree
	Editor Editor
	Loads  Loads
	Tell   func(v Verdict)                 // hands a verdict to all instances
	Peers  func() []string                 // the other instances that answer
	Pinned func(route, version string) int // running generations here
	Log    logr.Logger

	mu       sync.Mutex
	own      map[Key]rwevidence.Evidence
	peers    map[peer]map[Key]rwevidence.Evidence
	verdicts map[string]Verdict     // by the move's object
	pins     map[string]map[Key]int // generations pinned to versions, by instance
}

// peer is one process of an instance: what it saw before a restart still counts.
type peer struct {
	instance    string
	incarnation uint64
}

// Key names evidence: a version in one move.
type Key struct {
	Move    string    `json:"move"`
	Begun   time.Time `json:"begun"`
	Version string    `json:"version"`
}

// Pick returns the version that serves a generation: the same at every instance
// that has the same settings in force.
func (m *Mover) Pick(route rwtree.NamedRoute, id rwcursor.ID) string {
	move, ok := m.Tree().Move(route.Key())
	if !ok || move.Phase == rwtree.PhaseTakenBack {
		return route.Version
	}
	if move.Phase == rwtree.PhaseDone || move.Phase == rwtree.PhaseUnloading {
		return move.To
	}
	if m.contained(move) || position(route.Key(), id) >= move.Share {
		return move.From
	}
	return move.To
}

// position is a number from 0 to 1 that depends on the generation alone.
func position(route string, id rwcursor.ID) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(route)
	_, _ = h.Write(id[:])
	return float64(h.Sum64()) / math.MaxUint64
}

// Other returns the version to turn to when one has failed before anything was
// delivered.
func (m *Mover) Other(route rwtree.NamedRoute, failed string) string {
	move, ok := m.Tree().Move(route.Key())
	if ok && move.Active() && failed == move.To {
		return move.From
	}
	return failed
}

func (m *Mover) contained(move rwtree.Move) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.verdicts[rwtree.MoveName(move.Route)]
	return ok && v.Begun.Equal(move.Begun)
}

// Observe takes in what one attempt showed.
func (m *Mover) Observe(s rwgeneration.Sample) {
	move, ok := m.Tree().Move(s.Route)
	if !ok || !move.Active() || s.Version != move.From && s.Version != move.To || !s.Failed && s.Tokens == 0 {
		return
	}
	seen := rwevidence.Attempt{Failed: s.Failed, First: s.First, Token: s.Token, Load: s.Load}
	key := Key{Move: rwtree.MoveName(move.Route), Begun: move.Begun, Version: s.Version}
	m.mu.Lock()
	if m.own == nil {
		m.own = map[Key]rwevidence.Evidence{}
	}
	m.own[key] = m.own[key].With(seen)
	m.mu.Unlock()
	m.judge(move)
}

// judge contains a move's new version as soon as the evidence known here is
// enough.
func (m *Mover) judge(move rwtree.Move) {
	before, after := m.evidence(move)
	reason := rwevidence.Judge(before, after)
	if reason == "" || m.contained(move) {
		return
	}
	v := Verdict{Move: rwtree.MoveName(move.Route), Begun: move.Begun, Reason: reason}
	m.Log.Info("version contained", "route", move.Route, "version", move.To, "reason", reason)
	m.Learn(v)
	go m.Tell(v)
}

// Learn takes in a verdict. It stays until the move has ended.
func (m *Mover) Learn(v Verdict) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.verdicts == nil {
		m.verdicts = map[string]Verdict{}
	}
	if have, ok := m.verdicts[v.Move]; ok && !v.Begun.After(have.Begun) {
		return
	}
	m.verdicts[v.Move] = v
}

// Verdicts returns the verdicts on moves that have not ended.
func (m *Mover) Verdicts() []Verdict {
	tree := m.Tree()
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Verdict
	for _, move := range tree.Moves() {
		v, ok := m.verdicts[rwtree.MoveName(move.Route)]
		if ok && v.Begun.Equal(move.Begun) && move.Active() {
			all = append(all, v)
		}
	}
	return all
}

// evidence sums what all instances saw of both versions.
func (m *Mover) evidence(move rwtree.Move) (before, after rwevidence.Evidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := rwtree.MoveName(move.Route)
	from := Key{Move: name, Begun: move.Begun, Version: move.From}
	to := Key{Move: name, Begun: move.Begun, Version: move.To}
	before, after = m.own[from], m.own[to]
	for _, evidence := range m.peers {
		before = before.Plus(evidence[from])
		after = after.Plus(evidence[to])
	}
	return before, after
}

// entry is one piece of evidence on its way to a peer.
type entry struct {
	Key

	Evidence rwevidence.Evidence `json:"evidence"`
	Pinned   int                 `json:"pinned"`
}

// Share returns this instance's own evidence on running moves, for its peers.
func (m *Mover) Share() []byte {
	tree := m.Tree()
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []entry
	for _, move := range tree.Moves() {
		if move.Phase == rwtree.PhaseUnloading {
			key := Key{Move: rwtree.MoveName(move.Route), Begun: move.Begun, Version: move.From}
			entries = append(entries, entry{Key: key, Pinned: m.Pinned(move.Route, move.From)})
		}
	}
	for key, evidence := range m.own {
		move, ok := tree.Move(routeOf(tree, key.Move))
		if !ok || !move.Active() || !move.Begun.Equal(key.Begun) {
			delete(m.own, key)
			continue
		}
		entries = append(entries, entry{Key: key, Evidence: evidence})
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

func routeOf(tree rwtree.Tree, name string) string {
	for _, move := range tree.Moves() {
		if rwtree.MoveName(move.Route) == name {
			return move.Route
		}
	}
	return ""
}

// Take takes in a peer's evidence, which replaces what it shared before.
func (m *Mover) Take(instance string, incarnation uint64, body []byte) {
	if len(body) == 0 {
		return
	}
	var entries []entry
	if json.Unmarshal(body, &entries) != nil {
		return
	}
	evidence := map[Key]rwevidence.Evidence{}
	pins := map[Key]int{}
	for _, e := range entries {
		evidence[e.Key] = e.Evidence
		pins[e.Key] = e.Pinned
	}
	m.mu.Lock()
	if m.peers == nil {
		m.peers = map[peer]map[Key]rwevidence.Evidence{}
		m.pins = map[string]map[Key]int{}
	}
	m.pins[instance] = pins
	m.peers[peer{instance, incarnation}] = evidence
	m.mu.Unlock()
	for _, move := range m.Tree().Moves() {
		if move.Active() {
			m.judge(move)
		}
	}
}

// pinned reports whether any instance has a generation that is pinned to the
// old version, or has not said so yet.
func (m *Mover) pinned(move rwtree.Move) bool {
	key := Key{Move: rwtree.MoveName(move.Route), Begun: move.Begun, Version: move.From}
	if m.Pinned(move.Route, move.From) > 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range m.Peers() {
		n, told := m.pins[name][key]
		if !told || n > 0 {
			return true
		}
	}
	return false
}

// Status is a move with its evidence.
type Status struct {
	rwtree.Move

	Contained string              `json:"contained,omitempty"`
	Before    rwevidence.Evidence `json:"before"`
	After     rwevidence.Evidence `json:"after"`
}

// Status returns all moves with what is known of them here.
func (m *Mover) Status() []Status {
	all := []Status{}
	for _, move := range m.Tree().Moves() {
		s := Status{Move: move}
		s.Before, s.After = m.evidence(move)
		m.mu.Lock()
		if v, ok := m.verdicts[rwtree.MoveName(move.Route)]; ok && v.Begun.Equal(move.Begun) {
			s.Contained = v.Reason
		}
		m.mu.Unlock()
		all = append(all, s)
	}
	return all
}

// Start is what an operator says to begin a move.
type Start struct {
	Route    string    `json:"route"` // team and name joined by a slash
	To       string    `json:"to"`
	Deadline time.Time `json:"deadline"`
	Soak     string    `json:"soak,omitempty"`
	Load     bool      `json:"load,omitempty"`
}

// Begin begins a move.
func (m *Mover) Begin(ctx context.Context, s Start, author string) (rwtree.Move, error) {
	tree := m.Tree()
	route, ok := tree.Route(s.Route)
	if !ok || route.Model == "" {
		return rwtree.Move{}, rwerror.New(rwerror.KindNotFound, "name team and route of a model, joined by a slash", "there is no model route %q", s.Route)
	}
	if old, ok := tree.Move(s.Route); ok && !old.Ended() {
		return rwtree.Move{}, rwerror.New(rwerror.KindConflict, "wait for it, or take it back first", "the route has a move to %s in phase %s", old.To, old.Phase)
	}
	move := rwtree.Move{
		Route: s.Route, From: route.Version, To: s.To, Begun: time.Now().UTC(), Deadline: s.Deadline.UTC(),
		Load: s.Load, Phase: rwtree.PhaseLoading, Reason: "begun by " + author,
	}
	if s.Soak != "" {
		if err := move.Soak.UnmarshalJSON([]byte(`"` + s.Soak + `"`)); err != nil {
			return rwtree.Move{}, rwerror.New(rwerror.KindInvalid, "write soak as in 30s", "%v", err)
		}
	}
	return move, m.put(ctx, move, author)
}

// Action is what an operator does to a move.
type Action string

// The actions.
const (
	ActionTakeBack Action = "takeback"
	ActionPause    Action = "pause"
	ActionResume   Action = "resume"
)

// Act carries out an operator's action on a route's move.
func (m *Mover) Act(ctx context.Context, route string, a Action, author string) (rwtree.Move, error) {
	move, ok := m.Tree().Move(route)
	if !ok || !move.Active() {
		return rwtree.Move{}, rwerror.New(rwerror.KindNotFound, "list the moves", "the route %q has no running move", route)
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
	return move, m.put(ctx, move, author)
}

// put writes a move on top of the generation in force here. A decider that was
// paused, or deposed, has an old one and fails.
func (m *Mover) put(ctx context.Context, move rwtree.Move, author string) error {
	body, err := json.Marshal(move)
	if err != nil {
		return err
	}
	name := rwtree.MoveName(move.Route)
	_, err = m.Editor.Put(ctx, rwoperate.Change{Name: name, Spec: body, Generation: m.Tree().Generation(name), Author: author})
	return err
}
