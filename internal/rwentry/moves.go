package rwentry

import (
	"context"
	"time"

	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwroute"
	"ragwortwall/internal/rwtime"
	"ragwortwall/internal/rwversion"
)

const (
	// moveInterval is how often an instance sends its evidence about new versions to
	// its peers and checks whether a step is due.
	moveInterval = 500 * time.Millisecond
	// capacityInterval is how often an instance looks which servers of a service with a move
	// can take requests. Servers leave or crash within a second.
	capacityInterval = 100 * time.Millisecond
	// recordTimeout is the timeout of writing one step.
	recordTimeout = 2 * time.Second
)

// moves carries out version moves, which send a service's requests step by step to
// servers of another version. Package rwversion decides on the steps.
type moves struct {
	instance *Instance
	tracker  rwversion.Moves
}

// apply applies the orders that were added, changed or deleted in the store.
func (m *moves) apply(b rwfeed.Batch) {
	for _, c := range b.Changes {
		if c.Deleted {
			m.tracker.Remove(c.Name)
			continue
		}
		move, err := m.instance.DecodeMove(c)
		if err != nil {
			m.instance.Log.Info("cannot decode the order of a version move", "name", c.Name, "cause", err.Error())
			continue
		}
		m.tracker.Put(move)
		m.instance.Log.Info("received the order of a version move", "name", move.Name, "service", move.Service, "target", move.Target, "length", move.Duration.Seconds(), "state", int(move.State), "revision", move.Revision, "created", move.Created)
	}
}

// watchCapacity records the capacity of the services with moves until ctx ends.
func (m *moves) watchCapacity(ctx context.Context) {
	rwtime.Every(ctx, capacityInterval, func() {
		for _, move := range m.tracker.Running() {
			if c := m.capacity(move); m.tracker.SetCapacity(move.Service, c) {
				m.instance.Log.Info("capacity of the new version", "service", move.Service, "target", move.Target, "enough", c.Enough(),
					"servers", c.New.Servers, "requests", c.New.Requests, "tokens", c.New.Tokens, "old", c.Old.Servers, "running", c.Load.Requests, "held", c.Load.Tokens)
			}
		}
	})
}

// capacity returns what is known of the servers of a service with a move.
func (m *moves) capacity(move rwversion.Move) rwversion.Capacity {
	var engine rwroute.Engine
	if table := m.instance.feeds.desiredState.Table(); table != nil {
		if service, ok := table.Service(move.Service); ok {
			engine = service.Engine
		}
	}
	takenBack := m.tracker.TakenBack(move.Service)
	var c rwversion.Capacity
	for _, v := range m.instance.directory.All() {
		if v.Service != move.Service {
			continue
		}
		c.Load = c.Load.Plus(rwversion.Room{Requests: max(v.Runs, v.Plain+v.OtherRequests), Tokens: v.Committed})
		room := rwversion.Room{Servers: 1, Requests: max(v.Slots, engine.Slots), Tokens: engine.Memory}
		switch {
		case v.Leaving || v.SaidLeaving:
		case v.Version != move.Target:
			if !takenBack.Has(v.Version) {
				c.Old = c.Old.Plus(room)
			}
		case !v.Suspect:
			c.New = c.New.Plus(room)
		}
	}
	return c
}

// run sends evidence to the peers and records due steps until ctx ends.
func (m *moves) run(ctx context.Context) {
	rwtime.Every(ctx, moveInterval, func() {
		for service, total := range m.tracker.ChangedEvidence(m.instance.members.Count() - 1) {
			m.instance.exchange.AnnounceVersionTotal(service, total)
		}
		if m.instance.feeds.watchesStore() {
			m.recordSteps(ctx)
		}
	})
}

// recordSteps writes the due steps to the store. If several watchers write the same
// step, the first one succeeds and the others get it from the store.
func (m *moves) recordSteps(ctx context.Context) {
	for _, s := range m.tracker.Steps() {
		callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		m.instance.counters.Increment("store_write_moves")
		err := m.instance.Stores.Moves.Record(callCtx, s)
		cancel()
		if err != nil {
			m.instance.Log.Info("cannot record a step of a version move", "name", s.Name, "target", s.Target, "next", int(s.Next), "cause", err.Error())
			continue
		}
		m.instance.Log.Info("recorded a step of a version move", "name", s.Name, "target", s.Target, "next", int(s.Next), "reason", s.Reason)
		s.State = s.Next
		m.tracker.Put(s.Move)
	}
}
