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
	// crashWait is how long after a loss its causes are looked at: until servers
	// that were lost with it have been found lost too.
	crashWait = 400 * time.Millisecond
	// crashesMost is how many distinct servers must crash under a request before
	// it is refused. One more than package rwpoison asks for of suspects that run
	// alone, as here they run beside others.
	crashesMost = 3
)

// fingerprint tells a request that comes again: same caller, same path, same
// body, whatever its id.
func (c *call) fingerprint() rwpoison.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{c.org.Name, c.r.Method, c.r.Host, c.target(), c.ask.Part} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return rwpoison.Fingerprint(h.Sum64())
}

// implicate notes a request in whose middle a server was lost, if the server
// crashed, and did so alone: the loss of a zone is no request's fault.
func (c *call) implicate(server rwbackend.Entry) {
	fingerprint, f := c.fingerprint(), c.f
	time.AfterFunc(crashWait, func() {
		if f.Directory.LostTogether(server.ID) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), dialTime)
		defer cancel()
		if accepted, _ := rwlink.Reached(ctx, server.Address, dialTime/2); accepted {
			return
		}
		before := len(f.Poison.Of(fingerprint).Servers)
		s := f.Poison.Implicate(fingerprint, server.ID, before >= crashesMost-1)
		f.Log.Info("server crashed under a request", "request", c.ask.ID, "server", server.ID, "crashes", len(s.Servers), "quarantined", s.Quarantined)
		f.Suspect(s)
	})
}
