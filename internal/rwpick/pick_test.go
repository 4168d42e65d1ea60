package rwpick_test

import (
	"fmt"
	"testing"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwpick"

	"github.com/stretchr/testify/require"
)

func noneTried(string) bool { return false }

// idleServers returns n idle servers with six slots, assigned to three zones in turn.
func idleServers(n int) []rwbackend.View {
	views := make([]rwbackend.View, n)
	for i := range views {
		views[i].ID, views[i].Zone, views[i].Slots = fmt.Sprint(i), fmt.Sprint(i%3), 6
	}
	return views
}

var engineSize = rwpick.EngineSize{Slots: 12, Memory: 55000}

var need = rwpick.Need{Prompt: 5000, Output: 1200, Prefill: 5000}

func TestPlain(t *testing.T) {
	t.Run("lowest load", func(t *testing.T) {
		servers := idleServers(3)
		servers[0].Plain, servers[1].OtherRequests, servers[2].Plain = 4, 5, 1
		s, ok := rwpick.Plain(servers, "0", noneTried)
		require.True(t, ok)
		require.Equal(t, "2", s.ID)
	})
	t.Run("suspect server only if no other is left", func(t *testing.T) {
		servers := idleServers(2)
		servers[0].Suspect, servers[1].Plain = true, 20
		s, _ := rwpick.Plain(servers, "0", noneTried)
		require.Equal(t, "1", s.ID)
		s, ok := rwpick.Plain(servers, "0", func(id string) bool { return id == "1" })
		require.True(t, ok)
		require.Equal(t, "0", s.ID)
	})
	t.Run("no server left", func(t *testing.T) {
		_, ok := rwpick.Plain(idleServers(2), "0", func(string) bool { return true })
		require.False(t, ok)
	})
}

// TestPlainPartialFailure guards against a server that fails part of its requests while
// its health checks pass and so keeps its full share of traffic. Such a server must get
// little traffic, and a failure rate that all servers have in common must not change
// the shares.
func TestPlainPartialFailure(t *testing.T) {
	share := func(failures [3]float64) float64 {
		count := 0
		const requests = 2000
		for range requests {
			servers := idleServers(3)
			for i := range servers {
				servers[i].FailureRate, servers[i].Zone = failures[i], "0"
			}
			if s, _ := rwpick.Plain(servers, "0", noneTried); s.ID == "0" {
				count++
			}
		}
		return float64(count) / requests
	}
	require.Less(t, share([3]float64{0.5, 0.1, 0.1}), 0.02)
	require.InDelta(t, 1.0/3, share([3]float64{0.4, 0.4, 0.4}), 0.06)
}

func TestStream(t *testing.T) {
	t.Run("copy is placed in another zone", func(t *testing.T) {
		for range 100 {
			p, ok := rwpick.Stream(idleServers(12), engineSize, need, noneTried)
			require.True(t, ok)
			require.True(t, p.Copied)
			require.NotEqual(t, p.Server.Zone, p.Copy.Zone)
		}
	})
	t.Run("no server has room", func(t *testing.T) {
		servers := idleServers(3)
		for i := range servers {
			servers[i].Committed = engineSize.Memory - need.Prompt
		}
		_, ok := rwpick.Stream(servers, engineSize, need, noneTried)
		require.False(t, ok, "a stream must not be placed where it would evict a running one")
	})
	t.Run("shortest prefill backlog", func(t *testing.T) {
		servers := idleServers(4)
		for i := range servers {
			servers[i].Backlog = 5000
		}
		servers[3].Backlog, servers[3].Runs = 0, 2
		p, _ := rwpick.Stream(servers, engineSize, need, noneTried)
		require.Equal(t, "3", p.Server.ID)
	})
	t.Run("no copy on a lost server that has not responded since", func(t *testing.T) {
		servers := idleServers(9)
		for i := range servers {
			servers[i].SilentSinceLoss = servers[i].Zone == "1"
			servers[i].Committed = 20000
			if servers[i].SilentSinceLoss {
				servers[i].Committed = 0 // a lost server is reported without load
			}
		}
		for range 50 {
			p, ok := rwpick.Stream(servers, engineSize, need, noneTried)
			require.True(t, ok)
			require.True(t, p.Copied)
			require.NotEqual(t, "1", p.Copy.Zone)
		}
	})
	t.Run("no copy on a suspect server", func(t *testing.T) {
		servers := idleServers(2)
		servers[1].Suspect = true
		p, ok := rwpick.Stream(servers, engineSize, need, func(id string) bool { return id == "1" })
		require.True(t, ok)
		require.False(t, p.Copied)
	})
}

// TestStreamZoneLoss guards against overload of one server after the loss of a zone:
// all instances place the streams of that zone at the same moment, from the same view
// of the load, and must not all choose the least loaded server.
func TestStreamZoneLoss(t *testing.T) {
	const instances = 30
	servers := idleServers(24)
	for i := range servers {
		servers[i].Runs, servers[i].Committed = 2, 20000
	}
	servers[7].Runs, servers[7].Committed = 0, 0
	placed := map[string]int{}
	for range instances {
		p, ok := rwpick.Stream(servers, engineSize, need, noneTried)
		require.True(t, ok)
		placed[p.Server.ID]++
	}
	require.LessOrEqual(t, placed["7"], instances/2)
	require.GreaterOrEqual(t, len(placed), instances/4)
}

// TestStreamWithCachedPrompt guards against repeated prefill when callers reconnect after
// the loss of all instances: their streams must go to a healthy server whose KV cache
// still holds the prompt.
func TestStreamWithCachedPrompt(t *testing.T) {
	servers := idleServers(4)
	place, ok := rwpick.StreamWithCachedPrompt(servers, engineSize, need, []string{"2"}, noneTried)
	require.True(t, ok)
	require.Equal(t, "2", place.Server.ID)
	require.True(t, place.Copied)
	t.Run("no server holds the prompt", func(t *testing.T) {
		_, ok := rwpick.StreamWithCachedPrompt(servers, engineSize, need, nil, noneTried)
		require.False(t, ok)
	})
	t.Run("holders are full, suspect, lost or tried", func(t *testing.T) {
		servers[0].Committed, servers[1].Suspect, servers[2].SilentSinceLoss = engineSize.Memory, true, true
		_, ok := rwpick.StreamWithCachedPrompt(servers, engineSize, need, []string{"0", "1", "2", "3"}, func(id string) bool { return id == "3" })
		require.False(t, ok)
	})
}

func TestCannotFinish(t *testing.T) {
	const tokenTime = 4 * time.Millisecond
	require.True(t, rwpick.CannotFinish(2*time.Second, time.Second, tokenTime, 1200))
	require.False(t, rwpick.CannotFinish(20*time.Second, time.Second, tokenTime, 1200))
}

func TestHedgeAfter(t *testing.T) {
	require.Equal(t, 240*time.Millisecond, rwpick.HedgeAfter(60*time.Millisecond, 300*time.Millisecond))
	require.Equal(t, 200*time.Millisecond, rwpick.HedgeAfter(0, 300*time.Millisecond))
	require.GreaterOrEqual(t, rwpick.HedgeAfter(time.Millisecond, time.Second), 100*time.Millisecond)
}
