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

// maxLeaveDelay is the longest time that users accept until a leaving backend server
// gets no new work.
const maxLeaveDelay = 3 * time.Second

// markLeaving marks a backend server as leaving in the settings, through instance 0. It
// returns the HTTP status.
func (f *fleet) markLeaving(server string) int {
	s := f.team.Servers[server]
	s.Leaving = true
	f.team.Servers[server] = s
	body, err := json.Marshal(f.team)
	require.NoError(f.t, err)
	return f.callOperators(0, http.MethodPut, "/settings/team", Subtree{Generation: 1, Spec: body}, nil)
}

// TestServerLeaving marks a backend server as leaving while answers stream and new
// requests arrive, alone and combined with another fault, such as a partition between
// the instance that accepts the change and another one. It guards against instances
// that miss the change and send new work there after maxLeaveDelay.
func TestServerLeaving(t *testing.T) {
	for name, before := range map[string]func(f *fleet){
		"plain":                     func(*fleet) {},
		"two instances partitioned": func(f *fleet) { f.network.Partition(instanceName(0), instanceName(2), true) },
		"an instance just killed":   func(f *fleet) { f.kill(3) },
		"platform slow":             func(f *fleet) { f.platform.SetFaults(rwstandin.PlatformFaults{Delay: 500 * time.Millisecond}) },
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, smallFleet, func(f *fleet) {
				a := func(n int) completionRequest {
					return completionRequest{prompt: prompt(n), tokens: 100, key: fmt.Sprint(n)}
				}
				before(f)
				var answers []<-chan completionResult
				begin := func(n int) {
					done := make(chan completionResult, 1)
					go func() { done <- f.completeWithReconnects(n%3, a(n)) }()
					answers = append(answers, done)
				}
				for n := range 8 {
					begin(n)
				}
				time.Sleep(100 * time.Millisecond)
				require.Equal(t, http.StatusOK, f.markLeaving("e0"))
				time.Sleep(maxLeaveDelay)
				served := f.engines[0].Counts().Served
				for n := 8; n < 40; n++ {
					begin(n)
					time.Sleep(100 * time.Millisecond)
				}
				require.Equal(t, served, f.engines[0].Counts().Served, "the leaving server got new work")
				for n, done := range answers {
					requireComplete(t, a(n), <-done)
				}
			})
		})
	}
}

// TestShutdown stops an instance gracefully while it is gateway and primary of answers
// and has an order in flight, alone and combined with another fault. It guards against
// answers that are lost, or stall longer than maxResumeGap, during draining.
func TestShutdown(t *testing.T) {
	for name, during := range map[string]func(f *fleet){
		"plain":           func(*fleet) {},
		"engine killed":   func(f *fleet) { f.engines[f.busiestEngine()].Kill() },
		"platform outage": func(f *fleet) { f.platform.SetFaults(platformOutage) },
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, smallFleet, func(f *fleet) {
				f.service.SetFaults(rwstandin.ServiceFaults{Delay: 2 * time.Second})
				order := make(chan orderResult, 1)
				go func() { order <- f.placeOrder(0, "k", "plan") }()
				var answers []<-chan completionResult
				for n := range 8 {
					answers = append(answers, f.completeAsync(n%4, completionRequest{prompt: prompt(n), tokens: 900}))
				}
				time.Sleep(time.Second)
				f.stops[0]()
				during(f)
				time.Sleep(100 * time.Millisecond)
				require.Error(t, f.instances[0].Ready(), "a leaving instance must not be ready")
				for n, done := range answers {
					g := <-done
					requireComplete(t, completionRequest{prompt: prompt(n), tokens: 900}, g)
					require.Less(t, g.longestGap, maxResumeGap)
				}
				require.Equal(t, http.StatusCreated, (<-order).status)
				<-f.ended[0]
			})
		})
	}
}
