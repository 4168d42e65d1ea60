package rwforward

import (
	"math/rand/v2"
	"slices"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlog"
)

// recordFull records and publishes that a server is full, if its load says so. refused is set if
// it did not run a request because of that.
func (c *call) recordFull(server string, load rwbackend.Load, refused bool) {
	full, found := c.f.Directory.RecordFull(server, load, refused)
	if !found {
		return
	}
	c.f.Counters.increment("servers_full")
	c.f.Log.V(rwlog.Routine).Info("server is full", "request", c.info.ID, "server", server, "running", load.Running, "waiting", load.Waiting, "queue", full.Queue, "pace", load.Pace, "refused", refused, "for", full.For.Seconds())
	if c.f.NotifyServerFull != nil {
		c.f.NotifyServerFull(server, full)
	}
}

// withoutFull returns the servers that aren't full. If the service is full as a whole, the request
// is refused: it would be tried at one full server after the other.
func (c *call) withoutFull(servers []rwbackend.View) ([]rwbackend.View, error) {
	soonest, full, left := rwbackend.MaxFull, 0, 0
	for _, s := range servers {
		switch {
		case s.FullFor > 0:
			full++
			soonest = min(soonest, s.FullFor)
		case !c.tried[s.ID]:
			left++
		}
	}
	if full == 0 {
		return servers, nil
	}
	if left == 0 || rand.Float64() < refusedShare(full, len(servers)) {
		c.f.Counters.increment("service_full")
		return nil, fullError(full, len(servers), soonest)
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s rwbackend.View) bool { return s.FullFor > 0 }), nil
}

// refusedShare is the share of requests that are refused while some servers of a service are full.
// Once more than half are, the others would get so much more than their share that they are
// full before anyone hears of it.
func refusedShare(full, servers int) float64 {
	return 2*float64(full)/float64(servers) - 1
}

// fullError is returned if a service is full. Callers come back when the first of its servers has
// drained its queue in part, not all at the same moment: see formatRetryAfter.
func fullError(full, servers int, soonest time.Duration) error {
	return rwerror.New(rwerror.KindOverloaded, "retry after the time in Retry-After",
		"the queues of %d of the %d backend servers that could run the request are full", full, servers).WithRetryAfter(max(shortRetryAfter, soonest))
}
