package rwentry

import (
	"context"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwpeer"
	"ragwortwall/internal/rwtime"
)

const (
	// registerTimeout is how long to wait for the list of instances before writing this
	// one, and the timeout of one write.
	registerTimeout      = 2 * time.Second
	registerPollInterval = 100 * time.Millisecond
	registerRetryPause   = time.Second
	// listedTimeout is how long to wait for an entry that was written to come back in the list.
	listedTimeout = 15 * time.Second
	// probeTimeout is many times what an instance that lives takes to answer.
	probeTimeout = time.Second
)

// register writes this instance to the list in the store, unless it is there already, and
// again when its entry is missing: the store has lost it, or another instance has removed it.
func (i *Instance) register(ctx context.Context) {
	member := rwpeer.Member{
		Name: i.Settings.Name, Zone: i.Settings.Zone, PeerAddress: i.Settings.PeerAddress, NoticeAddress: i.Settings.DatagramAddress, MemoryBytes: i.Settings.MemoryLimit,
		Renews: true,
	}
	for ctx.Err() == nil {
		era, ctx, cancel := i.Stores.Era.Until(ctx)
		i.registerIn(ctx, era, member)
		for rwtime.Sleep(ctx, registerRetryPause) {
			if !i.members.IsListed() && !i.leaving.Load() {
				i.Log.Info("the entry of this instance is missing, writing it again")
				i.counters.Increment("entry_written_again")
				i.registerIn(ctx, era, member)
			}
		}
		cancel()
	}
}

// registerIn registers this instance in an era of the store. It returns when that is done and
// the list shows it, or ctx ends.
func (i *Instance) registerIn(ctx context.Context, era int64, member rwpeer.Member) {
	listKnown := func() bool {
		_, known := i.feeds.members.Age()
		return known && i.feeds.members.Position().Era >= era
	}
	i.waitFor(ctx, registerTimeout, listKnown)
	for ctx.Err() == nil && (!listKnown() || !i.members.ListedAs(member)) {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		i.counters.Increment("store_write_instances")
		err := i.Stores.Members.Put(callCtx, member.Name, member)
		cancel()
		if err == nil {
			i.waitFor(ctx, listedTimeout, i.members.IsListed)
			return
		}
		i.Log.Info("cannot register the instance, will retry", "cause", err.Error())
		rwtime.Sleep(ctx, registerRetryPause)
	}
}

// waitFor waits until a condition holds, at most for a time.
func (i *Instance) waitFor(ctx context.Context, longest time.Duration, condition func() bool) {
	for start := time.Now(); time.Since(start) < longest; {
		if condition() || !rwtime.Sleep(ctx, registerPollInterval) {
			return
		}
	}
}

// removeAbsent removes the entries of instances that left, until ctx ends. Those that watch the
// store do so, as far as it answers them.
func (i *Instance) removeAbsent(ctx context.Context) {
	rwtime.Every(ctx, i.Absence.ProbeInterval(), func() {
		if !i.feeds.watchesStore() || !i.feeds.stateWatcher.Current() || i.leaving.Load() {
			return
		}
		probed := i.Absence.Update(i.members.Listed(), i.members.HeardAt, time.Now())
		i.probeListed(ctx, probed)
		for _, gone := range i.Absence.Gone(probed) {
			i.removeEntry(ctx, gone)
		}
	})
}

// probeListed asks listed instances who they are.
func (i *Instance) probeListed(ctx context.Context, listed []rwpeer.Listed) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var probes sync.WaitGroup
	for _, l := range listed {
		probes.Go(func() {
			i.counters.Increment("instances_probed")
			there := rwfeed.Identify(ctx, l.PeerAddress, l.Name)
			i.Absence.Probed(l.Name, there, time.Now())
			if there {
				i.members.RecordHeard(l.Name)
			}
		})
	}
	probes.Wait()
}

func (i *Instance) removeEntry(ctx context.Context, l rwpeer.Listed) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	i.counters.Increment("store_write_instances")
	err := i.Stores.Members.Remove(ctx, l.Name, l.Position)
	switch {
	case err == nil:
		i.Absence.Removed(l.Name)
		i.counters.Increment("instances_removed")
		i.Log.Info("entry of an instance that left removed", "instance", l.Name, "zone", l.Zone, "address", l.PeerAddress, "revision", l.Position.String())
	case rwerror.Is(err, rwerror.KindNotFound), rwerror.Is(err, rwerror.KindConflict):
		i.Absence.Removed(l.Name) // another instance was first, or the entry was written again
	default:
		i.Log.Info("cannot remove the entry of an instance that left, will retry", "instance", l.Name, "cause", err.Error())
	}
}
