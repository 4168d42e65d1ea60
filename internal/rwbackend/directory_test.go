package rwbackend_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwbackend"

	"github.com/stretchr/testify/require"
)

func entry(n int, zone string) rwbackend.Entry {
	return rwbackend.Entry{ID: fmt.Sprint("s", n), Service: "model", Zone: zone, Address: fmt.Sprint("10.0.0.", n, ":80"), Slots: 12, Incarnation: 1}
}

func directory(zones ...string) *rwbackend.Directory {
	d := rwbackend.NewDirectory("self")
	for n, zone := range zones {
		d.Put(entry(n, zone))
	}
	return d
}

func view(t *testing.T, d *rwbackend.Directory, id string) rwbackend.View {
	t.Helper()
	for _, v := range d.Service("model") {
		if v.ID == id {
			return v
		}
	}
	require.Failf(t, "server is not available for new requests", "server %s", id)
	return rwbackend.View{}
}

func TestEntries(t *testing.T) {
	t.Run("leaving servers get no new requests", func(t *testing.T) {
		d := directory("a", "a")
		e := entry(0, "a")
		e.Leaving = true
		d.Put(e)
		require.Len(t, d.Service("model"), 1)
	})
	t.Run("a newer server replaces the one at the same address", func(t *testing.T) {
		d := directory("a")
		next := entry(0, "a")
		next.ID, next.Incarnation = "s9", 2
		d.Put(next)
		require.Equal(t, []string{"s9"}, d.IDs())
	})
	t.Run("a new incarnation of an id starts without runs", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			d := directory("a")
			d.PutRun(rwbackend.Run{ID: "r", Owner: "self", Server: "s0", Prompt: 100})
			e := entry(0, "a")
			e.Incarnation = 2
			d.Put(e)
			require.Zero(t, view(t, d, "s0").Committed)
		})
	})
}

// TestRunsOfPeers verifies that the runs of peers count towards the load of a
// server. Otherwise several instances would place their runs and copies on the
// same server.
func TestRunsOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory("a", "b")
		run := rwbackend.Run{ID: "r", Owner: "peer", Server: "s0", Copy: "s1", Part: "p", Prompt: 5000, Output: 1000, PrefillTokens: 5000}
		d.PutRun(run)
		require.Equal(t, 6000, view(t, d, "s0").Committed)
		require.Equal(t, 5000, view(t, d, "s0").Backlog)
		require.Equal(t, 6000, view(t, d, "s1").Committed)
		require.Zero(t, view(t, d, "s1").Backlog)
		time.Sleep(time.Second)
		require.Zero(t, view(t, d, "s0").Backlog, "the prefill is done after one second")

		latest, ok := d.LatestRun("p")
		require.True(t, ok)
		require.False(t, latest.Started, "the copy may not exist yet")
		time.Sleep(time.Second)
		latest, _ = d.LatestRun("p")
		require.True(t, latest.Started)

		d.EndRunsOf("peer")
		require.Zero(t, view(t, d, "s0").Committed, "the runs of a stopped instance have ended")
		require.Equal(t, 6000, view(t, d, "s1").Committed, "the copy still takes memory")
		latest, _ = d.LatestRun("p")
		require.Equal(t, "s1", latest.Copy)
	})
}

// TestZoneLoss verifies that after the loss of two servers of a zone, the others
// that hold a run or copy of this instance are returned for a probe. Without it,
// the loss of a whole zone is detected only stream by stream.
func TestZoneLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory("a", "a", "a", "a", "b")
		time.Sleep(time.Minute)
		d.PutRun(rwbackend.Run{ID: "r", Owner: "self", Server: "s4", Copy: "s2"})
		require.True(t, d.RecordLoss("s0"))
		require.Empty(t, d.ServersToProbe("s0"), "a single loss does not indicate a zone failure")
		none := func(string) bool { return false }
		s0, _ := d.Entry("s0")
		require.False(t, d.IsCorrelatedLoss(s0, time.Now(), none))
		d.RecordLoss("s1")
		toProbe := d.ServersToProbe("s1")
		require.Len(t, toProbe, 1)
		require.Equal(t, "s2", toProbe[0].ID)
		require.Empty(t, d.ServersToProbe("s1"), "a server is returned once per window")
		require.True(t, d.IsCorrelatedLoss(s0, time.Now(), none))
		require.False(t, d.RecordLoss("s0"), "a repeated loss within the window is not reported again")
	})
}

func TestLossBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory("a")
		sentAt := time.Now()
		time.Sleep(time.Second)
		require.True(t, d.MayStillHold("s0", 1, sentAt))
		d.RecordLoss("s0")
		require.True(t, d.Suspect("s0"))
		require.False(t, d.MayStillHold("s0", 1, sentAt))
		time.Sleep(time.Second)
		require.False(t, d.Suspect("s0"), "the back-off has ended")
		d.RecordLoss("s0")
		time.Sleep(time.Second)
		require.True(t, d.Suspect("s0"), "the back-off is longer after a second consecutive loss")
		d.RecordResponse("s0", false, 0, rwbackend.Load{})
		require.False(t, d.Suspect("s0"))
	})
}

func TestReportedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory("a")
		done := d.TrackRequest("s0")
		d.RecordResponse("s0", false, 60*time.Millisecond, rwbackend.Load{Running: 4, Waiting: 1, Slots: 6})
		v := view(t, d, "s0")
		require.Equal(t, 1, v.Plain)
		require.Equal(t, 4, v.OtherRequests)
		require.Equal(t, 60*time.Millisecond, v.Latency)
		done()
		time.Sleep(time.Second)
		require.Zero(t, view(t, d, "s0").OtherRequests, "the reported load has expired")
	})
}

// TestRefusingServer covers a server that passes its health checks but rejects every
// request. It looks idle and must not attract requests because of that.
func TestRefusingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory("a", "a")
		const requests = 200
		refused := 0
		for range requests {
			servers := d.Service("model")
			s := servers[0]
			for _, other := range servers {
				if s.Suspect && !other.Suspect {
					s = other
				}
			}
			if s.ID == "s0" {
				refused++
				d.RecordRefusal("s0", rwbackend.Load{Slots: 12})
			}
			time.Sleep(50 * time.Millisecond)
		}
		require.Less(t, refused, requests/10)
		require.Greater(t, view(t, d, "s0").FailureRate, 0.3)
	})
}

// TestSilentSinceLoss verifies that a lost server is marked as silent until it responds.
// While the store is unavailable, servers restart under ids that are not listed;
// the old entries then look idle although their servers are gone.
func TestSilentSinceLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory("a", "b")
		require.False(t, view(t, d, "s0").SilentSinceLoss)
		d.RecordLoss("s0")
		time.Sleep(time.Minute)
		v := view(t, d, "s0")
		require.True(t, v.SilentSinceLoss, "the end of the back-off does not prove that the server is back")
		require.False(t, v.Suspect)
		d.RecordFirstEvent("s0")
		require.False(t, view(t, d, "s0").SilentSinceLoss)
		time.Sleep(time.Second)
		d.RecordMisdirected("s0")
		require.True(t, view(t, d, "s0").SilentSinceLoss)
		require.True(t, d.Suspect("s0"))
		d.RecordResponse("s0", false, 0, rwbackend.Load{})
		require.False(t, view(t, d, "s0").SilentSinceLoss)
		require.False(t, d.Suspect("s0"))
	})
}
