package rwforward

import (
	"context"
	"sync"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwroute"
	"ragwortwall/pkg/rwset"

	"github.com/go-logr/logr"
)

// Newcomers takes up servers that the store does not list yet. A server that has
// started again answers in the place of the one that was; while the store is away
// nobody else can tell that it is there. It is used only where what it says of
// itself leaves no doubt whose work it does. Set the exported fields before first
// use.
type Newcomers struct {
	Engines Engines
	Table   func() *rwroute.Table       // of the desired state in force; nil when it is not known
	Adopt   func(rwbackend.Entry) error // puts an entry among those listed
	Log     logr.Logger

	mu      sync.Mutex
	pending rwset.Set[string] // addresses
}

// Discovered notes that a server with another id answered in a server's place.
func (n *Newcomers) Discovered(old rwbackend.Entry, id string) {
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

func (n *Newcomers) verify(old rwbackend.Entry, id string) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.pending.Remove(old.Address)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	said, err := n.Engines.Describe(ctx, old.Address)
	if err != nil {
		n.Log.Info("newcomer passed over", "server", id, "address", old.Address, "was", old.ID, "cause", err.Error())
		return
	}
	table := n.Table()
	switch {
	case table == nil || !table.Provides(old.Service, said.Models):
		n.Log.Info("newcomer passed over", "server", id, "address", old.Address, "was", old.ID, "cause", "its service is not sure", "models", said.Models)
		return
	case !said.Ready || said.Incarnation <= old.Incarnation:
		n.Log.Info("newcomer passed over", "server", id, "address", old.Address, "was", old.ID, "cause", "it is leaving, or no later than the one before", "incarnation", said.Incarnation)
		return
	}
	next := old
	next.ID, next.Incarnation, next.Leaving, next.Cold = id, said.Incarnation, false, 0
	if err := n.Adopt(next); err != nil {
		n.Log.Info("newcomer passed over", "server", id, "address", old.Address, "was", old.ID, "cause", err.Error())
		return
	}
	n.Log.Info("newcomer taken up", "server", id, "address", old.Address, "was", old.ID, "service", old.Service, "incarnation", said.Incarnation)
}
