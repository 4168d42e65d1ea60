package rwmove

import (
	"testing"
	"time"

	"ragwortwall/internal/rwtree"

	"github.com/stretchr/testify/require"
)

// TestSoakNeedsServers guards against a move that is done, so that the old version is unloaded,
// although hardly a server has the new one any more.
func TestSoakNeedsServers(t *testing.T) {
	begun := time.Unix(1000, 0)
	move := rwtree.Move{Route: "team/route", From: "old", To: "new", StartedAt: begun, Deadline: begun.Add(time.Minute), Phase: rwtree.PhaseSoaking, Share: 1, Load: true}
	for name, c := range map[string]struct {
		loaded bool
		at     time.Duration // since the begin of the move
		phase  rwtree.Phase
	}{
		"servers have it":              {loaded: true, at: 50 * time.Second, phase: rwtree.PhaseUnloading},
		"they lack it":                 {at: 50 * time.Second, phase: rwtree.PhaseSoaking},
		"they lack it at the deadline": {at: time.Minute, phase: rwtree.PhaseTakenBack},
	} {
		t.Run(name, func(t *testing.T) {
			next, _ := Planner{Move: move, Now: begun.Add(c.at), SoakElapsed: time.Hour, Loaded: c.loaded}.Next()
			require.Equal(t, c.phase, next.Phase)
		})
	}
}
