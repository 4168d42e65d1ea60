package rwsoak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"ragwortwall/internal/rwtime"
	"ragwortwall/platform/standin"

	"github.com/juju/errors"
)

// Terms of the callers that keep their connections.
const (
	keptConnsPerInstance = 2
	shortKeptPause       = 30 * time.Millisecond
	longKeptPause        = 1100 * time.Millisecond // beyond the shortest idle timeouts of changeSettings
)

// cutRequest is a stream, or a plain request on a kept connection, whose connection ended
// without a complete answer.
type cutRequest struct {
	standin.Result
	instance string
	stream   bool
}

// runKept sends plain requests over kept connections to each instance until ctx ends. A
// connection is used until it ends.
func (s *Soak) runKept(ctx context.Context) {
	var running sync.WaitGroup
	for n, i := range s.instances {
		for k := range keptConnsPerInstance {
			random := s.newRandom(uint64(100 + keptConnsPerInstance*n + k)) //nolint:gosec // small numbers
			running.Go(func() {
				for ctx.Err() == nil {
					s.useKeptConn(ctx, i, random)
					rwtime.Sleep(ctx, standin.RetryInterval)
				}
			})
		}
	}
	running.Wait()
}

// useKeptConn opens a connection to an instance and sends requests over it until it ends.
func (s *Soak) useKeptConn(ctx context.Context, i *instance, random *rand.Rand) {
	conn, err := standin.NewCaller(standin.Key, func() string { return i.CallerAddress }).Dial(ctx)
	if err != nil {
		return
	}
	defer conn.Close()
	for last := false; !last && ctx.Err() == nil; {
		method, path := http.MethodPost, "/orders/x"
		if random.IntN(2) == 0 {
			method, path = http.MethodGet, "/looks/x"
		}
		result, err := conn.Send(ctx, method, path, orderTimeout)
		if ctx.Err() != nil {
			return
		}
		s.recordKept(i.Name, method, result, err)
		last = result.Last
		pause := shortKeptPause
		if random.IntN(3) == 0 {
			pause = longKeptPause
		}
		rwtime.Sleep(ctx, time.Duration(random.Int64N(int64(pause))))
	}
}

// recordKept records the end of a request on a kept connection.
func (s *Soak) recordKept(instance, method string, result standin.Result, err error) {
	if errors.Is(err, standin.ErrGuaranteeViolated) {
		s.addViolation("%v", err)
	}
	if result.TimedOut {
		s.addViolation("request %s on a kept connection got no answer within %s", result.ID, orderTimeout)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Kept++
	if result.Status == 0 {
		s.report.Cut++
		s.cutRequests = append(s.cutRequests, cutRequest{result, instance, false})
	}
	if method == http.MethodPost {
		s.recordOrderLocked(result.ID, result.Status)
	}
}

// recordCutStream records a stream whose connection to the instance at an address ended
// early.
func (s *Soak) recordCutStream(id, address string, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.instances {
		if i.CallerAddress == address {
			result := standin.Result{ID: id, Sent: sent, Ended: time.Now()}
			s.report.CutStreams++
			s.cutRequests = append(s.cutRequests, cutRequest{result, i.Name, true})
		}
	}
}

// checkCuts checks that no request that a server got was cut off without a reason: the last
// server broke off, a fault interrupted it, or a plain request timed out. A graceful stop of the
// instance is no reason. For streams, which run at several servers, faults shortly before
// are reasons too.
func (s *Soak) checkCuts() {
	for _, c := range s.cutRequests {
		record := s.fleet.Record(c.ID)
		arrivals := len(record.Arrivals)
		if arrivals == 0 || record.Arrivals[arrivals-1].BrokeOff {
			continue
		}
		kind, from := "plain request", c.Sent
		if c.stream {
			kind, from = "stream", c.Sent.Add(-contactTime)
		} else if c.Ended.Sub(c.Sent) >= standin.MinOrderTimeout {
			continue
		}
		names := []string{c.instance}
		for _, arrival := range record.Arrivals {
			names = append(names, arrival.Server)
		}
		if c.stream && s.serverLost(from, c.Ended) {
			continue
		}
		if !s.interrupted(names, from, c.Ended) && !s.cutByStop(c) {
			s.addViolation("%s %s to %s was cut off after %s, though %d servers got it and no fault interrupted it", kind, c.ID, c.instance, c.Ended.Sub(c.Sent), arrivals)
		}
	}
}

// interrupted returns the names of the instances and the addresses of the servers whose
// requests a fault may cut off, an empty name for all instances, and the name of the model
// service if it stops all of its servers. Faults of the store and between instances cut off
// none.
func (f scheduledFault) interrupted(s *Soak) []string {
	switch f.kind.name {
	case "kill", "pause":
		return []string{s.instances[f.targetIndex%len(s.instances)].Name}
	case "kill-all":
		return []string{""}
	case "order-crash", "order-delay", "order-reset", "order-one-way", "order-silent":
		return []string{s.orderServers.At(f.targetIndex).Address}
	case "crash", "mute", "leave", "model-delay", "model-reset", "model-one-way", "model-silent":
		return []string{s.modelServers.At(f.targetIndex).Address}
	case "zone-crash":
		var addresses []string
		for n := f.targetIndex % zones; n < len(s.modelServers.Servers); n += zones {
			addresses = append(addresses, s.modelServers.At(n).Address)
		}
		return addresses
	case "models-down":
		addresses := []string{standin.ModelService}
		for _, server := range serversOf(&s.modelServers) {
			addresses = append(addresses, server.Address)
		}
		return addresses
	default:
		return nil
	}
}

// serverLost reports whether a model server was interrupted, or crashed by a request, in a
// period. A stream may then have been cut off because it was sent to servers that were down,
// which have no record of it.
func (s *Soak) serverLost(from, to time.Time) bool {
	for _, crash := range s.fleet.Crashes() {
		if !crash.At.Before(from) && !crash.At.After(to) {
			return true
		}
	}
	var addresses []string
	for _, server := range serversOf(&s.modelServers) {
		addresses = append(addresses, server.Address)
	}
	return s.interrupted(addresses, from, to)
}

// interrupt records that a fault begins that may cut off requests, and returns the function
// that records its end.
func (s *Soak) interrupt(names ...string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.interruptions)
	for _, name := range names {
		s.interruptions = append(s.interruptions, disturbance{instance: name, start: time.Now()})
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for n := range names {
			s.interruptions[first+n].end = time.Now()
		}
	}
}

// interrupted reports whether a fault interrupted one of the names in a period.
func (s *Soak) interrupted(names []string, from, to time.Time) bool {
	return slices.ContainsFunc(s.interruptions, func(d disturbance) bool {
		return (d.instance == "" || slices.Contains(names, d.instance)) && !d.start.After(to) && (d.end.IsZero() || !d.end.Before(from))
	})
}
