package rwlink

import (
	"context"
	"sync"
	"time"
)

// Prober checks whether servers are alive by connecting to them. A busy server
// accepts connections as fast as an idle one. So if a stream is silent and a
// connection opens at once, the server is busy; if none opens, it is lost.
// Prober is safe for concurrent use; the zero value is ready to use.
type Prober struct {
	Dial DialFunc // set before first use; nil for TCP

	mu     sync.Mutex
	probes map[string]*probeState
}

// probeState is the state of the last probe of an address.
type probeState struct {
	running     bool
	startedAt   time.Time // when the last completed probe started
	reachable   bool      // whether that probe succeeded
	completedAt time.Time // when it completed
}

const (
	// probeTimeout is many network round trips within a region, and much shorter
	// than the pauses in a stream that callers tolerate.
	probeTimeout = 70 * time.Millisecond
	// probeAttempts is how many consecutive connects must time out before a server
	// counts as lost, as a bad link drops one SYN packet in a few dozen. After any
	// other error, such as a refusal, it counts as lost at once.
	probeAttempts = 2
	maxProbes     = 512 // addresses; when exceeded, all results are discarded
)

// ProbeResult is the result of a probe.
type ProbeResult int

// The results of a probe.
const (
	ProbePending     ProbeResult = iota // no result yet
	ProbeReachable                      // a connection was established
	ProbeUnreachable                    // no connection was established
)

// Check returns the result of a probe of an address that started at or after since.
// If there is none, it starts a probe unless one is running, and doesn't wait.
func (p *Prober) Check(address string, since time.Time) ProbeResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probes == nil || len(p.probes) > maxProbes {
		p.probes = map[string]*probeState{}
	}
	s, ok := p.probes[address]
	if !ok {
		s = &probeState{}
		p.probes[address] = s
	}
	if !s.completedAt.IsZero() && !s.startedAt.Before(since) {
		if s.reachable {
			return ProbeReachable
		}
		return ProbeUnreachable
	}
	if !s.running {
		s.running = true
		go p.probe(address, s)
	}
	return ProbePending
}

// probe connects to an address and records the result in s. It tries again only after
// a timeout.
func (p *Prober) probe(address string, s *probeState) {
	began := time.Now()
	reached := false
	for range probeAttempts {
		accepted, answered := TryConnect(context.Background(), p.Dial, address, probeTimeout)
		if reached = accepted; answered {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.running, s.startedAt, s.reachable, s.completedAt = false, began, reached, time.Now()
}
