package rwserve

import (
	"context"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwwire"
)

const (
	claimLife    = 15 * time.Minute
	claimsKept   = 200_000
	claimTimeout = 300 * time.Millisecond
)

// claims binds Idempotency-Keys to bodies. Each key has its instance by
// rendezvous hash. The binding is kept in memory: it guards against a caller's
// mistake, not against a loss, so a key whose instance is lost binds anew.
type claims struct {
	view  *rwmember.View
	peers func(address string) rwwire.DRPCInstanceClient

	mu      sync.Mutex
	entries map[uint64]claim
}

type claim struct {
	body uint64
	at   time.Time
}

// Claim binds a key to a body, or refuses the body.
func (c *claims) Claim(ctx context.Context, key, body uint64) error {
	name := rwmember.First(key, c.view.Live())
	var mismatch bool
	if m, ok := c.view.Member(name); ok && name != c.view.Self().Name {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		reply, err := c.peers(m.Address).Claim(ctx, &rwwire.ClaimRequest{Key: key, Body: body})
		mismatch = err == nil && reply.Mismatch
	} else {
		mismatch = !c.take(key, body)
	}
	if mismatch {
		return rwerror.New(rwerror.KindMismatch, "use a new Idempotency-Key for a new request",
			"the key was used before with another body")
	}
	return nil
}

// take reports whether the key is free or bound to the same body.
func (c *claims) take(key, body uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if e, ok := c.entries[key]; ok && now.Sub(e.at) < claimLife {
		return e.body == body
	}
	if c.entries == nil || len(c.entries) >= claimsKept {
		c.entries = map[uint64]claim{}
	}
	c.entries[key] = claim{body: body, at: now}
	return true
}
