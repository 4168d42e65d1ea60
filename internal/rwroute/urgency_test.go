package rwroute_test

import (
	"testing"
	"time"

	"ragwortwall/internal/rwroute"

	"github.com/stretchr/testify/require"
)

func TestUrgencyFollowsStreamRoutesOfService(t *testing.T) {
	route := func(name string, kind rwroute.Kind, priority int, services ...string) rwroute.Route {
		r := rwroute.Route{Name: name, Kind: kind, Priority: priority, TargetLatency: time.Second}
		for _, s := range services {
			r.Targets = append(r.Targets, rwroute.Target{Service: s, Weight: 1})
		}
		return r
	}
	pilot, order := route("pilot", rwroute.KindStream, 0, "model", "other"), route("order", rwroute.KindOnce, 2, "other")
	o := rwroute.Organisation{Name: "o", Priority: 1, HasPriority: true}
	table := rwroute.New(rwroute.Parts{
		Routes: []rwroute.Route{pilot, order, route("passage", rwroute.KindStream, 2, "model")}, Organisations: map[string]rwroute.Organisation{"key": o},
	})
	for service, told := range map[string]int{"model": 1, "other": 1, "unknown": 1} {
		priority, ok := table.Urgency(o, pilot, service, time.Now()).Told()
		require.True(t, ok)
		require.Equal(t, told, priority, service)
	}
	priority, _ := table.Urgency(o, route("passage", rwroute.KindStream, 2, "model"), "model", time.Now()).Told()
	require.Equal(t, 3, priority)
	require.False(t, table.Urgency(o, order, "other", time.Now()).Graded())
}
