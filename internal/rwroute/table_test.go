package rwroute_test

import (
	"fmt"
	"strconv"
	"testing"

	"ragwortwall/internal/rwroute"

	"github.com/stretchr/testify/require"
)

func ExampleTable_Match() {
	t := rwroute.New(rwroute.Parts{Routes: []rwroute.Route{
		{Name: "all", Host: "signs.example", Prefix: "/"},
		{Name: "drafts", Host: "signs.example", Prefix: "/drafts/"},
	}})
	route, _ := t.Match("Signs.Example", "/drafts/7")
	fmt.Println(route.Name)
	// Output: drafts
}

func TestMatchNone(t *testing.T) {
	table := rwroute.New(rwroute.Parts{Routes: []rwroute.Route{{Host: "a", Prefix: "/x/"}}})
	for _, path := range []string{"/", "/x", "/xy/", "/y/x/"} {
		_, ok := table.Match("a", path)
		require.False(t, ok, path)
	}
	_, ok := table.Match("b", "/x/1")
	require.False(t, ok)
}

// TestService: a split is the same wherever it is asked, and keeps its shares.
func TestService(t *testing.T) {
	route := rwroute.Route{Targets: []rwroute.Target{{Service: "old", Weight: 900}, {Service: "new", Weight: 100}}}
	counts := map[string]int{}
	const requests = 20000
	for n := range requests {
		id := strconv.Itoa(n)
		service := route.Service(id)
		require.Equal(t, service, route.Service(id))
		counts[service]++
	}
	require.InDelta(t, 0.1, float64(counts["new"])/requests, 0.01)
	require.Empty(t, rwroute.Route{}.Service("1"))
}

func TestRepeatable(t *testing.T) {
	require.False(t, rwroute.Route{Kind: rwroute.KindOnce}.Repeatable())
	require.False(t, rwroute.Route{Kind: rwroute.KindStream}.Repeatable())
	require.True(t, rwroute.Route{Kind: rwroute.KindStream, Resumable: true}.Repeatable())
	require.True(t, rwroute.Route{Kind: rwroute.KindIdempotent}.Repeatable())
}

// TestProvides: a model tells a server's service only where no other offers it.
func TestProvides(t *testing.T) {
	model := func(name string, models ...string) rwroute.Service {
		return rwroute.Service{Name: name, Engine: rwroute.Engine{Slots: 1, Models: models}}
	}
	table := rwroute.New(rwroute.Parts{Services: []rwroute.Service{model("a", "m", "n"), model("b", "n", "o"), {Name: "orders"}}})
	for name, c := range map[string]struct {
		service string
		models  []string
		want    bool
	}{
		"its own":           {"a", []string{"m"}, true},
		"of two services":   {"a", []string{"n"}, false},
		"one of them is":    {"a", []string{"m", "n"}, false},
		"another's":         {"a", []string{"o"}, false},
		"nobody's":          {"a", []string{"p"}, false},
		"none":              {"orders", nil, false},
		"service not known": {"c", []string{"m"}, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, table.Provides(c.service, c.models)) })
	}
}
