package rwmember_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwmember"

	"github.com/stretchr/testify/require"
)

func peers(names ...string) []rwmember.Peer {
	var out []rwmember.Peer
	for n, name := range names {
		out = append(out, rwmember.Peer{Name: name, Address: fmt.Sprint("10.0.0.", n, ":1"), Zone: string(rune('a' + n%2))})
	}
	return out
}

// TestMajority: an instance acts as owner only while it has itself reached more than
// half of the listed ones, a short while ago.
func TestMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := peers("a", "b", "c", "d", "e")
		v := rwmember.NewView(all[0], nil)
		require.False(t, v.Majority(), "it knows of no list")
		v.List(all)
		require.False(t, v.Majority())
		v.Reached("b", 1, false, time.Now())
		v.Called("d", 1, false)
		v.Rumour("e", 0, 0)
		require.False(t, v.Majority(), "being called, or hearing of others, is no reaching")
		v.Reached("c", 1, false, time.Now())
		require.True(t, v.Majority())
		time.Sleep(rwmember.FenceAfter)
		require.False(t, v.Majority(), "as after a pause of the process")
	})
}

// TestAlive: others take over later than the owner stops.
func TestAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := peers("a", "b", "c")
		v := rwmember.NewView(all[0], all)
		require.Equal(t, []string{"a", "b", "c"}, v.Live(), "each gets the time to answer once")
		v.Reached("b", 7, false, time.Now())
		time.Sleep(rwmember.FenceAfter)
		require.True(t, v.Alive("b"))
		time.Sleep(rwmember.DownAfter - rwmember.FenceAfter)
		require.False(t, v.Alive("b"))
		v.Rumour("b", 6, 0)
		require.False(t, v.Alive("b"), "news of an earlier life")
		v.Rumour("b", 7, time.Millisecond)
		require.True(t, v.Alive("b"))
		v.Unreachable("b")
		require.False(t, v.Alive("b"))
		require.Equal(t, []string{"a"}, v.Live())
		require.True(t, v.ChangedWithin(time.Second))
	})
}

func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := peers("a", "b", "c")
		v := rwmember.NewView(all[0], all)
		v.Reached("b", 1, true, time.Now())
		require.NotContains(t, v.Live(), "b")
		require.Len(t, v.Reachable(), 2, "it still answers")
		v.Leave()
		require.Equal(t, []string{"c"}, v.Live())
		require.True(t, v.Leaving())
		v.List(all[:1])
		require.Len(t, v.Members(), 1, "b was heard of a short while ago, c never")
		time.Sleep(rwmember.DownAfter + time.Millisecond)
		v.List(all[:1])
		require.Empty(t, v.Members(), "gone from the list and not heard of")
	})
}

// TestWatchers: all instances of a zone agree on its watchers.
func TestWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := peers("a", "b", "c", "d", "e", "f")
		want := rwmember.NewView(all[0], all).Watchers(2)
		require.Len(t, want, 2)
		require.Subset(t, []string{"a", "c", "e"}, want)
		require.Equal(t, want, rwmember.NewView(all[2], all).Watchers(2))
		require.Equal(t, want, rwmember.NewView(all[4], all).Watchers(2))
	})
}
