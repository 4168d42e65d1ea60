package rwsettings_test

import (
	"encoding/json"
	"testing"

	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwsettings"
	"ragwortwall/internal/rwtree"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

func team(generation int64, spec string) rwobject.Object {
	o := rwobject.New(rwobject.KindSettings, "team", struct{}{})
	o.Spec, o.Metadata.Generation = json.RawMessage(spec), generation
	return o
}

// TestOffer: settings in force are never older than they were, in whatever order
// copies come, and stay when a newer copy can't be used.
func TestOffer(t *testing.T) {
	f := &rwsettings.Follower{Log: logr.Discard()}
	route := func(zone string) string {
		return `{"servers":{"s":{"address":"10.0.0.1:80","zone":"` + zone + `","capacity":1}},"routes":{"r":{"path":"/r/","servers":["s"]}}}`
	}
	zone := func() string {
		s, ok := f.Tree().Server("team/s")
		require.True(t, ok)
		return s.Zone
	}
	require.True(t, f.Tree().Empty())
	require.Len(t, f.Offer(team(2, route("b"))), 1)
	require.Empty(t, f.Offer(team(1, route("a"))), "an older copy")
	require.Empty(t, f.Offer(team(2, route("x"))), "the same one")
	require.Equal(t, "b", zone())
	require.Empty(t, f.Offer(team(3, `{"servrs":{}}`)))
	require.Contains(t, f.Refused()["team"], "servrs")
	require.Equal(t, "b", zone())
	require.Len(t, f.Offer(team(3, `{"servrs":{}}`), team(4, route("c"))), 1)
	require.Equal(t, "c", zone())
	require.Empty(t, f.Refused())
	require.Equal(t, int64(4), f.Tree().Generation("team"))
	require.Empty(t, f.Offer(rwobject.New(rwobject.KindSettings, rwtree.RootName, rwtree.Root{})), "without a generation")
}
