package rwentry

import (
	"context"
	"time"

	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwtime"
	"ragwortwall/internal/rwversion"
)

const (
	// moveInterval is how often instances tell each other what they have seen of a
	// new version, and look whether a step is due.
	moveInterval = 500 * time.Millisecond
	// recordTimeout is how long the write of a step may take.
	recordTimeout = 2 * time.Second
)

// moves carries out version moves by what package rwversion decides.
type moves struct {
	instance *Instance
	book     rwversion.Book
}

// apply takes in orders from the store.
func (m *moves) apply(b rwfeed.Batch) {
	for _, c := range b.Changes {
		if c.Gone {
			m.book.Remove(c.Name)
			continue
		}
		o, err := m.instance.DecodeMove(c)
		if err != nil {
			m.instance.Log.Info("order of a move can't be read", "name", c.Name, "cause", err.Error())
			continue
		}
		m.book.Put(o)
		m.instance.Log.Info("move ordered", "name", o.Name, "service", o.Service, "target", o.Target, "length", o.Length.Seconds(), "state", int(o.State), "revision", o.Revision)
	}
}

// run tells and writes until ctx ends.
func (m *moves) run(ctx context.Context) {
	rwtime.Every(ctx, moveInterval, func() {
		for service, total := range m.book.Own() {
			m.instance.exchange.TellMove(service, total)
		}
		if m.instance.feeds.watchesStore() {
			m.recordSteps(ctx)
		}
	})
}

// recordSteps writes the steps that are due. Of several watchers one comes first; the
// others learn of it from the store.
func (m *moves) recordSteps(ctx context.Context) {
	for _, s := range m.book.Steps() {
		call, cancel := context.WithTimeout(ctx, recordTimeout)
		err := m.instance.Stores.Moves.Record(call, s)
		cancel()
		if err != nil {
			m.instance.Log.Info("step of a move not written", "name", s.Name, "target", s.Target, "next", int(s.Next), "cause", err.Error())
			continue
		}
		m.instance.Log.Info("step of a move", "name", s.Name, "target", s.Target, "next", int(s.Next), "reason", s.Reason)
		s.State = s.Next
		m.book.Put(s.Order)
	}
}
