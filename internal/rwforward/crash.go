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
	// crashCheckDelay is how long after a loss its causes are looked at: until servers
	// that were lost with it have been found lost too.
	crashCheckDelay = 400 * time.Millisecond
	// quarantineCrashes is how many distinct servers must crash under a request before
	// it is refused. One more than package rwpoison asks for of suspects that run
	// alone, as here they run beside others.
	quarantineCrashes = 3
)

// fingerprint tells a request that comes again: same caller, same path, same
// body, whatever its id.
func (c *call) fingerprint() rwpoison.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{c.org.Name, c.r.Method, c.r.Host, c.requestTarget(), c.info.Part} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return rwpoison.Fingerprint(h.Sum64())
}

// reportCrash notes a request in whose middle a server was lost, if the server
// crashed, and did so alone: the loss of a zone is no request's fault.
func (c *call) reportCrash(server rwbackend.Entry) {
	fingerprint, f := c.fingerprint(), c.f
	time.AfterFunc(crashCheckDelay, func() {
		if f.Directory.LostTogether(server.ID) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		if accepted, _ := rwlink.Reached(ctx, server.Address, dialTimeout/2); accepted {
			return
		}
		before := len(f.Poison.Of(fingerprint).Servers)
		s := f.Poison.Implicate(fingerprint, server.ID, before >= quarantineCrashes-1)
		f.Log.Info("server crashed under a request", "request", c.info.ID, "server", server.ID, "crashes", len(s.Servers), "quarantined", s.Quarantined)
		f.Suspect(s)
	})
}
