package rwsoak

import (
	"context"
	"math/rand/v2"
	"time"

	"ragwortwall/internal/rwtime"
	"ragwortwall/platform/standin"
)

// What servers say of themselves during a run, and the users' rules on it.
const (
	minStatementGap       = 500 * time.Millisecond // between two servers that say something
	maxStatementGap       = 2 * time.Second
	minPause              = 2 * time.Second
	maxPause              = 6 * time.Second
	pauseSettled          = 500 * time.Millisecond // from an instance's refusal until its server gets nothing
	maxPauseArrivals      = 2                      // at a server from an instance from then until the end of the pause
	drainTime             = 2 * time.Second        // from a leaving server's response until it gets nothing
	maxLeavingShare       = 4                      // one in so many model servers leaves
	statementRandomStream = 300
)

// sayStatements has servers say that they want a pause or, a few model servers, that they
// leave, one after the other, until ctx ends or faults are no longer injected.
func (s *Soak) sayStatements(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	random := s.newRandom(statementRandomStream)
	for leaving := 0; rwtime.Sleep(ctx, randomBetween(random, minStatementGap, maxStatementGap)); {
		group := &s.orderServers
		if random.IntN(2) == 0 {
			group = &s.modelServers
		}
		server, pause := group.At(random.IntN(len(group.Servers))), randomBetween(random, minPause, maxPause)
		s.mu.Lock()
		s.sayingServers = append(s.sayingServers, server)
		s.mu.Unlock()
		if group == &s.modelServers && leaving < len(group.Servers)/maxLeavingShare {
			leaving++
			server.SayLeaving()
			continue
		}
		server.SayPause(pause)
		time.AfterFunc(pause, func() { server.SayPause(0) })
	}
}

func randomBetween(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// checkStatements checks that instances in touch sent no requests to servers that they had
// been told to leave alone.
func (s *Soak) checkStatements() {
	for _, server := range s.sayingServers {
		requests := server.Requests()
		for n, told := range requests {
			s.checkTold(server, told, requests[n+1:])
		}
	}
}

// checkTold checks the requests that a server got after it has told an instance to leave it
// alone.
func (s *Soak) checkTold(server *standin.Server, told standin.Received, later []standin.Received) {
	instance, ok := s.limitSentTo[told.Request]
	if !ok || !told.Leaving && told.Pause == 0 {
		return
	}
	paused := 0
	for _, r := range later {
		after := r.At.Sub(told.At)
		if s.limitSentTo[r.Request] != instance || !s.undisturbed(instance, told.At, r.At) {
			continue
		}
		if told.Leaving && after > drainTime+pauseSettled {
			s.addViolation("server %s got request %s %s after it had told %s that it is leaving", server.ID, r.Request, after, instance)
		}
		if after > pauseSettled && after < told.Pause {
			paused++
		}
	}
	if paused > maxPauseArrivals {
		s.addViolation("server %s got %d requests from %s within the pause of %s that it had asked for", server.ID, paused, instance, told.Pause)
	}
}

// undisturbed reports whether no fault put an instance out of touch in a period.
func (s *Soak) undisturbed(instance string, from, to time.Time) bool {
	for _, d := range s.disturbances {
		if (d.instance == "" || d.instance == instance) && !d.start.After(to) && (d.end.IsZero() || d.end.Add(contactTime).After(from)) {
			return false
		}
	}
	return true
}
