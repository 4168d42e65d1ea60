package rwgeneration

import (
	"context"

	"ragwortwall/internal/rwslot"
	"ragwortwall/pkg/rwset"
)

// reservation acquires a slot for the next attempt while the stream of the current one is
// silent. The stream is given up only for such a slot: a sound server may go on after a
// pause, and its slot would go to another request.
type reservation struct {
	primary    *Primary
	generation *Generation
	avoid      rwset.Set[string] // servers that failed or didn't answer
	silent     string            // server of the current attempt
	allowed    bool              // a further attempt may be made

	slot      *grantedSlot
	spentFrom string // route whose retry budget paid for the slot; empty if none did
}

func (p *Primary) newReservation(g *Generation, avoid rwset.Set[string], silent string, allowed bool) *reservation {
	r := &reservation{primary: p, generation: g, avoid: rwset.New(silent), silent: silent, allowed: allowed}
	for server := range avoid {
		r.avoid.Add(server)
	}
	return r
}

// acquire reports whether it acquired a free slot at another server, which answers. It
// doesn't wait for one. A generation without a reader gets none, as another instance may
// have taken it over.
func (r *reservation) acquire(ctx context.Context) bool {
	p, g := r.primary, r.generation
	tree := p.Tree()
	route, ok := tree.Route(g.Spec.Route)
	if !r.allowed || !ok || !g.hasReader() {
		return false
	}
	if count, _, _ := g.Journal.State(); count == 0 {
		if !p.Budget.Spend(g.Spec.Route) {
			return false
		}
		r.spentFrom = g.Spec.Route
	}
	s := &slotSearch{primary: p, generation: g, tree: tree, route: route, avoid: r.avoid, exclude: r.silent, resume: true}
	slot, err := s.searchOnce(ctx, 0)
	if err != nil {
		r.release()
		return false
	}
	r.slot = slot
	// Its owner may not know yet that the server is silent, too.
	if p.probe(ctx, slot.server.Address) != nil {
		r.avoid.Add(slot.server.Name)
		r.release()
		return false
	}
	return true
}

// release returns the slot and the token of the retry budget, if any.
func (r *reservation) release() {
	if r.slot != nil {
		go r.primary.Slots.Release(r.slot.server.Name, r.slot.request.Lease, rwslot.OutcomeDone, 0)
		r.slot = nil
	}
	if r.spentFrom != "" {
		r.primary.Budget.Deposit(r.spentFrom, 1)
		r.spentFrom = ""
	}
}
