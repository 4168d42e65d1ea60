package rwsoak

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"ragwortwall/internal/rwtime"
	"ragwortwall/platform/standin"
)

// Terms of the runs in which instances leave for good.
const (
	visitorStream = 13 // number of the random source of the visits
	// firstVisitor is the number of the first visitor, beyond those of the other instances.
	firstVisitor = 100
	// visitorMemory is more than the others have, in MB, so that visitors watch the store for their
	// zones.
	visitorMemory   = 512
	maxVisit        = 2500 * time.Millisecond
	maxVisitorPause = 500 * time.Millisecond
	// changeStream is the number of the random source of the changes of keys.
	changeStream    = 14
	changeRest      = time.Second
	storeRefusal    = 3500 * time.Millisecond // of an instance that the store turns away
	changeBound     = 2 * time.Second         // within which a key that was taken away must be refused
	takenKeyFormat  = "key-for-%d"
	refusedInstance = 0.8 // share of the changes at which the store turns an instance away
)

// runVisitors starts instances that leave for good soon, one after the other, until ctx ends. Their
// entries stay in the list, at addresses that are silent or refuse connections.
func (s *Soak) runVisitors(ctx context.Context) {
	random := s.newRandom(visitorStream)
	for n := firstVisitor; ctx.Err() == nil; n++ {
		i, err := newInstance(n, s.Program, s.Logs, &s.store)
		if err != nil {
			s.addViolation("visitor %d can't be made: %v", n, err)
			return
		}
		i.MemoryMB = visitorMemory
		for _, other := range s.instances[:min(zones, len(s.instances))] {
			i.Seeds = append(i.Seeds, other.peerProxies.control.Address)
		}
		s.visitors.add(i)
		s.restartInstance(i)
		for start := time.Now(); !i.ready() && time.Since(start) < startupTimeout && ctx.Err() == nil; {
			time.Sleep(standin.RetryInterval)
		}
		sleepUntil(ctx, time.Duration(random.Int64N(int64(maxVisit))))
		signal, silent := syscall.SIGTERM, random.IntN(2) == 0
		if random.IntN(2) == 0 {
			signal = syscall.SIGKILL
		}
		if silent {
			i.peerProxies.setMode(ModeSilent)
		}
		i.terminate(signal, stopTimeout)
		if !silent {
			i.peerProxies.close()
		}
		s.visits.Add(1)
		sleepUntil(ctx, time.Duration(random.Int64N(int64(maxVisitorPause))))
	}
}

// changeKeys adds a key and takes it away, again and again until ctx ends, and checks that each
// instance in touch refuses it in time. The store mostly turns one of them away at that moment.
func (s *Soak) changeKeys(ctx context.Context) {
	random := s.newRandom(changeStream)
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf(takenKeyFormat, n)
		s.configure(func(c *standin.Configuration) { c.Keys = append(s.lastingKeys(), key) })
		if !rwtime.Sleep(ctx, contactTime+changeRest) {
			return
		}
		refused := s.instances[random.IntN(len(s.instances))]
		end := func() {}
		if random.Float64() < refusedInstance {
			disturbed := s.disturb("link " + refused.Name)
			refused.storeProxy.SetMode([]Mode{ModeSilent, ModeReset}[random.IntN(2)])
			end = func() {
				refused.storeProxy.SetMode(ModeNormal)
				disturbed()
			}
		} else {
			refused = nil
		}
		s.configure(func(c *standin.Configuration) { c.Keys = s.lastingKeys() })
		changed := time.Now()
		rwtime.Sleep(ctx, changeBound)
		if ctx.Err() == nil {
			s.checkTaken(ctx, key, changed, refused)
		}
		rwtime.Sleep(ctx, storeRefusal-time.Since(changed))
		end()
	}
}

func (s *Soak) lastingKeys() []string { return []string{standin.Key, standin.RevocableKey} }

// checkTaken checks that each instance but the one that the store turns away refuses a key.
func (s *Soak) checkTaken(ctx context.Context, key string, changed time.Time, refused *instance) {
	for _, i := range s.instances {
		if i == refused {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		sent := time.Now()
		_, status, err := standin.NewCaller(key, func() string { return i.CallerAddress }).Order(callCtx)
		cancel()
		s.mu.Lock()
		excused := s.interrupted([]string{i.Name}, changed.Add(-contactTime), time.Now())
		s.report.KeyChecks++
		s.mu.Unlock()
		if err == nil && status == http.StatusOK && !excused {
			s.addViolation("CONFIG: %s runs an order with a key that was taken away %s before", i.Name, sent.Sub(changed).Round(time.Millisecond))
		}
	}
}
