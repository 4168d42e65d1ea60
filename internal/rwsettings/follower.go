package rwsettings

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwplatform"
	"ragwortwall/internal/rwtime"
	"ragwortwall/internal/rwtree"
	"ragwortwall/internal/rwwire"
	"ragwortwall/pkg/rwset"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// The number of watchers, and the intervals and timeouts of distributing settings.
const (
	WatchersPerZone   = 2
	roleCheckInterval = 500 * time.Millisecond
	minRetryDelay     = 200 * time.Millisecond
	maxRetryDelay     = 3 * time.Second
	pushTimeout       = 700 * time.Millisecond
	relistInterval    = 30 * time.Second
	maxFetchPeers     = 3
	// watchPeriod is how long one watch lasts, and watchMargin how much later its end may
	// come: a connection that falls silent looks like a platform without changes.
	watchPeriod = time.Second
	watchMargin = 500 * time.Millisecond
	// listTimeout limits a list by a watcher.
	listTimeout = 1500 * time.Millisecond
)

// Platform is the part of the platform's API that the follower needs.
type Platform interface {
	List(ctx context.Context, kind rwobject.Kind) ([]rwobject.Object, string, error)
	Watch(ctx context.Context, kind rwobject.Kind, revision string, period time.Duration, visit func(rwobject.Event) error) error
}

// Restorer writes settings in force again that the platform has lost. It returns the
// object as stored, or without an error the zero Object if the platform has it.
type Restorer interface {
	Restore(ctx context.Context, inForce rwobject.Object) (rwobject.Object, error)
}

// Follower holds the settings tree in force at an instance and exchanges
// settings with the platform and with peers. Set the exported fields before Run.
type Follower struct {
	Platform Platform
	View     *rwmember.View
	Peers    func(address string) rwwire.DRPCInstanceClient
	Restorer Restorer
	OnAway   func() // called when View.Away of this instance has changed; may be nil
	Log      logr.Logger

	mu            sync.Mutex
	tree          atomic.Pointer[rwtree.Tree]
	restored      atomic.Int64 // settings that this instance wrote again
	lastAppliedAt time.Time
	rejected      map[string]string // object name to the reason why its newest copy is invalid
	deleted       rwset.Set[string] // names of objects that were deleted at the platform, as seen by the watch
}

// Tree returns the tree in force.
func (f *Follower) Tree() rwtree.Tree {
	if t := f.tree.Load(); t != nil {
		return *t
	}
	return rwtree.Tree{}
}

// ApplyNewer applies those of the objects that are valid and newer than the copy
// in force, and returns them. The objects may come from the platform or a peer.
func (f *Follower) ApplyNewer(objects ...rwobject.Object) []rwobject.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	tree := f.Tree()
	var applied []rwobject.Object
	for _, o := range objects {
		name := o.Metadata.Name
		if !tree.Revision(name).Before(o.Revision()) {
			continue
		}
		next, err := tree.With(o)
		if err != nil {
			f.recordRejectionLocked(name, err)
			continue
		}
		delete(f.rejected, name)
		tree = next
		applied = append(applied, o)
	}
	if len(applied) > 0 {
		f.tree.Store(&tree)
		f.lastAppliedAt = time.Now()
	}
	return applied
}

// recordRejectionLocked stores why an object is invalid. It logs the reason unless it is
// the same as before.
func (f *Follower) recordRejectionLocked(name string, err error) {
	if f.rejected == nil {
		f.rejected = map[string]string{}
	}
	if f.rejected[name] != err.Error() {
		f.Log.Error(err, "settings are invalid; they are not applied", "subtree", name)
	}
	f.rejected[name] = err.Error()
}

// RejectedSubtrees returns the subtrees whose newest copy is invalid, each with the reason.
func (f *Follower) RejectedSubtrees() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := make(map[string]string, len(f.rejected))
	for k, v := range f.rejected {
		copied[k] = v
	}
	return copied
}

// Run watches the platform until ctx ends, while this instance is one of its
// zone's watchers or has no settings yet. A watcher that the platform does not answer
// leaves its role to others, and tries on until it is answered.
func (f *Follower) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		if !f.isWatcher() && !f.Tree().Empty() && !f.View.Away() {
			rwtime.Sleep(ctx, roleCheckInterval)
			continue
		}
		started := time.Now()
		err := f.watchPlatform(ctx)
		if time.Since(started) > maxRetryDelay {
			delay = minRetryDelay
		}
		if ctx.Err() == nil && err != nil {
			f.Log.V(1).Info("watch of settings ended", "cause", err.Error())
			rwtime.Sleep(ctx, withJitter(delay))
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

func (f *Follower) isWatcher() bool {
	return slices.Contains(f.View.Watchers(WatchersPerZone), f.View.Self().Name)
}

// withJitter returns a random duration from 0.5 to 1.5 times d.
func withJitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// watchPlatform lists the settings and watches their changes for about
// relistInterval. Run calls it again, so that a new list recovers changes which
// the watch lost.
func (f *Follower) watchPlatform(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	objects, revision, err := f.Platform.List(listCtx, rwobject.KindSettings)
	cancel()
	f.setAway(ctx, err != nil)
	if err != nil {
		return err
	}
	f.pushToZone(ctx, f.ApplyNewer(objects...))
	f.restoreLost(ctx, objects)
	for relistAt := time.Now().Add(withJitter(relistInterval)); time.Now().Before(relistAt) && ctx.Err() == nil; {
		begun := time.Now()
		err := f.watchOnce(ctx, &revision)
		if errors.Is(err, errNotWatcher) || errors.Is(err, rwplatform.ErrCompacted) {
			return nil
		}
		f.setAway(ctx, err != nil)
		if err != nil || !f.isWatcher() {
			return err
		}
		if rest := watchPeriod - time.Since(begun); rest > 0 {
			// A platform that comes back from an older copy ends its watches, and may give the
			// watched revision out again before the next one: only a list shows what it lost.
			// One that always ends watches early must not be called without a pause.
			rwtime.Sleep(ctx, min(minRetryDelay, rest))
			return nil
		}
	}
	return nil
}

// watchOnce watches the changes after a revision for watchPeriod, and sets the revision
// from which to watch next.
func (f *Follower) watchOnce(ctx context.Context, revision *string) error {
	ctx, cancel := context.WithTimeout(ctx, watchPeriod+watchMargin)
	defer cancel()
	return f.Platform.Watch(ctx, rwobject.KindSettings, *revision, watchPeriod, func(e rwobject.Event) error {
		if e.Object.Metadata.ResourceVersion != "" {
			*revision = e.Object.Metadata.ResourceVersion
		}
		switch e.Type {
		case "ADDED", "MODIFIED":
			f.pushToZone(ctx, f.ApplyNewer(e.Object))
			f.setDeleted(e.Object.Metadata.Name, false)
			if f.isLost(e.Object.Metadata.Name, e.Object) {
				f.restore(ctx, e.Object.Metadata.Name)
			}
		case "DELETED":
			f.setDeleted(e.Object.Metadata.Name, true)
			f.Log.Info("a subtree was deleted at the platform; the last settings stay in force", "subtree", e.Object.Metadata.Name)
		}
		if !f.isWatcher() {
			return errNotWatcher
		}
		return nil
	})
}

// setAway records whether the platform answers this instance, and tells the others when
// that has changed.
func (f *Follower) setAway(ctx context.Context, away bool) {
	if ctx.Err() != nil || !f.View.MarkAway(away) {
		return
	}
	f.Log.Info("the platform answers", "answers", !away)
	if f.OnAway != nil {
		f.OnAway()
	}
}

// pushToZone pushes objects to the other instances of the zone.
func (f *Follower) pushToZone(ctx context.Context, objects []rwobject.Object) {
	zone := f.View.Self().Zone
	f.push(ctx, objects, func(m rwmember.Member) bool { return m.Zone == zone })
}

// Push sends objects to all reachable instances. It returns when all calls have
// ended, after at most 700 ms, and ignores their errors.
func (f *Follower) Push(ctx context.Context, objects ...rwobject.Object) {
	f.push(ctx, objects, func(rwmember.Member) bool { return true })
}

func (f *Follower) push(ctx context.Context, objects []rwobject.Object, include func(rwmember.Member) bool) {
	if len(objects) == 0 {
		return
	}
	request := &rwwire.UpdateRequest{Objects: encodeObjects(objects)}
	var calls sync.WaitGroup
	for _, m := range f.View.Reachable() {
		if !include(m) {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			_, _ = f.Peers(m.Address).Update(ctx, request) // after a failure the peer fetches the objects
		})
	}
	calls.Wait()
}

// Fetch asks a peer for the settings that are newer than those in force here,
// applies them, and pushes them to the other instances of the zone. It returns the
// error of the call.
func (f *Follower) Fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	reply, err := f.Peers(address).Update(ctx, &rwwire.UpdateRequest{Ask: true, Have: f.Revisions()})
	if err != nil {
		return err
	}
	f.pushToZone(ctx, f.ApplyNewer(decodeObjects(reply.Objects)...))
	return nil
}

// FetchFromPeers fetches newer settings from a few other instances, so that what any
// of them had in force some seconds ago is in force here. It ignores failed calls.
func (f *Follower) FetchFromPeers(ctx context.Context) {
	members := f.View.Reachable()
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	var calls sync.WaitGroup
	for _, m := range members[:min(maxFetchPeers, len(members))] {
		calls.Go(func() { _ = f.Fetch(ctx, m.Address) }) // the next exchange of digests fetches again
	}
	calls.Wait()
}

// Revisions returns the name and revision of each subtree in force.
func (f *Follower) Revisions() []*rwwire.Revision {
	tree := f.Tree()
	var revisions []*rwwire.Revision
	for _, name := range tree.Names() {
		r := tree.Revision(name)
		revisions = append(revisions, &rwwire.Revision{Name: name, Generation: r.Generation, Content: r.Content})
	}
	return revisions
}

// ServeUpdate handles a peer's push or fetch: it applies the pushed objects and,
// on request, returns those that are newer than the peer's.
func (f *Follower) ServeUpdate(r *rwwire.UpdateRequest) *rwwire.UpdateReply {
	f.ApplyNewer(decodeObjects(r.Objects)...)
	reply := &rwwire.UpdateReply{}
	if r.Ask {
		reply.Objects = encodeObjects(f.objectsNewerThan(r.Have))
	}
	return reply
}

func (f *Follower) objectsNewerThan(revisions []*rwwire.Revision) []rwobject.Object {
	known := map[string]rwobject.Revision{}
	for _, r := range revisions {
		known[r.Name] = rwobject.Revision{Generation: r.Generation, Content: r.Content}
	}
	tree := f.Tree()
	var objects []rwobject.Object
	for _, name := range tree.Names() {
		if known[name].Before(tree.Revision(name)) {
			o, _ := tree.Object(name)
			objects = append(objects, o)
		}
	}
	return objects
}

func encodeObjects(objects []rwobject.Object) [][]byte {
	var contents [][]byte
	for _, o := range objects {
		o.Status = nil // it holds the history, which only the platform keeps
		b, err := json.Marshal(o)
		if err == nil {
			contents = append(contents, b)
		}
	}
	return contents
}

func decodeObjects(contents [][]byte) []rwobject.Object {
	var objects []rwobject.Object
	for _, b := range contents {
		var o rwobject.Object
		if json.Unmarshal(b, &o) == nil {
			objects = append(objects, o)
		}
	}
	return objects
}
