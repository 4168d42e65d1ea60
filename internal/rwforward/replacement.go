package rwforward

import (
	"context"
	"sync"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwroute"
	"ragwortwall/pkg/rwset"

	"github.com/go-logr/logr"
)

// ReplacementVerifier adds servers that the store does not list yet. A server that restarted
// with a new id answers at the address of its predecessor; while the store is
// unavailable this is the only sign of it. It is added only if its own description
// proves which service it belongs to. Set the exported fields before first use.
type ReplacementVerifier struct {
	Engines EngineClient
	Table   func() *rwroute.Table       // returns the routes in force; nil if they are unknown
	Adopt   func(rwbackend.Entry) error // adds an entry to the list of servers
	Log     logr.Logger

	mu      sync.Mutex
	pending rwset.Set[string] // addresses of servers that are being verified
}

// VerifyAsync verifies in the background a server with the given id that answered at
// the address of old, and adds it if it replaces old.
func (n *ReplacementVerifier) VerifyAsync(old rwbackend.Entry, id string) {
	if id == "" || id == old.ID {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pending.Has(old.Address) {
		return
	}
	if n.pending == nil {
		n.pending = rwset.New[string]()
	}
	n.pending.Add(old.Address)
	go n.verify(old, id)
}

// verify asks the server for its description, and adds it or logs why not.
func (n *ReplacementVerifier) verify(old rwbackend.Entry, id string) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.pending.Remove(old.Address)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	description, err := n.Engines.Describe(ctx, old.Address)
	if err != nil {
		n.Log.Info("replacement server rejected", "server", id, "address", old.Address, "was", old.ID, "cause", err.Error())
		return
	}
	table := n.Table()
	switch {
	case table == nil || !table.Provides(old.Service, description.Models):
		n.Log.Info("replacement server rejected", "server", id, "address", old.Address, "was", old.ID, "cause", "its models do not identify the service", "models", description.Models)
		return
	case !description.Ready || description.Incarnation <= old.Incarnation:
		n.Log.Info("replacement server rejected", "server", id, "address", old.Address, "was", old.ID, "cause", "not ready, or its incarnation is not newer", "incarnation", description.Incarnation)
		return
	}
	replacement := old
	replacement.ID, replacement.Incarnation, replacement.Leaving, replacement.WarmUp = id, description.Incarnation, false, 0
	if err := n.Adopt(replacement); err != nil {
		n.Log.Info("replacement server rejected", "server", id, "address", old.Address, "was", old.ID, "cause", err.Error())
		return
	}
	n.Log.Info("replacement server added", "server", id, "address", old.Address, "was", old.ID, "service", old.Service, "incarnation", description.Incarnation)
}
