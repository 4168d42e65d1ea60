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

// The times of deciding.
const (
	decideInterval = 500 * time.Millisecond
	decideTimeout  = 3 * time.Second
	beatInterval   = time.Second
	leaseLife      = 4 * time.Second // without a beat, as seen by one's own clock
	orderTimeout   = 2 * time.Second
	orderWait      = 5 * time.Second // after which no order of an earlier decider is under way
	loadsDefault   = 2
)

// fenceName is the object whose lease says who decides, and whose count is the
// fencing number of orders.
const fenceName = "fence"

// Orders gives orders to engines.
type Orders interface {
	Order(ctx context.Context, address string, o rwengine.Order) error
	Load(ctx context.Context, address string) (rwengine.Load, error)
}

// Decider decides the moves while this instance holds the lease. Set the
// exported fields before Run.
type Decider struct {
	Mover  *Mover
	View   *rwmember.View
	Store  rwplatform.Store
	Orders Orders
	Log    logr.Logger

	lease   rwobject.Object // as last read or written
	content lease
	seen    time.Time // when its content last changed, by the own clock
	beat    time.Time // when the last own write began
	since   time.Time // when this instance became the decider
	soaking map[string]time.Time
	holding atomic.Bool
}

// lease is the spec of the fence object.
type lease struct {
	Holder string `json:"holder"`
	Number int64  `json:"number"` // raised with each new holder
	Beat   int64  `json:"beat"`
}

// Run decides until ctx ends.
func (d *Decider) Run(ctx context.Context) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if d.work() {
			d.round(ctx)
		}
	}
}

// work reports whether there is a move to decide.
func (d *Decider) work() bool {
	for _, move := range d.Mover.Tree().Moves() {
		if !move.Ended() {
			return true
		}
	}
	return false
}

// Holds reports whether this instance holds the lease, as far as it knows.
func (d *Decider) Holds() bool {
	return d.holding.Load()
}

func (d *Decider) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	d.holding.Store(d.hold(ctx))
	if !d.holding.Load() {
		return
	}
	for _, move := range d.Mover.Tree().Moves() {
		if !move.Ended() {
			d.decide(ctx, move)
		}
	}
}

// hold takes or keeps the lease. Its times are the own clock's and count from
// before the call left, so a holder that was paused finds its lease lapsed.
func (d *Decider) hold(ctx context.Context) bool {
	self := d.Mover.Self
	preferred := rwmember.First(rwmember.Key(fenceName), d.View.Live()) == self
	if d.content.Holder == self && time.Since(d.beat) < beatInterval {
		return true
	}
	if d.content.Holder != self && !preferred {
		return false
	}
	if err := d.read(ctx); err != nil {
		return false
	}
	started := time.Now()
	next := d.content
	next.Beat++
	if d.content.Holder != self {
		if d.content.Holder != "" && time.Since(d.seen) < leaseLife {
			return false
		}
		next.Holder = self
		next.Number++
	}
	return d.write(ctx, next, started)
}

func (d *Decider) read(ctx context.Context) error {
	o, err := d.Store.Get(ctx, rwobject.KindMoves, fenceName)
	if rwerror.Is(err, rwerror.KindNotFound) {
		o, err = rwobject.New(rwobject.KindMoves, fenceName, lease{}), nil
	}
	if err != nil {
		return err
	}
	var content lease
	if err := json.Unmarshal(o.Spec, &content); err != nil {
		return err
	}
	if content != d.content || d.seen.IsZero() {
		d.seen = time.Now()
	}
	d.lease = o
	d.content = content
	return nil
}

func (d *Decider) write(ctx context.Context, next lease, started time.Time) bool {
	made, err := rwplatform.Apply(ctx, d.Store, d.lease.WithSpec(next))
	if err != nil {
		d.content = lease{}
		return false
	}
	if next.Number != d.content.Number {
		d.since = started
		d.Log.Info("decides the moves", "number", next.Number)
	}
	d.lease = made
	d.content = next
	d.beat = started
	d.seen = started
	return time.Since(started) < leaseLife
}

// decide takes a move's next step.
func (d *Decider) decide(ctx context.Context, move rwtree.Move) {
	if move.Phase == rwtree.PhaseUnloading {
		d.unload(ctx, move)
		return
	}
	before, after := d.Mover.evidence(move)
	plan := Plan{Move: move, Now: time.Now(), Before: before, After: after, Bad: d.bad(move, before, after), Soaked: d.soaked(move)}
	if move.Phase == rwtree.PhaseLoading && plan.Bad == "" {
		plan.Loaded = d.loaded(ctx, move)
	}
	next, changed := plan.Next()
	if !changed {
		return
	}
	if err := d.finish(ctx, next); err != nil {
		d.Log.Info("route not changed yet", "route", move.Route, "cause", err.Error())
		return
	}
	if err := d.Mover.put(ctx, next, d.Mover.Self); err != nil {
		d.Log.Info("step not written", "route", move.Route, "cause", err.Error())
		return
	}
	d.Log.Info("step of a move", "route", move.Route, "phase", string(next.Phase), "share", next.Share, "reason", next.Reason)
}

func (d *Decider) bad(move rwtree.Move, before, after rwevidence.Evidence) string {
	for _, v := range d.Mover.Verdicts() {
		if v.Move == rwtree.MoveName(move.Route) {
			return v.Reason
		}
	}
	return rwevidence.Judge(before, after)
}

func (d *Decider) soaked(move rwtree.Move) time.Duration {
	if d.soaking == nil {
		d.soaking = map[string]time.Time{}
	}
	name := rwtree.MoveName(move.Route)
	if move.Phase != rwtree.PhaseSoaking {
		delete(d.soaking, name)
		return 0
	}
	if d.soaking[name].IsZero() {
		d.soaking[name] = time.Now()
	}
	return time.Since(d.soaking[name])
}

// finish writes the new version into the route's settings before the move is
// called done, so that nothing reverts when the move's object is replaced.
func (d *Decider) finish(ctx context.Context, move rwtree.Move) error {
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
	body, err := json.Marshal(team)
	if err != nil {
		return err
	}
	_, err = d.Mover.Editor.Put(ctx, rwoperate.Change{Name: move.Team(), Spec: body, Generation: o.Metadata.Generation, Author: d.Mover.Self})
	return err
}

func withVersion(s rwtree.Server, version string) rwtree.Server {
	if !slices.Contains(s.Versions, version) {
		s.Versions = append(slices.Clone(s.Versions), version)
	}
	return s
}

// loaded sees to it that the route's servers load the version, a few at a time
// for the weight store's sake, and reports whether all that answer have it.
func (d *Decider) loaded(ctx context.Context, move rwtree.Move) bool {
	have, lack := d.servers(move, move.To)
	if !move.Load {
		return len(have) > 0
	}
	if len(lack) > 0 && d.mayOrder(lack) {
		most := move.Loads
		if most == 0 {
			most = loadsDefault
		}
		for _, s := range lack[:min(most, len(lack))] {
			d.order(ctx, s, rwengine.Order{Action: "load", Version: move.To, Number: d.content.Number})
		}
	}
	return len(lack) == 0 && len(have) > 0
}

// unload orders the old version away once no generation is pinned to it, and
// ends the move.
func (d *Decider) unload(ctx context.Context, move rwtree.Move) {
	have, _ := d.servers(move, move.From)
	if len(have) == 0 {
		if err := d.Mover.put(ctx, move.WithPhase(rwtree.PhaseDone, move.Reason), d.Mover.Self); err != nil {
			d.Log.Info("step not written", "route", move.Route, "cause", err.Error())
		}
		return
	}
	if d.Mover.pinned(move) || !d.mayOrder(have) {
		return
	}
	for _, s := range have {
		d.order(ctx, s, rwengine.Order{Action: "unload", Version: move.From, Number: d.content.Number})
	}
}

// servers parts the route's answering servers by whether they have a version.
func (d *Decider) servers(move rwtree.Move, version string) (have, lack []rwtree.NamedServer) {
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
			lack = append(lack, server)
		}
	}
	return have, lack
}

// mayOrder reports whether an order may be given. Engines that refuse old
// numbers may be ordered at once. For those that ignore them a new decider waits
// until no order of an earlier one can be under way.
func (d *Decider) mayOrder(servers []rwtree.NamedServer) bool {
	for _, s := range servers {
		if !s.Fenced && time.Since(d.since) < orderWait {
			return false
		}
	}
	return true
}

// order gives an order while the lease is sure to be held.
func (d *Decider) order(ctx context.Context, s rwtree.NamedServer, o rwengine.Order) {
	if time.Since(d.beat)+orderTimeout > leaseLife {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := d.Orders.Order(ctx, s.Address, o); err != nil {
		d.Log.Info("order refused", "server", s.Name, "action", o.Action, "version", o.Version, "cause", err.Error())
	}
}
