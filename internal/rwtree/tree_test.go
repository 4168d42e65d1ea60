package rwtree

import (
	"encoding/json"
	"strings"
	"testing"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwobject"

	"github.com/stretchr/testify/require"
)

const validTeam = `{
	"organisations": {"coop": {"keys": ["` + keyHash + `"], "weight": 2}},
	"servers": {"e1": {"address": "10.0.0.1:80", "zone": "a", "capacity": 8, "versions": ["v1"]}},
	"routes": {"r": {"model": "m", "version": "v1", "servers": ["e1"], "patience": "2s"},
	           "orders": {"path": "/orders/", "servers": ["e1"]}}
}`

const (
	keyHash   = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	validRoot = `{"signing": ["00112233445566778899aabbccddeeff"], "operators": {"a": {"key": "` + keyHash + `", "teams": ["*"]}}}`
)

func newObject(name, spec string) rwobject.Object {
	o := rwobject.New(rwobject.KindSettings, name, struct{}{})
	o.Spec = json.RawMessage(spec)
	o.Metadata.Generation = 1
	return o
}

func mergeRootAndTeam(root, team string) (Tree, error) {
	return Merge(map[string]rwobject.Object{RootName: newObject(RootName, root), "team": newObject("team", team)})
}

func TestMergeValid(t *testing.T) {
	got, err := mergeRootAndTeam(validRoot, validTeam)
	require.NoError(t, err)
	route, ok := got.ModelRoute("team", "m")
	require.True(t, ok)
	require.Equal(t, []string{"team/e1"}, route.ServerNames())
	_, ok = got.ModelRoute("other", "m")
	require.False(t, ok, "a route must not be visible to other teams")
	service, ok := got.ServiceRoute("team", "/orders/new")
	require.True(t, ok)
	require.False(t, service.Idempotent("POST"))
	require.True(t, service.Idempotent("GET"))
}

// TestMergeInvalid changes one value of a valid tree at a time. The error must name
// the path of the value and a remedy.
func TestMergeInvalid(t *testing.T) {
	for name, c := range map[string]struct{ old, replacement, path string }{
		"unknown field":      {`"weight"`, `"wait"`, "$.organisations.coop.wait"},
		"mistyped field":     {`"capacity": 8`, `"capacity": "8"`, "$.servers.e1.capacity"},
		"not an address":     {`10.0.0.1:80`, `example`, "$.servers.e1.address"},
		"no capacity":        {`"capacity": 8`, `"capacity": 0`, "$.servers.e1.capacity"},
		"undefined server":   {`"version": "v1", "servers": ["e1"]`, `"version": "v1", "servers": ["e2"]`, "$.routes.r.servers[0]"},
		"unknown version":    {`"version": "v1"`, `"version": "v2"`, "$.routes.r.version"},
		"model and path":     {`"model": "m"`, `"model": "m", "path": "/m/"`, "$.routes.r"},
		"not a duration":     {`"2s"`, `2`, "$.routes.r.patience"},
		"budget over one":    {`"patience"`, `"budget": 2, "patience"`, "$.routes.r.budget"},
		"key not hashed":     {`["` + keyHash + `"]`, `["secret"]`, "$.organisations.coop.keys[0]"},
		"path without slash": {`"/orders/"`, `"orders"`, "$.routes.orders.path"},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, validTeam, c.old)
			_, err := mergeRootAndTeam(validRoot, strings.Replace(validTeam, c.old, c.replacement, 1))
			require.True(t, rwerror.Is(err, rwerror.KindInvalid), "%v", err)
			require.Contains(t, err.Error(), c.path)
			require.NotEmpty(t, rwerror.As(err).Remedy)
		})
	}
}

// TestKeyOfTwoTeams checks that only CheckUniqueKeys, and not Merge, rejects an API key
// that two teams use.
func TestKeyOfTwoTeams(t *testing.T) {
	got, err := Merge(map[string]rwobject.Object{"a": newObject("a", validTeam), "b": newObject("b", validTeam)})
	require.NoError(t, err, "each subtree is valid on its own, so Merge must accept them")
	require.Error(t, got.CheckUniqueKeys(), "two teams must not use the same key")
}

// FuzzMerge checks that Merge rejects an invalid subtree with a remedy, and that routes of
// a tree that it accepts name existing servers.
func FuzzMerge(f *testing.F) {
	f.Add(validTeam)
	f.Add(`{}`)
	f.Add(`{"routes":{"":{"path":"/"}}}`)
	f.Fuzz(func(t *testing.T, spec string) {
		got, err := Merge(map[string]rwobject.Object{"team": newObject("team", spec)})
		if err != nil {
			require.NotEmpty(t, rwerror.As(err).Remedy)
			return
		}
		for _, r := range got.Routes() {
			for _, name := range r.ServerNames() {
				_, ok := got.Server(name)
				require.True(t, ok, "a route of a valid tree must name existing servers")
			}
		}
	})
}
