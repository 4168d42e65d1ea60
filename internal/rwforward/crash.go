package rwforward

import (
	"context"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwpoison"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashCheckDelay is the time between the loss of a server and the check whether
	// a request crashed it. By then other servers lost at the same time have been
	// detected.
	crashCheckDelay = 400 * time.Millisecond
	// quarantineCrashes is how many distinct servers must crash while running a
	// request before it is quarantined. It is one more than package rwpoison requires
	// of suspects that run alone, because here other requests run beside them.
	quarantineCrashes = 3
)

// fingerprint identifies a request across retries: it covers the organisation,
// method, host, path, query and body. Ids of the request and of parts of its prompt may
// be new in each attempt.
func (c *call) fingerprint() rwpoison.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{c.org.Name, c.r.Method, c.r.Host, c.requestTarget()} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return rwpoison.Fingerprint(h.Sum64())
}

// Reasons why the loss of a server is not counted against the request that it ran.
const (
	reasonCorrelated    = "correlated"    // another server of its zone was lost at the same time, or it is not listed
	reasonAccepts       = "accepts"       // its address accepts connections
	reasonReused        = "reused"        // the request was sent on a reused connection
	reasonOwnTimeout    = "own-timeout"   // this instance ended the attempt
	reasonDeadline      = "deadline"      // the deadline had passed
	reasonCallerLeft    = "caller-left"   // the caller disconnected
	reasonEndedNoEvents = "ended-quietly" // the stream ended in order, without an event
)

// reportCrash suspects the request of having crashed a server that was lost while
// running it. It does nothing if the server accepts connections or was lost together
// with others of its zone.
func (c *call) reportCrash(server rwbackend.Entry, cause error) {
	fingerprint, f := c.fingerprint(), c.f
	time.AfterFunc(crashCheckDelay, func() {
		if f.Directory.IsCorrelatedLoss(server.ID) {
			c.logLossIgnored(server, reasonCorrelated, cause)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		if accepted, _ := rwlink.TryConnect(ctx, server.Address, dialTimeout/2); accepted {
			c.logLossIgnored(server, reasonAccepts, cause)
			return
		}
		crashes := len(f.Poison.Get(fingerprint).Servers)
		suspicion := f.Poison.Implicate(fingerprint, server.ID, crashes >= quarantineCrashes-1)
		f.Counters.increment("crashes_counted")
		f.Log.Info("server crashed while running a request", "request", c.info.ID, "fingerprint", fingerprint.String(), "server", server.ID, "cause", cause.Error(),
			"crashes", len(suspicion.Servers), "quarantined", suspicion.Quarantined)
		f.NotifySuspicion(suspicion)
	})
}

// logLossIgnored logs that the loss of a server is not counted against the request.
func (c *call) logLossIgnored(server rwbackend.Entry, reason string, cause error) {
	fingerprint := c.fingerprint()
	c.f.Counters.increment("crashes_ignored_" + reason)
	c.f.Log.Info("server loss not counted against the request", "request", c.info.ID, "fingerprint", fingerprint.String(), "server", server.ID, "reason", reason,
		"cause", cause.Error(), "crashes", len(c.f.Poison.Get(fingerprint).Servers))
}
