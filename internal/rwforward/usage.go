package rwforward

import (
	"time"

	"ragwortwall/internal/rwbackend"
)

// UsageCounter counts the requests of organisations that backend servers began. It must not block.
type UsageCounter interface {
	CountBegun(organisation string, at time.Time)
}

// countBegun counts the request as begun by a server, once. A stream that goes on at another
// server and an idempotent request that is sent again are still one request.
func (c *call) countBegun(at time.Time) {
	if c.usageCounted || c.f.Usage == nil {
		return
	}
	c.usageCounted = true
	c.f.Usage.CountBegun(c.org.Name, at)
}

// countAnswered counts a request that a server has answered whole. It began when the response
// came, less the server's usual time for one, but not before it was sent.
func (c *call) countAnswered(server rwbackend.View, sentAt time.Time) {
	began := time.Now().Add(-server.Latency)
	if began.Before(sentAt) {
		began = sentAt
	}
	c.countBegun(began)
}

// countFirstEvent counts a stream whose first event has come. One that goes on from the memory of
// an earlier run is the same run.
func (s *stream) countFirstEvent(target attemptTarget) {
	if target.kvSource == "" {
		s.countBegun(time.Now())
	}
}
