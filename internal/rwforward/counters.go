package rwforward

import (
	"strconv"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwroute"
)

// Counters counts what became of requests. The zero value is ready; a nil one
// counts nothing.
type Counters struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (n *Counters) add(name string) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.counts == nil {
		n.counts = map[string]int64{}
	}
	n.counts[name]++
}

func (n *Counters) request(k rwroute.Kind) { n.add("requests." + k.String()) }
func (n *Counters) sent(k rwroute.Kind)    { n.add("sent." + k.String()) }
func (n *Counters) refused(k rwroute.Kind, code rwerror.Kind) {
	n.add("refused." + k.String() + "." + string(code))
}

func (n *Counters) answered(k rwroute.Kind, status int, _ time.Duration) {
	n.add("answered." + k.String() + "." + strconv.Itoa(status))
}

// Snapshot returns all counts.
func (n *Counters) Snapshot() map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]int64, len(n.counts))
	for k, v := range n.counts {
		out[k] = v
	}
	return out
}

func (n *Counters) first(time.Duration) { n.add("first.stream") }
