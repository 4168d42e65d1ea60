package rwversion_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwevidence"
	"ragwortwall/internal/rwversion"

	"github.com/stretchr/testify/require"
)

// servers returns the room of a number of model servers.
func servers(n int) rwversion.Room {
	const slots, tokens = 12, 55_000
	return rwversion.Room{Servers: n, Requests: n * slots, Tokens: n * tokens}
}

// fleetView is what an instance knows of the servers at a fraction of the move's duration.
type fleetView func(instance int, elapsed float64) rwversion.Capacity

// simulateServers runs a move whose servers come and go, with a load that the old version can
// hold. Requests that a version without servers gets go to the other one. It returns what the
// instances would write, and the share of requests of the last second that went to the new
// version. The instances with an index below restarted start anew at four fifths of the move.
func simulateServers(duration time.Duration, restarted int, view fleetView) (steps map[rwversion.State]time.Duration, share float64) {
	const perSecond = 9.4
	moves := make([]*rwversion.Moves, instances)
	move := newMove(rwversion.StateNew)
	move.Duration = duration
	begin := func(i int) {
		moves[i] = &rwversion.Moves{}
		moves[i].Put(move)
	}
	for i := range moves {
		begin(i)
	}
	random := rand.New(rand.NewPCG(3, 4))
	steps = map[rwversion.State]time.Duration{}
	sent, toNew, total := 0, 0, 0
	startedAt, syncedAt, nextAt := time.Now(), time.Now(), time.Now()
	for time.Since(startedAt) < duration+8*time.Second {
		time.Sleep(50 * time.Millisecond)
		elapsed := float64(time.Since(startedAt)) / float64(duration)
		if elapsed > 0.8 {
			for i := range restarted {
				begin(i)
			}
			restarted = 0
		}
		for i, m := range moves {
			m.SetCapacity("orders", view(i, elapsed))
		}
		if !time.Now().Before(nextAt) && len(steps) == 0 {
			nextAt = nextAt.Add(time.Second * 10 / (perSecond * 10))
			sent++
			i := random.IntN(instances)
			c := view(i, elapsed)
			isNew := moves[i].VersionFilter("orders", strconv.Itoa(sent))("v2")
			isNew = isNew && c.New.Servers > 0 || c.Old.Servers == 0
			version := map[bool]string{true: "v2", false: "v1"}[isNew]
			if total++; isNew {
				toNew++
			}
			a := moves[i].Begin("orders", version, 0)
			time.AfterFunc(time.Second, func() { a.End(rwevidence.Attempt{First: time.Second}) })
		}
		if time.Since(syncedAt) < syncInterval {
			continue
		}
		syncedAt = time.Now()
		share, total, toNew = float64(toNew)/float64(max(1, total)), 0, 0
		exchange(moves)
		for _, m := range moves {
			for _, s := range m.Steps() {
				if _, known := steps[s.Next]; !known && s.Next >= rwversion.StateCompleted {
					steps[s.Next] = time.Since(startedAt)
				}
			}
		}
		if len(steps) > 0 {
			return steps, share
		}
	}
	return steps, share
}

// exchange sends the evidence of each instance that is to be sent to all others.
func exchange(moves []*rwversion.Moves) {
	for sender := range moves {
		total, changed := moves[sender].ChangedEvidence(len(moves) - 1)["orders"]
		for receiver := 0; changed && receiver < len(moves); receiver++ {
			if receiver != sender {
				moves[receiver].SetPeerEvidence(strconv.Itoa(sender), "orders", total)
			}
		}
	}
}

// TestStepsNeedServers guards against a service that nobody serves any more: servers stop for
// good once a move is completed or taken back, so the version that stays must have servers
// that can take all requests at that moment.
func TestStepsNeedServers(t *testing.T) {
	load := rwversion.Room{Requests: 47, Tokens: 47 * 6200}
	old := servers(36)
	with := func(n rwversion.Room) rwversion.Capacity {
		return rwversion.Capacity{New: n, Old: old, Load: load}
	}
	from := func(begin, end float64, n int) fleetView {
		return func(_ int, elapsed float64) rwversion.Capacity {
			if elapsed < begin || elapsed >= end {
				return with(rwversion.Room{})
			}
			return with(servers(n))
		}
	}
	const none = rwversion.StateNew
	for name, c := range map[string]struct {
		view      fleetView
		restarted int // instances that start anew before the move ends
		want      rwversion.State
	}{
		"as many as the old ones":      {view: from(0.1, 2, 36), want: rwversion.StateCompleted},
		"fewer, but enough":            {view: from(0.1, 2, 12), want: rwversion.StateCompleted},
		"never up":                     {view: from(2, 3, 0), want: rwversion.StateTakenBack},
		"up, then gone":                {view: from(0.1, 0.5, 12), want: rwversion.StateTakenBack},
		"gone right before completion": {view: from(0.1, 0.88, 12), want: rwversion.StateTakenBack},
		"up only late":                 {view: from(0.97, 2, 12), want: rwversion.StateTakenBack},
		"too few for the load":         {view: from(0.1, 2, 2), want: rwversion.StateTakenBack},
		"away for a moment": {view: func(i int, elapsed float64) rwversion.Capacity {
			if elapsed > 0.89 && elapsed < 0.97 {
				return with(rwversion.Room{})
			}
			return from(0.1, 2, 12)(i, elapsed)
		}, want: rwversion.StateCompleted},
		"not reached from one zone": {view: func(i int, elapsed float64) rwversion.Capacity {
			if i%3 == 1 {
				return with(rwversion.Room{})
			}
			return from(0.1, 2, 12)(i, elapsed)
		}, want: rwversion.StateTakenBack},
		"not reached by the first instance": {view: func(i int, elapsed float64) rwversion.Capacity {
			if i == 0 {
				return with(rwversion.Room{})
			}
			return from(0.1, 2, 12)(i, elapsed)
		}, want: rwversion.StateTakenBack},
		"gone, and the instances are new": {view: from(0.1, 0.7, 12), restarted: instances, want: none},
		"up, and the instances are new":   {view: from(0.1, 2, 12), restarted: instances, want: none},
		"the old ones have left, too few results": {view: func(_ int, elapsed float64) rwversion.Capacity {
			if elapsed < 0.98 {
				return with(rwversion.Room{})
			}
			return rwversion.Capacity{New: servers(12), Load: load}
		}, want: rwversion.StateCompleted},
		"no server at all": {view: func(int, float64) rwversion.Capacity { return rwversion.Capacity{Load: load} }, want: none},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				steps, _ := simulateServers(moveDuration, c.restarted, c.view)
				if c.want == none {
					require.Empty(t, steps)
					return
				}
				require.Len(t, steps, 1)
				require.Contains(t, steps, c.want)
			})
		})
	}
}

// TestShareFitsCapacity guards against requests that are refused, as a new version with a few
// servers gets more of them than these can hold, while old servers are idle.
func TestShareFitsCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := rwversion.Capacity{New: servers(1), Old: servers(36), Load: rwversion.Room{Requests: 48}}
		_, share := simulateServers(moveDuration, 0, func(int, float64) rwversion.Capacity { return c })
		require.LessOrEqual(t, share, 0.5)
	})
	for name, c := range map[string]struct {
		capacity rwversion.Capacity
		toNew    bool
	}{
		"enough": {rwversion.Capacity{New: servers(4), Old: servers(36), Load: rwversion.Room{Requests: 48}}, true},
		"none":   {rwversion.Capacity{Old: servers(36), Load: rwversion.Room{Requests: 48}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var m rwversion.Moves
				m.Put(newMove(rwversion.StateNew))
				m.SetCapacity("orders", c.capacity)
				toNew := 0
				for n := range 1000 {
					if m.VersionFilter("orders", strconv.Itoa(n))("v2") {
						toNew++
					}
				}
				require.Equal(t, c.toNew, toNew > 0)
			})
		})
	}
}
