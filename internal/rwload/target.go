package rwload

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ragwortwall/internal/rwtime"
)

const readyInterval = 200 * time.Millisecond

// firstTarget is where a request goes first.
func (l *Load) firstTarget(r Request) int {
	if l.Options.Direct {
		return rand.New(rand.NewPCG(l.Options.Seed, uint64(r.Number))).IntN(len(l.Options.Targets))
	}
	return r.Number
}

// target is the URL for a try, passing over targets that are not ready.
func (l *Load) target(try int) string {
	n := len(l.Options.Targets)
	for i := range n {
		target := l.Options.Targets[(try+i)%n]
		if l.ready.ok(target) {
			return target
		}
	}
	return l.Options.Targets[try%n]
}

// readiness knows which targets are ready, as a balancer does.
type readiness struct {
	mu   sync.Mutex
	down map[string]bool
}

func (r *readiness) ok(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.down[target]
}

// watch asks the targets for their readiness until ctx ends, if the options say
// so.
func (r *readiness) watch(ctx context.Context, o Options) {
	if !o.Balanced {
		return
	}
	client := &http.Client{Timeout: readyInterval}
	go func() {
		for ctx.Err() == nil {
			for _, target := range o.Targets {
				r.ask(client, target)
			}
			rwtime.Sleep(ctx, readyInterval)
		}
	}()
}

func (r *readiness) ask(client *http.Client, target string) {
	response, err := client.Get(target + "/readyz")
	down := err != nil || response.StatusCode != http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down == nil {
		r.down = map[string]bool{}
	}
	r.down[target] = down
}
