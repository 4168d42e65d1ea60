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
	require.Failf(t, "not offered", "server %s", id)
	return rwbackend.View{}
}

func TestEntries(t *testing.T) {
	t.Run("leaving servers get no new work", func(t *testing.T) {
		d := directory("a", "a")
		e := entry(0, "a")
		e.Leaving = true
		d.Put(e)
		require.Len(t, d.Service("model"), 1)
	})
	t.Run("a new server takes the address of one that has ended", func(t *testing.T) {
		d := directory("a")
		next := entry(0, "a")
		next.ID, next.Incarnation = "s9", 2
		d.Put(next)
		require.Equal(t, []string{"s9"}, d.IDs())
	})
	t.Run("an id that returns knows nothing of before", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			d := directory("a")
			d.Place(rwbackend.Run{ID: "r", Owner: "self", Server: "s0", Prompt: 100})
			e := entry(0, "a")
			e.Incarnation = 2
			d.Put(e)
			require.Zero(t, view(t, d, "s0").Committed)
		})
	})
}

// TestRunsOfPeers: instances see each other's streams, so that their prompts and
// copies do not meet at one server.
func TestRunsOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory("a", "b")
		run := rwbackend.Run{ID: "r", Owner: "peer", Server: "s0", Copy: "s1", Part: "p", Prompt: 5000, Output: 1000, Read: 5000}
		d.Place(run)
		require.Equal(t, 6000, view(t, d, "s0").Committed)
		require.Equal(t, 5000, view(t, d, "s0").Backlog)
		require.Equal(t, 6000, view(t, d, "s1").Committed)
		require.Zero(t, view(t, d, "s1").Backlog)
		time.Sleep(time.Second)
		require.Zero(t, view(t, d, "s0").Backlog, "it is read by now")

		latest, ok := d.Latest("p")
		require.True(t, ok)
		require.False(t, latest.Begun, "its copy may not be there yet")
		time.Sleep(time.Second)
		latest, _ = d.Latest("p")
		require.True(t, latest.Begun)

		d.Forget("peer")
		require.Zero(t, view(t, d, "s0").Committed, "its instance has started again")
		require.Equal(t, 6000, view(t, d, "s1").Committed, "but the copy is still there")
		latest, _ = d.Latest("p")
		require.Equal(t, "s1", latest.Copy)
	})
}

// TestZoneLoss answers the load of a zone that is lost at once: when two of its
// servers were lost, those that hold something of ours are looked at.
func TestZoneLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory("a", "a", "a", "a", "b")
		time.Sleep(time.Minute)
		d.Place(rwbackend.Run{ID: "r", Owner: "self", Server: "s4", Copy: "s2"})
		require.True(t, d.Lost("s0"))
		require.Empty(t, d.Alarmed("s0"), "one server is no zone")
		require.False(t, d.LostTogether("s0"))
		d.Lost("s1")
		alarmed := d.Alarmed("s1")
		require.Len(t, alarmed, 1)
		require.Equal(t, "s2", alarmed[0].ID)
		require.Empty(t, d.Alarmed("s1"), "once is enough")
		require.True(t, d.LostTogether("s0"))
		require.False(t, d.Lost("s0"), "no news")
	})
}

func TestSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory("a")
		began := time.Now()
		time.Sleep(time.Second)
		require.True(t, d.Keeps("s0", 1, began))
		d.Lost("s0")
		require.True(t, d.Suspect("s0"))
		require.False(t, d.Keeps("s0", 1, began))
		time.Sleep(time.Second)
		require.False(t, d.Suspect("s0"), "it is tried again")
		d.Lost("s0")
		time.Sleep(time.Second)
		require.True(t, d.Suspect("s0"), "a second loss in a row counts longer")
		d.Answered("s0", false, 0, rwbackend.Load{})
		require.False(t, d.Suspect("s0"))
	})
}

func TestPlainLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory("a")
		done := d.Began("s0")
		d.Answered("s0", false, 60*time.Millisecond, rwbackend.Load{Running: 4, Waiting: 1, Slots: 6})
		v := view(t, d, "s0")
		require.Equal(t, 1, v.Plain)
		require.Equal(t, 4, v.Others)
		require.Equal(t, 60*time.Millisecond, v.Latency)
		done()
		time.Sleep(time.Second)
		require.Zero(t, view(t, d, "s0").Others, "what was told grows old")
	})
}

// TestShedding answers the load of a server that turns away all it gets while its
// health is good: it looks idle, and must not draw the requests for that.
func TestShedding(t *testing.T) {
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
				d.Refused("s0", rwbackend.Load{Slots: 12})
			}
			time.Sleep(50 * time.Millisecond)
		}
		require.Less(t, refused, requests/10)
		require.Greater(t, view(t, d, "s0").Failures, 0.3)
	})
}

// TestUnheard answers the load of servers that are lost while the store is away:
// they start again under ids that it can't list, and what looks empty is gone.
func TestUnheard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory("a", "b")
		require.False(t, view(t, d, "s0").Unheard)
		d.Lost("s0")
		time.Sleep(time.Minute)
		v := view(t, d, "s0")
		require.True(t, v.Unheard, "time alone proves nothing")
		require.False(t, v.Suspect)
		d.Heard("s0")
		require.False(t, view(t, d, "s0").Unheard)
		time.Sleep(time.Second)
		d.Misdirected("s0")
		require.True(t, view(t, d, "s0").Unheard)
		require.True(t, d.Suspect("s0"))
		d.Answered("s0", false, 0, rwbackend.Load{})
		require.False(t, view(t, d, "s0").Unheard)
		require.False(t, d.Suspect("s0"))
	})
}
