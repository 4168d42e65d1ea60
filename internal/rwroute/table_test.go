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

// TestService checks that a traffic split is the same for each call with a request id
// and follows the weights.
func TestService(t *testing.T) {
	route := rwroute.Route{Targets: []rwroute.Target{{Service: "old", Weight: 900}, {Service: "new", Weight: 100}}}
	requestsByService := map[string]int{}
	const requests = 20000
	for n := range requests {
		id := strconv.Itoa(n)
		service := route.Service(id)
		require.Equal(t, service, route.Service(id))
		requestsByService[service]++
	}
	require.InDelta(t, 0.1, float64(requestsByService["new"])/requests, 0.01)
	require.Empty(t, rwroute.Route{}.Service("1"))
}

func TestRepeatable(t *testing.T) {
	require.False(t, rwroute.Route{Kind: rwroute.KindOnce}.Repeatable())
	require.False(t, rwroute.Route{Kind: rwroute.KindStream}.Repeatable())
	require.True(t, rwroute.Route{Kind: rwroute.KindStream, Resumable: true}.Repeatable())
	require.True(t, rwroute.Route{Kind: rwroute.KindIdempotent}.Repeatable())
}

// TestProvides checks that a model identifies the service of a server only if no other
// service offers it.
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
		"model of the service only":   {"a", []string{"m"}, true},
		"model of two services":       {"a", []string{"n"}, false},
		"one of two models is shared": {"a", []string{"m", "n"}, false},
		"model of another service":    {"a", []string{"o"}, false},
		"model of no service":         {"a", []string{"p"}, false},
		"no models":                   {"orders", nil, false},
		"unknown service":             {"c", []string{"m"}, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, table.Provides(c.service, c.models)) })
	}
}
