package rwserve

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"ragwortwall/internal/rwstandin"

	"github.com/stretchr/testify/require"
)

// leaveBound is the users' bound: a leaving backend server gets no new work after
// this.
const leaveBound = 3 * time.Second

// markLeaving marks a backend server as leaving through an instance.
func (f *fleet) markLeaving(server string) int {
	s := f.team.Servers[server]
	s.Leaving = true
	f.team.Servers[server] = s
	body, err := json.Marshal(f.team)
	require.NoError(f.t, err)
	return f.operate(0, http.MethodPut, "/settings/team", Subtree{Generation: 1, Spec: body}, nil)
}

// TestServerLeaving marks a server as leaving while answers stream and new ones
// come, also with an instance that is cut off from the one that accepts it.
func TestServerLeaving(t *testing.T) {
	for name, before := range map[string]func(f *fleet){
		"plain":                   func(*fleet) {},
		"two instances apart":     func(f *fleet) { f.network.Cut(instanceName(0), instanceName(2), true) },
		"an instance just killed": func(f *fleet) { f.kill(3) },
		"store slow":              func(f *fleet) { f.platform.SetFaults(rwstandin.PlatformFaults{Delay: 500 * time.Millisecond}) },
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, small, func(f *fleet) {
				a := func(n int) ask { return ask{prompt: prompt(n), tokens: 100, key: fmt.Sprint(n)} }
				before(f)
				var answers []<-chan got
				begin := func(n int) {
					done := make(chan got, 1)
					go func() { done <- f.whole(n%3, a(n)) }()
					answers = append(answers, done)
				}
				for n := range 8 {
					begin(n)
				}
				time.Sleep(100 * time.Millisecond)
				require.Equal(t, http.StatusOK, f.markLeaving("e0"))
				time.Sleep(leaveBound)
				served := f.engines[0].Counts().Served
				for n := 8; n < 40; n++ {
					begin(n)
					time.Sleep(100 * time.Millisecond)
				}
				require.Equal(t, served, f.engines[0].Counts().Served, "no new work")
				for n, done := range answers {
					requireWhole(t, a(n), <-done)
				}
			})
		})
	}
}

// TestShutdown ends an instance gracefully while it is gateway and primary of
// answers and has an order under way, alone and with another fault.
func TestShutdown(t *testing.T) {
	for name, during := range map[string]func(f *fleet){
		"plain":         func(*fleet) {},
		"engine killed": func(f *fleet) { f.engines[f.busiest()].Kill() },
		"platform out":  func(f *fleet) { f.platform.SetFaults(outage) },
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, small, func(f *fleet) {
				f.service.SetFaults(rwstandin.ServiceFaults{Delay: 2 * time.Second})
				order := make(chan placed, 1)
				go func() { order <- f.order(0, "k", "plan") }()
				var answers []<-chan got
				for n := range 8 {
					answers = append(answers, f.begin(n%4, ask{prompt: prompt(n), tokens: 900}))
				}
				time.Sleep(time.Second)
				f.stops[0]()
				during(f)
				time.Sleep(100 * time.Millisecond)
				require.Error(t, f.instances[0].Ready(), "the balancer must send nothing more")
				for n, done := range answers {
					g := <-done
					requireWhole(t, ask{prompt: prompt(n), tokens: 900}, g)
					require.Less(t, g.gap, resumeBound)
				}
				require.Equal(t, http.StatusCreated, (<-order).status)
				<-f.ended[0]
			})
		})
	}
}
