package rwsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ragwortwall/internal/rwtime"
	"ragwortwall/platform/standin"
)

// Limits that servers name during a run.
const (
	limitReadInterval  = 80 * time.Millisecond // between two requests of a sender
	limitSenders       = 2                     // for each instance
	limitReadTimeout   = 5 * time.Second
	limitChangers      = 2 // each has a server name limits, so that they overlap
	minLimitTime       = 5 * time.Second
	maxLimitTime       = 9 * time.Second
	maxPlainLimit      = 8.0 // requests per second
	maxModelLimit      = 2.0
	limitReadPath      = "/looks/limit?at="
	limitChangerStream = 200 // first of the random streams of the changers
)

// sendLimitReads sends requests to all instances until ctx ends and records which instance
// each was sent to.
func (s *Soak) sendLimitReads(ctx context.Context) {
	var running sync.WaitGroup
	for _, i := range s.instances {
		c := standin.NewCaller(standin.Key, func() string { return i.CallerAddress })
		for k := range limitSenders {
			running.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					sendCtx, cancel := context.WithTimeout(ctx, limitReadTimeout)
					_, _ = c.SendPlain(sendCtx, http.MethodGet, fmt.Sprintf("%s%d-%d", limitReadPath, k, n), func(id string) {
						s.mu.Lock()
						defer s.mu.Unlock()
						s.limitSentTo[id] = i.Name
					})
					cancel()
					rwtime.Sleep(ctx, limitReadInterval)
				}
			})
		}
	}
	running.Wait()
}

// changeLimits has servers name limits, one after the other, change them and end them, until
// ctx ends or faults are no longer injected.
func (s *Soak) changeLimits(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	var running sync.WaitGroup
	for n := range limitChangers {
		random := s.newRandom(uint64(limitChangerStream + n)) //nolint:gosec // small numbers
		running.Go(func() {
			for ctx.Err() == nil {
				s.nameLimits(ctx, random)
			}
		})
	}
	running.Wait()
}

// nameLimits has one server name a limit for a while, half of the time another one after it,
// and then none.
func (s *Soak) nameLimits(ctx context.Context, random *rand.Rand) {
	group, highest := &s.orderServers, maxPlainLimit
	if random.IntN(4) == 0 {
		group, highest = &s.modelServers, maxModelLimit
	}
	server := group.At(random.IntN(len(group.Servers)))
	s.mu.Lock()
	s.limitedServers = append(s.limitedServers, server)
	s.mu.Unlock()
	defer server.ClearLimit()
	for changes := random.IntN(2); changes >= 0; changes-- {
		limit := highest * random.Float64()
		if random.IntN(6) == 0 {
			limit = 0
		}
		server.SetLimit(limit)
		if !rwtime.Sleep(ctx, minLimitTime+time.Duration(random.Int64N(int64(maxLimitTime-minLimitTime)))) {
			return
		}
	}
}

// checkLimits checks that servers got no more requests from instances in touch than the limits
// that they named.
func (s *Soak) checkLimits() {
	counts := func(request string, at time.Time) bool {
		instance, ok := s.limitSentTo[request]
		return ok && s.inTouch(instance, at)
	}
	for _, server := range s.limitedServers {
		if exceeded := server.LimitExceeded(contactTime, counts); exceeded != "" {
			s.addViolation("limit of a server exceeded by instances in touch: %s", exceeded)
		}
	}
}
