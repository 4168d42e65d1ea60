package rwserve

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestServerPathsLost guards against callers that are refused because their instance lost its
// own path to all backend servers, while other instances reach them.
func TestServerPathsLost(t *testing.T) {
	const (
		requests  = 12
		pathBound = 3 * time.Second // from the beginning of a cut
	)
	for name, cut := range map[string][]int{"one instance": {0}, "a third": {0, 3}} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, fleetOptions{instances: 6, engines: 4, capacity: 8}, func(f *fleet) {
				for _, n := range cut {
					f.network.Partition(f.hosts[n], "s1", true)
					for e := range f.engines {
						f.network.Partition(f.hosts[n], fmt.Sprintf("e%d", e), true)
					}
				}
				for began := time.Now(); time.Since(began) < pathBound; {
					f.placeOrder(0, fmt.Sprint("before", time.Since(began)), "plan")
					time.Sleep(100 * time.Millisecond)
				}
				served := map[string]int{}
				for n := range requests {
					if f.placeOrder(0, fmt.Sprint("k", n), "plan").status == http.StatusCreated {
						served["orders"]++
					}
					if f.complete(0, completionRequest{prompt: fmt.Sprint("draft ", n), tokens: 20}).status == http.StatusOK {
						served["streams"]++
					}
				}
				for _, kind := range []string{"orders", "streams"} {
					require.GreaterOrEqual(t, 3*served[kind], 2*requests, "%s served at the first attempt: %d of %d", kind, served[kind], requests)
				}
			})
		})
	}
}
