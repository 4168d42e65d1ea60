package rwtree

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ragwortwall/internal/rwjson"
)

// Phase is the state of a version move.
type Phase string

// The phases of a move, in their usual order.
const (
	PhaseLoading   Phase = "loading"   // the new version is being loaded
	PhaseRamping   Phase = "ramping"   // traffic is shifted step by step
	PhaseSoaking   Phase = "soaking"   // all traffic goes to the new version, which is still monitored
	PhasePaused    Phase = "paused"    // an operator paused the move
	PhaseUnloading Phase = "unloading" // the move has succeeded; the old version is being unloaded
	PhaseDone      Phase = "done"      // the move has succeeded and nothing is left to do
	PhaseTakenBack Phase = "takenback" // all traffic is on the old version again
)

// Move is the spec of a version move: it shifts a route's traffic from one
// version to another by a deadline.
type Move struct {
	Route              string          `json:"route"` // team and name, joined by a slash
	From               string          `json:"from"`
	To                 string          `json:"to"`
	StartedAt          time.Time       `json:"begun"`
	Deadline           time.Time       `json:"deadline"`
	Soak               rwjson.Duration `json:"soak,omitempty"`  // a tenth of the time from StartedAt to Deadline if absent
	Load               bool            `json:"load,omitempty"`  // order the servers to load the new version and to unload the old one
	MaxConcurrentLoads int             `json:"loads,omitempty"` // maximum concurrent loads, to limit the load on the weight store; 2 if absent
	Phase              Phase           `json:"phase"`
	Share              float64         `json:"share"`            // share of the route's traffic that goes to the new version, 0 to 1
	Reason             string          `json:"reason,omitempty"` // why the move is in this phase
}

// MovePrefix is the prefix of the names of objects that hold moves.
const MovePrefix = "move."

// MoveName returns the name of the object that holds a route's move.
func MoveName(route string) string { return MovePrefix + strings.ReplaceAll(route, "/", ".") }

// Active reports whether the move is loading, ramping, soaking or paused.
func (m Move) Active() bool {
	switch m.Phase {
	case PhaseLoading, PhaseRamping, PhaseSoaking, PhasePaused:
		return true
	case PhaseUnloading, PhaseDone, PhaseTakenBack:
		return false
	}
	return false
}

// Ended reports whether the move is done or taken back.
func (m Move) Ended() bool { return m.Phase == PhaseDone || m.Phase == PhaseTakenBack }

// WithPhase returns a copy in another phase, with the reason for it.
func (m Move) WithPhase(p Phase, reason string) Move {
	m.Phase = p
	m.Reason = reason
	return m
}

// WithShare returns a copy with another share.
func (m Move) WithShare(share float64) Move {
	m.Share = share
	return m
}

// SoakTime returns how long the new version serves all traffic before the move
// succeeds.
func (m Move) SoakTime() time.Duration {
	const defaultSoakDivisor = 10
	return m.Soak.Or(m.Deadline.Sub(m.StartedAt) / defaultSoakDivisor)
}

// Team returns the team that the move's route belongs to.
func (m Move) Team() string {
	team, _, _ := strings.Cut(m.Route, "/")
	return team
}

func (m Move) check(path string) error {
	switch {
	case !strings.Contains(m.Route, "/"):
		return invalid(path+".route", "write team and route joined by a slash", "%q is not a team and a route joined by a slash", m.Route)
	case m.From == "" || m.To == "" || m.From == m.To:
		return invalid(path, "write two different versions in from and to", "the versions are %q and %q", m.From, m.To)
	case m.Share < 0 || m.Share > 1:
		return invalid(path+".share", "write a share from 0 to 1", "%g is not between 0 and 1", m.Share)
	case !m.Deadline.After(m.StartedAt):
		return invalid(path+".deadline", "write a time after the one in begun", "the deadline is not after the beginning of the move")
	}
	return nil
}

// Move returns the move of a route, if there is one.
func (t Tree) Move(route string) (Move, bool) {
	m, ok := t.moves[MoveName(route)]
	return m, ok
}

// Moves returns all moves, ordered by the name of their object.
func (t Tree) Moves() []Move {
	var moves []Move
	for _, name := range slices.Sorted(maps.Keys(t.moves)) {
		moves = append(moves, t.moves[name])
	}
	return moves
}
