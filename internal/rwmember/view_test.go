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

// TestMajority guards against an instance that acts as owner without a recent
// majority: only its own answered calls count, and only for FenceAfter.
func TestMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := peers("a", "b", "c", "d", "e")
		v := rwmember.NewView(all[0], nil)
		require.False(t, v.HasMajority(), "no member list yet")
		v.SetListed(all)
		require.False(t, v.HasMajority())
		v.RecordAnswer("b", 1, false, time.Now())
		v.RecordCall("d", 1, false)
		v.RecordIndirect("e", 0, 0)
		require.False(t, v.HasMajority(), "calls from members and indirect reports don't count as reached")
		v.RecordAnswer("c", 1, false, time.Now())
		require.True(t, v.HasMajority())
		time.Sleep(rwmember.FenceAfter)
		require.False(t, v.HasMajority(), "the calls are too old, as after a pause of the process")
	})
}

// TestAlive guards against two owners at a time: a member that is not heard from
// still counts as alive after FenceAfter, when it stops granting slots, and is
// replaced only after DownAfter.
func TestAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := peers("a", "b", "c")
		v := rwmember.NewView(all[0], all)
		require.Equal(t, []string{"a", "b", "c"}, v.Live(), "new members count as alive until they have had time to answer")
		v.RecordAnswer("b", 7, false, time.Now())
		time.Sleep(rwmember.FenceAfter)
		require.True(t, v.Alive("b"))
		time.Sleep(rwmember.DownAfter - rwmember.FenceAfter)
		require.False(t, v.Alive("b"))
		v.RecordIndirect("b", 6, 0)
		require.False(t, v.Alive("b"), "report about an earlier incarnation")
		v.RecordIndirect("b", 7, time.Millisecond)
		require.True(t, v.Alive("b"))
		v.MarkDown("b")
		require.False(t, v.Alive("b"))
		require.Equal(t, []string{"a"}, v.Live())
		require.True(t, v.ChangedWithin(time.Second))
	})
}

// TestLeaving checks that a leaving instance takes no new work but still answers,
// and that members are deleted only when unlisted and not heard from.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := peers("a", "b", "c")
		v := rwmember.NewView(all[0], all)
		v.RecordAnswer("b", 1, true, time.Now())
		require.NotContains(t, v.Live(), "b")
		require.Len(t, v.Reachable(), 2, "a leaving member is still alive")
		v.MarkLeaving()
		require.Equal(t, []string{"c"}, v.Live())
		require.True(t, v.Leaving())
		v.SetListed(all[:1])
		require.Len(t, v.Members(), 1, "b was heard from recently, c never")
		time.Sleep(rwmember.DownAfter + time.Millisecond)
		v.SetListed(all[:1])
		require.Empty(t, v.Members(), "unlisted and not heard from for DownAfter")
	})
}

// TestWatchers checks that all instances of a zone choose the same watchers, all
// from that zone.
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
