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
	claimTTL     = 15 * time.Minute
	maxClaims    = 200_000
	claimTimeout = 300 * time.Millisecond
)

// claims binds each Idempotency-Key to the hash of one request body. Rendezvous
// hashing selects the instance that stores a key. Bindings are kept in memory
// only: they detect a caller that reuses a key by mistake and needn't survive a
// failure. If the instance of a key fails, the next request binds the key again.
type claims struct {
	view  *rwmember.View
	peers func(address string) rwwire.DRPCInstanceClient

	mu      sync.Mutex
	entries map[uint64]claim
}

// claim is the binding of one key.
type claim struct {
	bodyHash uint64
	boundAt  time.Time
}

// Claim binds a key to a body, both given as hashes. It returns an error of
// KindMismatch if the key is bound to another body. If the call to the instance that
// stores the key fails, or takes longer than claimTimeout, the body is accepted.
func (c *claims) Claim(ctx context.Context, key, bodyHash uint64) error {
	name := rwmember.First(key, c.view.Live())
	var mismatch bool
	if m, ok := c.view.Member(name); ok && name != c.view.Self().Name {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		reply, err := c.peers(m.Address).Claim(ctx, &rwwire.ClaimRequest{Key: key, Body: bodyHash})
		mismatch = err == nil && reply.Mismatch
	} else {
		mismatch = !c.bind(key, bodyHash)
	}
	if mismatch {
		return rwerror.New(rwerror.KindMismatch, "use a new Idempotency-Key for a new request",
			"the Idempotency-Key was already used with a different body")
	}
	return nil
}

// bind binds the key unless an unexpired binding exists. It reports whether the
// key is now bound to the given body. When maxClaims is reached, all bindings are
// dropped.
func (c *claims) bind(key, bodyHash uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if e, ok := c.entries[key]; ok && now.Sub(e.boundAt) < claimTTL {
		return e.bodyHash == bodyHash
	}
	if c.entries == nil || len(c.entries) >= maxClaims {
		c.entries = map[uint64]claim{}
	}
	c.entries[key] = claim{bodyHash: bodyHash, boundAt: now}
	return true
}
