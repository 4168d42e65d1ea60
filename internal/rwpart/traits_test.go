package rwpart_test

import (
	"slices"
	"strings"
	"testing"

	"ragwortwall/internal/rwpart"

	"github.com/stretchr/testify/require"
)

func target(organisation, path, query, body string) rwpart.Target {
	return rwpart.Target{Organisation: organisation, Service: "jobs", Method: "GET", Host: "h", Prefix: "/jobs/", Path: path, Query: query, Body: []byte(body)}
}

// TestTraits guards against requests that crash servers and have nothing in common with
// their repeats, because a query or path is new each time.
func TestTraits(t *testing.T) {
	first := target("team", "/jobs/list/7", "page=2&at=1", "text").Traits()
	for name, c := range map[string]struct {
		again  rwpart.Target
		common []string // labels of the traits that both have
	}{
		"the same":           {target("team", "/jobs/list/7", "at=1&page=2", "text"), []string{"path", "directory", "parameter at", "parameter page", "body"}},
		"new query":          {target("team", "/jobs/list/7", "at=2", "text"), []string{"path", "directory", "body"}},
		"one parameter":      {target("team", "/jobs/other/8", "page=2", ""), []string{"parameter page"}},
		"new path":           {target("team", "/jobs/list/8", "", ""), []string{"directory"}},
		"new body":           {target("team", "/jobs/list/7", "at=3", "other"), []string{"path", "directory"}},
		"route's prefix":     {target("team", "/jobs/9", "", "other"), nil},
		"other organisation": {target("guild", "/jobs/list/7", "page=2&at=1", "text"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			var common []string
			for _, trait := range first {
				if slices.Contains(c.again.Traits(), trait) {
					common = append(common, trait.Label)
				}
			}
			require.Equal(t, c.common, common)
		})
	}
}

// TestTraitsBounded guards against state and log lines that grow with what a caller sends.
func TestTraitsBounded(t *testing.T) {
	for name, c := range map[string]rwpart.Target{
		"parameters":     target("team", "/jobs/a", strings.Repeat("a&b&c=1&"+strings.Repeat("d", 40)+"&", 20), ""),
		"long query":     target("team", "/jobs/a", "a="+strings.Repeat("x", 1<<20), ""),
		"directories":    target("team", "/jobs"+strings.Repeat("/a", 1000), "", ""),
		"invalid query":  target("team", "/jobs/a", "a=%zz&;", "text"),
		"long parameter": target("team", "/jobs/a", strings.Repeat("x", 1000)+"=1", ""),
	} {
		t.Run(name, func(t *testing.T) {
			traits := c.Traits()
			require.LessOrEqual(t, len(traits), 14)
			for _, trait := range traits {
				require.LessOrEqual(t, len(trait.Label), 42)
			}
		})
	}
}
