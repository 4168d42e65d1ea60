package rwtree

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ragwortwall/internal/rwjson"
)

// Phase is how far a version move has come.
type Phase string

// The phases of a move, in their usual order.
const (
	PhaseLoading   Phase = "loading"   // the new version is being loaded
	PhaseRamping   Phase = "ramping"   // traffic is shifted step by step
	PhaseSoaking   Phase = "soaking"   // all traffic is on the new version, watched
	PhasePaused    Phase = "paused"    // an operator stopped the shifting
	PhaseUnloading Phase = "unloading" // decided; the old version is being unloaded
	PhaseDone      Phase = "done"
	PhaseTakenBack Phase = "takenback"
)

// Move is the spec of a version move: it shifts a route's traffic from one
// version to another by a deadline.
type Move struct {
	Route    string          `json:"route"` // team and name joined by a slash
	From     string          `json:"from"`
	To       string          `json:"to"`
	Begun    time.Time       `json:"begun"`
	Deadline time.Time       `json:"deadline"`
	Soak     rwjson.Duration `json:"soak,omitempty"`  // a tenth of the time if absent
	Load     bool            `json:"load,omitempty"`  // order the servers to load the version, and to unload the old one
	Loads    int             `json:"loads,omitempty"` // loads at once, for the weight store's sake; 2 if absent
	Phase    Phase           `json:"phase"`
	Share    float64         `json:"share"`            // of the route's traffic that goes to the new version
	Reason   string          `json:"reason,omitempty"` // why it is in this phase
}

// MovePrefix begins the names of the objects that hold moves.
const MovePrefix = "move."

// MoveName is the name of the object that holds a route's move.
func MoveName(route string) string { return MovePrefix + strings.ReplaceAll(route, "/", ".") }

// Active reports whether the move still shifts or watches traffic.
func (m Move) Active() bool {
	switch m.Phase {
	case PhaseLoading, PhaseRamping, PhaseSoaking, PhasePaused:
		return true
	case PhaseUnloading, PhaseDone, PhaseTakenBack:
		return false
	}
	return false
}

// Ended reports whether nothing is left to do.
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

// SoakTime is how long all traffic is watched before the move is done.
func (m Move) SoakTime() time.Duration {
	const part = 10
	return m.Soak.Or(m.Deadline.Sub(m.Begun) / part)
}

// Team is the team that the move's route belongs to.
func (m Move) Team() string {
	team, _, _ := strings.Cut(m.Route, "/")
	return team
}

func (m Move) check(path string) error {
	switch {
	case !strings.Contains(m.Route, "/"):
		return invalid(path+".route", "write team and route joined by a slash", "%q names no route", m.Route)
	case m.From == "" || m.To == "" || m.From == m.To:
		return invalid(path, "write two different versions in from and to", "the versions are %q and %q", m.From, m.To)
	case m.Share < 0 || m.Share > 1:
		return invalid(path+".share", "write a share from 0 to 1", "%g is no share", m.Share)
	case !m.Deadline.After(m.Begun):
		return invalid(path+".deadline", "write a time after the beginning", "the deadline has passed already")
	}
	return nil
}

// Move returns the move of a route, if there is one.
func (t Tree) Move(route string) (Move, bool) {
	m, ok := t.moves[MoveName(route)]
	return m, ok
}

// Moves returns all moves, by the name of their object.
func (t Tree) Moves() []Move {
	var all []Move
	for _, name := range slices.Sorted(maps.Keys(t.moves)) {
		all = append(all, t.moves[name])
	}
	return all
}
