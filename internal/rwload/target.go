package rwload

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ragwortwall/internal/rwtime"
)

const readinessInterval = 200 * time.Millisecond

// firstTargetIndex returns the index of the target that a request goes to first.
func (l *Load) firstTargetIndex(r Request) int {
	if l.Options.DirectToEngines {
		return rand.New(rand.NewPCG(l.Options.Seed, uint64(r.Number))).IntN(len(l.Options.Targets))
	}
	return r.Number
}

// pickTarget returns the first ready target from index on, modulo their number, or
// the target at index if none is ready.
func (l *Load) pickTarget(index int) string {
	n := len(l.Options.Targets)
	for i := range n {
		target := l.Options.Targets[(index+i)%n]
		if l.readiness.isReady(target) {
			return target
		}
	}
	return l.Options.Targets[index%n]
}

// readiness tracks which targets are ready, as a load balancer does.
type readiness struct {
	mu      sync.Mutex
	unready map[string]bool
}

// isReady reports whether the last probe of a target succeeded. A target that has not
// been probed counts as ready.
func (r *readiness) isReady(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.unready[target]
}

// watch polls the readiness of all targets in the background until ctx ends, if
// o.SkipUnready is set.
func (r *readiness) watch(ctx context.Context, o Options) {
	if !o.SkipUnready {
		return
	}
	client := &http.Client{Timeout: readinessInterval}
	go func() {
		for ctx.Err() == nil {
			for _, target := range o.Targets {
				r.probe(client, target)
			}
			rwtime.Sleep(ctx, readinessInterval)
		}
	}()
}

func (r *readiness) probe(client *http.Client, target string) {
	response, err := client.Get(target + "/readyz")
	unready := err != nil || response.StatusCode != http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unready == nil {
		r.unready = map[string]bool{}
	}
	r.unready[target] = unready
}
