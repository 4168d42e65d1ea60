package rwsettings_test

import (
	"encoding/json"
	"testing"

	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwsettings"
	"ragwortwall/internal/rwtree"
	"ragwortwall/internal/rwwire"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

func teamObject(generation int64, spec string) rwobject.Object {
	o := rwobject.New(rwobject.KindSettings, "team", struct{}{})
	o.Spec, o.Metadata.Generation = json.RawMessage(spec), generation
	return o
}

// TestApplyNewer guards against settings that revert: copies of an object that
// arrive out of order, or a newer copy that is invalid, leave the settings in
// force as they are.
func TestApplyNewer(t *testing.T) {
	f := &rwsettings.Follower{Log: logr.Discard()}
	settings := func(zone string) string {
		return `{"servers":{"s":{"address":"10.0.0.1:80","zone":"` + zone + `","capacity":1}},"routes":{"r":{"path":"/r/","servers":["s"]}}}`
	}
	zone := func() string {
		s, ok := f.Tree().Server("team/s")
		require.True(t, ok)
		return s.Zone
	}
	require.True(t, f.Tree().Empty())
	require.Len(t, f.ApplyNewer(teamObject(2, settings("b"))), 1)
	require.Empty(t, f.ApplyNewer(teamObject(1, settings("a"))), "an older generation must not be applied")
	require.Empty(t, f.ApplyNewer(teamObject(2, settings("x"))), "the generation in force must not be applied again")
	require.Equal(t, "b", zone())
	require.Empty(t, f.ApplyNewer(teamObject(3, `{"servrs":{}}`)))
	require.Contains(t, f.RejectedSubtrees()["team"], "servrs")
	require.Equal(t, "b", zone())
	require.Len(t, f.ApplyNewer(teamObject(3, `{"servrs":{}}`), teamObject(4, settings("c"))), 1)
	require.Equal(t, "c", zone())
	require.Empty(t, f.RejectedSubtrees())
	require.Equal(t, int64(4), f.Tree().Generation("team"))
	require.Empty(t, f.ApplyNewer(rwobject.New(rwobject.KindSettings, rwtree.RootName, rwtree.Root{})), "an object without a generation must not be applied")
}

// TestSameGeneration guards against two contents with the same generation that never meet,
// because each instance takes the other's for its own.
func TestSameGeneration(t *testing.T) {
	settings := func(organisation string) string { return `{"organisations":{"` + organisation + `":{}}}` }
	first, second := &rwsettings.Follower{Log: logr.Discard()}, &rwsettings.Follower{Log: logr.Discard()}
	require.Len(t, first.ApplyNewer(teamObject(7, settings("before"))), 1)
	require.Len(t, second.ApplyNewer(teamObject(7, settings("after"))), 1)
	require.NotEqual(t, first.Tree().Digest(), second.Tree().Digest())
	for _, pair := range [][2]*rwsettings.Follower{{first, second}, {second, first}} {
		asked := pair[1].ServeUpdate(&rwwire.UpdateRequest{Ask: true, Have: pair[0].Revisions()})
		pair[0].ServeUpdate(&rwwire.UpdateRequest{Objects: asked.Objects})
	}
	require.Equal(t, first.Tree().Digest(), second.Tree().Digest())
	require.Equal(t, first.Tree().Revision("team"), second.Tree().Revision("team"))
}
