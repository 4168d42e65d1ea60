package rwmove

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwengine"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwevidence"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwoperate"
	"ragwortwall/internal/rwplatform"
	"ragwortwall/internal/rwtree"

	"github.com/go-logr/logr"
)

// Intervals and limits of the decider.
const (
	decideInterval            = 500 * time.Millisecond
	decideTimeout             = 3 * time.Second
	renewInterval             = time.Second
	leaseDuration             = 4 * time.Second // since the last renewal, by the clock of the observing instance
	orderTimeout              = 2 * time.Second
	staleOrderWait            = 5 * time.Second // after this, no order of an earlier holder can be in flight
	defaultMaxConcurrentLoads = 2
)

// leaseName is the name of the object that stores the decider's lease and the
// fencing token of its orders.
const leaseName = "fence"

// EngineClient orders engines to load or unload a version, and reads their load.
type EngineClient interface {
	Order(ctx context.Context, address string, o rwengine.Order) error
	Load(ctx context.Context, address string) (rwengine.Load, error)
}

// Decider advances the moves while this instance holds the lease. Set the
// exported fields before Run.
type Decider struct {
	Mover   *Mover
	View    *rwmember.View
	Store   rwplatform.Store
	Engines EngineClient
	Log     logr.Logger

	leaseObject  rwobject.Object // as last read or written; its spec is in lease
	lease        leaseSpec
	highestToken int64                // highest fencing token that the store or an engine is known to have had
	leaseSeenAt  time.Time            // since when this instance has read the current value of lease
	leaseReadAt  time.Time            // when this instance last read lease
	renewedAt    time.Time            // start of the last successful write of the lease
	holderSince  time.Time            // when this instance acquired the lease
	soakStarted  map[string]time.Time // by the name of the move's object
	isHolder     atomic.Bool
}

// leaseSpec is the spec of the lease object.
type leaseSpec struct {
	Holder       string `json:"holder"`
	FencingToken int64  `json:"number"` // incremented with each new holder
	Renewals     int64  `json:"beat"`   // incremented with each write, so that observers see that the holder is alive
}

// Run advances the moves until ctx is cancelled.
func (d *Decider) Run(ctx context.Context) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if d.hasOpenMove() {
			d.advanceAll(ctx)
		}
	}
}

// hasOpenMove reports whether a move has not ended yet.
func (d *Decider) hasOpenMove() bool {
	for _, move := range d.Mover.Tree().Moves() {
		if !move.Ended() {
			return true
		}
	}
	return false
}

// HoldsLease reports whether this instance held the lease at the last check.
func (d *Decider) HoldsLease() bool {
	return d.isHolder.Load()
}

// advanceAll acquires or renews the lease and, if this instance holds it, advances each
// move that has not ended.
func (d *Decider) advanceAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	d.isHolder.Store(d.acquireOrRenew(ctx))
	if !d.isHolder.Load() {
		return
	}
	for _, move := range d.Mover.Tree().Moves() {
		if !move.Ended() {
			d.advance(ctx, move)
		}
	}
}

// acquireOrRenew acquires or renews the lease and reports whether this instance
// holds it. Only the first live instance in rendezvous order acquires it. The lease
// is valid from the time before its write to the store, so a holder that was paused
// during the write finds it expired.
func (d *Decider) acquireOrRenew(ctx context.Context) bool {
	self := d.Mover.Self
	preferred := rwmember.First(rwmember.Key(leaseName), d.View.Live()) == self
	if d.lease.Holder == self && time.Since(d.renewedAt) < renewInterval {
		return true
	}
	if d.lease.Holder != self && !preferred {
		return false
	}
	if err := d.readLease(ctx); err != nil {
		return false
	}
	started := time.Now()
	next := d.lease
	next.Renewals++
	if !d.isHeld() {
		if d.lease.Holder != "" && time.Since(d.leaseSeenAt) < leaseDuration {
			return false
		}
		next.Holder = self
		next.FencingToken = d.highestToken + 1
	}
	return d.writeLease(ctx, next, started)
}

// isHeld reports whether this instance holds the lease that was just read. It doesn't if
// that was not renewed in time or has a lower fencing token than one that was seen: the
// store came back from an older copy, and another instance may have held it since.
func (d *Decider) isHeld() bool {
	if d.lease.FencingToken < d.highestToken {
		d.Log.Info("the lease of the decider is older than one that was seen", "number", d.lease.FencingToken, "seen", d.highestToken, "holder", d.lease.Holder)
		return false
	}
	return d.lease.Holder == d.Mover.Self && time.Since(d.renewedAt) < leaseDuration
}

// readLease reads the lease from the store. If the object does not exist yet, the lease
// has no holder. It sets leaseSeenAt if the value has changed, or may have and came back
// because it was not read for a while.
func (d *Decider) readLease(ctx context.Context) error {
	o, err := d.Store.Get(ctx, rwobject.KindMoves, leaseName)
	if rwerror.Is(err, rwerror.KindNotFound) {
		o, err = rwobject.New(rwobject.KindMoves, leaseName, leaseSpec{}), nil
	}
	if err != nil {
		return err
	}
	var current leaseSpec
	if err := json.Unmarshal(o.Spec, &current); err != nil {
		return err
	}
	if current != d.lease || time.Since(d.leaseReadAt) > leaseDuration/2 {
		d.leaseSeenAt = time.Now()
	}
	d.leaseReadAt = time.Now()
	d.leaseObject = o
	d.lease = current
	d.highestToken = max(d.highestToken, current.FencingToken)
	return nil
}

// writeLease writes next as the lease and reports whether this instance now holds a
// valid lease. started is the time before the write, from which leaseDuration counts.
// A failed write clears lease, as its outcome may be unknown.
func (d *Decider) writeLease(ctx context.Context, next leaseSpec, started time.Time) bool {
	written, err := rwplatform.WriteConditionally(ctx, d.Store, d.leaseObject.WithSpec(next))
	if err != nil {
		d.lease = leaseSpec{}
		return false
	}
	if next.FencingToken != d.lease.FencingToken {
		d.holderSince = started
		d.Log.Info("acquired the lease of the decider", "number", next.FencingToken)
	}
	d.leaseObject = written
	d.lease = next
	d.highestToken = max(d.highestToken, next.FencingToken)
	d.renewedAt = started
	d.leaseSeenAt = started
	return time.Since(started) < leaseDuration
}

// advance computes a move's next step and writes it.
func (d *Decider) advance(ctx context.Context, move rwtree.Move) {
	if move.Phase == rwtree.PhaseUnloading {
		d.ensureUnloaded(ctx, move)
		return
	}
	before, after := d.Mover.evidence(move)
	plan := Planner{Move: move, Now: time.Now(), Before: before, After: after, BadReason: d.badReason(move, before, after), SoakElapsed: d.soakElapsed(move)}
	switch {
	case move.Phase != rwtree.PhaseLoading:
		plan.Loaded = d.canServe(move)
	case plan.BadReason == "":
		plan.Loaded = d.ensureLoaded(ctx, move)
	}
	next, changed := plan.Next()
	if !changed {
		return
	}
	if err := d.writeRouteVersion(ctx, next); err != nil {
		d.Log.Info("cannot write the new version to the route", "route", move.Route, "cause", err.Error())
		return
	}
	if err := d.Mover.writeMove(ctx, next, d.Mover.Self); err != nil {
		d.Log.Info("cannot write the step of the move", "route", move.Route, "cause", err.Error())
		return
	}
	d.Log.Info("move advanced", "route", move.Route, "phase", string(next.Phase), "share", next.Share, "reason", next.Reason)
}

// badReason returns why the new version of a move is bad: the reason of the verdict on
// it, or else the judgement of the evidence. It is empty if the version is not bad.
func (d *Decider) badReason(move rwtree.Move, before, after rwevidence.Evidence) string {
	for _, v := range d.Mover.Verdicts() {
		if v.Move == rwtree.MoveName(move.Route) {
			return v.Reason
		}
	}
	return rwevidence.Judge(before, after)
}

// soakElapsed returns the time since this instance, as the holder of the lease, first
// found the move soaking, or zero in other phases. The time is not stored, so another
// holder counts from zero again.
func (d *Decider) soakElapsed(move rwtree.Move) time.Duration {
	if d.soakStarted == nil {
		d.soakStarted = map[string]time.Time{}
	}
	name := rwtree.MoveName(move.Route)
	if move.Phase != rwtree.PhaseSoaking {
		delete(d.soakStarted, name)
		return 0
	}
	if d.soakStarted[name].IsZero() {
		d.soakStarted[name] = time.Now()
	}
	return time.Since(d.soakStarted[name])
}

// writeRouteVersion writes the new version to the route's settings when the move
// is about to complete. Otherwise the route would revert to the old version when
// the move's object is replaced.
func (d *Decider) writeRouteVersion(ctx context.Context, move rwtree.Move) error {
	if move.Phase != rwtree.PhaseDone && move.Phase != rwtree.PhaseUnloading {
		return nil
	}
	tree := d.Mover.Tree()
	o, ok := tree.Object(move.Team())
	if !ok {
		return nil
	}
	var team rwtree.Team
	if err := json.Unmarshal(o.Spec, &team); err != nil {
		return err
	}
	route, ok := tree.Route(move.Route)
	if !ok || route.Version == move.To {
		return nil
	}
	changed := route.Route
	changed.Version = move.To
	team.Routes[route.Name] = changed
	for _, name := range changed.Servers {
		team.Servers[name] = withVersion(team.Servers[name], move.To)
	}
	spec, err := json.Marshal(team)
	if err != nil {
		return err
	}
	_, err = d.Mover.Editor.Put(ctx, rwoperate.Change{Name: move.Team(), Spec: spec, Generation: o.Generation(), Author: d.Mover.Self})
	return err
}

func withVersion(s rwtree.Server, version string) rwtree.Server {
	if !slices.Contains(s.Versions, version) {
		s.Versions = append(slices.Clone(s.Versions), version)
	}
	return s
}

// ensureLoaded reports whether the new version can get traffic. If the move orders
// loads, it orders the route's servers to load the version, a few at a time to limit
// the load on the weight store, and all available servers must have it. Otherwise
// one server is enough.
func (d *Decider) ensureLoaded(ctx context.Context, move rwtree.Move) bool {
	have, missing := d.partitionServers(move, move.To)
	if !move.Load {
		return len(have) > 0
	}
	if len(missing) > 0 && d.mayOrder(missing) {
		maxConcurrentLoads := move.MaxConcurrentLoads
		if maxConcurrentLoads == 0 {
			maxConcurrentLoads = defaultMaxConcurrentLoads
		}
		for _, s := range missing[:min(maxConcurrentLoads, len(missing))] {
			d.sendOrder(ctx, s, rwengine.Order{Action: "load", Version: move.To, FencingToken: d.lease.FencingToken})
		}
	}
	return len(missing) == 0 && len(have) > 0
}

// canServe reports whether at least half of the route's available servers have the new
// version, so that the old one is not needed.
func (d *Decider) canServe(move rwtree.Move) bool {
	have, missing := d.partitionServers(move, move.To)
	return len(have) > 0 && len(have) >= len(missing)
}

// ensureUnloaded orders servers to unload the old version once no generation is
// pinned to it, and completes the move when no available server has it.
func (d *Decider) ensureUnloaded(ctx context.Context, move rwtree.Move) {
	have, _ := d.partitionServers(move, move.From)
	if len(have) == 0 {
		if err := d.Mover.writeMove(ctx, move.WithPhase(rwtree.PhaseDone, move.Reason), d.Mover.Self); err != nil {
			d.Log.Info("cannot write the step of the move", "route", move.Route, "cause", err.Error())
		}
		return
	}
	if d.Mover.hasPinned(move) || !d.mayOrder(have) || !d.canServe(move) {
		return
	}
	for _, s := range have {
		d.sendOrder(ctx, s, rwengine.Order{Action: "unload", Version: move.From, FencingToken: d.lease.FencingToken})
	}
}

// partitionServers splits the route's available servers into those that have a
// version and those that do not.
func (d *Decider) partitionServers(move rwtree.Move, version string) (have, missing []rwtree.NamedServer) {
	tree := d.Mover.Tree()
	route, ok := tree.Route(move.Route)
	if !ok {
		return nil, nil
	}
	for _, name := range route.ServerNames() {
		server, ok := tree.Server(name)
		load, known := d.Mover.Loads.Load(name)
		if !ok || !known || load.Down || server.Leaving {
			continue
		}
		if slices.Contains(load.Versions, version) {
			have = append(have, server)
		} else {
			missing = append(missing, server)
		}
	}
	return have, missing
}

// mayOrder reports whether orders may be sent to the servers. Engines that check
// the fencing token reject orders of an earlier holder. For the others, a new holder
// waits until no such order can be in flight.
func (d *Decider) mayOrder(servers []rwtree.NamedServer) bool {
	for _, s := range servers {
		if !s.Fenced && time.Since(d.holderSince) < staleOrderWait {
			return false
		}
	}
	return true
}

// sendOrder sends an order if the lease stays valid until the order times out.
func (d *Decider) sendOrder(ctx context.Context, s rwtree.NamedServer, o rwengine.Order) {
	if time.Since(d.renewedAt)+orderTimeout > leaseDuration {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := d.Engines.Order(ctx, s.Address, o); err != nil {
		d.Log.Info("cannot send the order to the engine", "server", s.Name, "action", o.Action, "version", o.Version, "cause", err.Error())
		// An engine that has accepted a higher token refuses this one for good.
		if report, err := d.Engines.Load(ctx, s.Address); err == nil {
			d.highestToken = max(d.highestToken, report.FencingToken)
		}
	}
}
