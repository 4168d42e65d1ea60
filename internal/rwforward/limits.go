package rwforward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlimit"
	"ragwortwall/internal/rwpick"
)

// maxLimitWait is how long a request waits for the answer to a question about a server's
// limit, at most. It covers a question that is sent again because of a lost datagram.
const maxLimitWait = 150 * time.Millisecond

// maxInvalidText bounds how much of what a server says wrongly is logged, in bytes.
const maxInvalidText = 200

func limitedServer(e rwbackend.Entry) rwlimit.Server {
	return rwlimit.Server{ID: e.ID, Incarnation: e.Incarnation}
}

// observeServer records what a response says of its server: its limit, that it is leaving, or
// that it wants no requests for a while. Another server answers a misdirected request.
func (c *call) observeServer(server rwbackend.Entry, status int, reply ResponseInfo, sentAt time.Time) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	if reply.InvalidLimit != "" {
		c.f.Limits.ReportInvalid(limitedServer(server), reply.InvalidLimit)
	}
	if reply.InvalidLoad {
		c.f.Counters.increment("loads_invalid")
	}
	c.f.Limits.Observe(limitedServer(server), reply.Limit, sentAt)
	c.observeStatement(server, status, reply.Statement)
}

func (c *call) observeStatement(server rwbackend.Entry, status int, s rwbackend.Statement) {
	news := c.f.Directory.RecordStatement(server, s)
	if news.Invalid {
		c.f.Log.Info("ignoring what a server says of itself", "request", c.info.ID, "server", server.ID, "status", status, "text", s.Invalid[:min(len(s.Invalid), maxInvalidText)])
	}
	if news.Leaving {
		c.f.Counters.increment("servers_left")
		c.f.Log.Info("server says that it is leaving", "request", c.info.ID, "server", server.ID, "incarnation", server.Incarnation, "status", status)
	}
	if news.Pause > 0 {
		c.f.Counters.increment("servers_paused")
		c.f.Log.Info("server wants no requests", "request", c.info.ID, "server", server.ID, "incarnation", server.Incarnation, "asked", s.RetryAfter.Seconds(), "pause", news.Pause.Seconds())
	}
}

// noServerError is returned if none of the servers to choose from can accept the request. If
// others want a pause, the time to come back is that of the first one to return, unless a
// server to choose from may have room before.
func (c *call) noServerError(servers int) error {
	paused, soonest := c.f.Directory.Paused(c.service.Name)
	if paused > 0 {
		retryAfter := max(shortRetryAfter, soonest)
		if servers > 0 {
			retryAfter = min(retryAfter, longRetryAfter/2)
		}
		return rwerror.New(rwerror.KindOverloaded, "retry after the time in Retry-After",
			"none of the %d backend servers of the service can accept the request, and %d others want a pause", servers, paused).WithRetryAfter(retryAfter)
	}
	return rwerror.New(rwerror.KindUnavailable, "retry after the time in Retry-After",
		"none of the %d backend servers of the service can accept the request", servers).WithRetryAfter(longRetryAfter / 2)
}

// limitUrgency orders the request among those that share a server's limit.
func (c *call) limitUrgency() rwlimit.Urgency {
	return rwlimit.Urgency{Priority: c.urgency.LimitPriority(), Repeat: c.attempts > 0}
}

// splitByLimit returns the servers that may get a request now and those whose limit leaves
// none. Tokens of the latter are asked for, so that later requests find them.
func (c *call) splitByLimit(servers []rwbackend.View) (ready, limited []rwbackend.View) {
	for _, s := range servers {
		if c.f.Limits.Ready(limitedServer(s.Entry)) {
			ready = append(ready, s)
		} else {
			limited = append(limited, s)
		}
	}
	return ready, limited
}

// awaitToken waits for a token of one of the servers and takes it.
func (c *call) awaitToken(servers []rwbackend.View) (server rwbackend.View, retryAfter time.Duration, ok bool) {
	keys := make([]rwlimit.Server, len(servers))
	for n, s := range servers {
		keys[n] = limitedServer(s.Entry)
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), min(maxLimitWait, c.remaining()))
	defer cancel()
	began := time.Now()
	key, retryAfter, ok := c.f.Limits.Wait(ctx, keys, c.limitUrgency())
	if !ok {
		c.f.Counters.increment("limits_reached")
		return rwbackend.View{}, retryAfter, false
	}
	n := slices.Index(keys, key)
	c.f.Log.Info("waited for a server's limit", "request", c.info.ID, "server", key.ID, "waited", time.Since(began).Seconds(), "sent", c.attempts)
	return servers[n], 0, true
}

// limitError is returned if the limits of all servers that could run the request are used up.
func limitError(servers int, retryAfter time.Duration) error {
	return rwerror.New(rwerror.KindOverloaded, "retry after the time in Retry-After",
		"the limits that the %d backend servers of the service name are used up", servers).WithRetryAfter(max(shortRetryAfter, retryAfter))
}

// pickWithinLimits chooses an untried server for a plain request and takes a token if the
// server has a limit. A server in back-off is chosen only if none with a limit has a token.
func (c *call) pickWithinLimits(servers []rwbackend.View) (rwbackend.View, error) {
	isTried := func(id string) bool { return c.tried[id] }
	servers, err := c.withoutFull(servers)
	if err != nil {
		return rwbackend.View{}, err
	}
	ready, limited := c.splitByLimit(servers)
	limited = slices.DeleteFunc(limited, func(s rwbackend.View) bool { return s.Suspect || isTried(s.ID) })
	var retryAfter time.Duration
	for {
		server, found := rwpick.Plain(ready, c.f.Zone, isTried)
		if (!found || server.Suspect) && len(limited) > 0 {
			waited, wait, ok := c.awaitToken(limited)
			if ok {
				return waited, nil
			}
			limited, retryAfter = nil, wait
		}
		switch {
		case found && c.f.Limits.Take(limitedServer(server.Entry)):
			return server, nil
		case !found && retryAfter > 0:
			return server, limitError(len(servers), retryAfter)
		case !found:
			return server, c.noServerError(len(servers))
		}
		// Another request took the token meanwhile.
		ready = slices.DeleteFunc(ready, func(s rwbackend.View) bool { return s.ID == server.ID })
		retryAfter = max(retryAfter, shortRetryAfter)
	}
}

// chooseWithinLimits is chooseTarget for servers whose limits leave a request, of which it
// takes a token. retryAfter is set if limits are why there is no target.
func (s *stream) chooseWithinLimits(servers []rwbackend.View) (target attemptTarget, retryAfter time.Duration, ok bool) {
	ready, limited := s.splitByLimit(servers)
	if n := slices.IndexFunc(limited, func(v rwbackend.View) bool { return v.ID == s.run.Copy }); n >= 0 {
		// Without its copy the stream reads its prompt again.
		if _, _, ok := s.awaitToken(limited[n : n+1]); ok {
			return s.chooseLimited(limited[n], ready)
		}
	}
	for {
		target, ok := s.chooseTarget(ready)
		if !ok {
			break
		}
		if s.f.Limits.Take(limitedServer(target.server.Entry)) {
			return target, 0, true
		}
		ready = slices.DeleteFunc(ready, func(v rwbackend.View) bool { return v.ID == target.server.ID })
	}
	limited = slices.DeleteFunc(limited, func(v rwbackend.View) bool {
		_, ok := s.chooseTarget([]rwbackend.View{v})
		return !ok || v.Suspect
	})
	if len(limited) == 0 {
		return attemptTarget{}, 0, false
	}
	server, wait, ok := s.awaitToken(limited)
	if !ok {
		return attemptTarget{}, wait, false
	}
	return s.chooseLimited(server, ready)
}

// chooseLimited returns the target on a server of which a token was taken. others may hold
// its copy.
func (s *stream) chooseLimited(server rwbackend.View, others []rwbackend.View) (attemptTarget, time.Duration, bool) {
	target, ok := s.chooseTarget([]rwbackend.View{server})
	if ok && !target.placement.Copied {
		need := rwpick.Need{Prompt: s.info.Prompt, Output: s.info.MaxOutput}
		target.placement.Copy, target.placement.Copied = rwpick.Copy(others, s.engineSize(), need, server, func(id string) bool { return s.tried[id] })
	}
	return target, 0, ok
}

// readyServers returns the servers that may get a request now.
func (c *call) readyServers() []rwbackend.View {
	ready, _ := c.splitByLimit(c.candidateServers())
	return ready
}
