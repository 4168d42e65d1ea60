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

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// The times of the spreading of settings.
const (
	WatchersPerZone = 2
	roleInterval    = 500 * time.Millisecond
	retryLeast      = 200 * time.Millisecond
	retryMost       = 3 * time.Second
	pushTimeout     = 700 * time.Millisecond
	relistInterval  = 30 * time.Second
)

// Platform is the part of the platform's API that the follower needs.
type Platform interface {
	List(ctx context.Context, kind rwobject.Kind) ([]rwobject.Object, string, error)
	Watch(ctx context.Context, kind rwobject.Kind, revision string, visit func(rwobject.Event) error) error
}

// Follower holds the tree in force. Set the exported fields before Run.
type Follower struct {
	Platform Platform
	View     *rwmember.View
	Peers    func(address string) rwwire.DRPCInstanceClient
	Log      logr.Logger

	mu      sync.Mutex
	tree    atomic.Pointer[rwtree.Tree]
	applied time.Time
	refused map[string]string // objects that can't be used, and why
}

// Tree returns the tree in force.
func (f *Follower) Tree() rwtree.Tree {
	if t := f.tree.Load(); t != nil {
		return *t
	}
	return rwtree.Tree{}
}

// Offer takes in copies of objects, from wherever they come, and returns those
// that were newer and are now in force.
func (f *Follower) Offer(objects ...rwobject.Object) []rwobject.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	tree := f.Tree()
	var fresh []rwobject.Object
	for _, o := range objects {
		name := o.Metadata.Name
		if o.Metadata.Generation <= tree.Generation(name) {
			continue
		}
		next, err := tree.With(o)
		if err != nil {
			f.refuseLocked(name, err)
			continue
		}
		delete(f.refused, name)
		tree = next
		fresh = append(fresh, o)
	}
	if len(fresh) > 0 {
		f.tree.Store(&tree)
		f.applied = time.Now()
	}
	return fresh
}

func (f *Follower) refuseLocked(name string, err error) {
	if f.refused == nil {
		f.refused = map[string]string{}
	}
	if f.refused[name] != err.Error() {
		f.Log.Error(err, "settings can't be used", "subtree", name)
	}
	f.refused[name] = err.Error()
}

// Refused returns the subtrees whose newest copy can't be used, and why.
func (f *Follower) Refused() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]string, len(f.refused))
	for k, v := range f.refused {
		out[k] = v
	}
	return out
}

// Run watches the platform while this instance is one of its zone's watchers.
func (f *Follower) Run(ctx context.Context) {
	wait := retryLeast
	for ctx.Err() == nil {
		if !f.watches() && !f.Tree().Empty() {
			rwtime.Sleep(ctx, roleInterval)
			continue
		}
		started := time.Now()
		err := f.watch(ctx)
		if time.Since(started) > retryMost {
			wait = retryLeast
		}
		if ctx.Err() == nil && err != nil {
			f.Log.V(1).Info("watch of settings ended", "cause", err.Error())
			rwtime.Sleep(ctx, jittered(wait))
			wait = min(2*wait, retryMost)
		}
	}
}

func (f *Follower) watches() bool {
	return slices.Contains(f.View.Watchers(WatchersPerZone), f.View.Self().Name)
}

func jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// watch lists the settings and follows their changes for a while. The list is
// taken anew from time to time, in case a change was lost on the way.
func (f *Follower) watch(ctx context.Context) error {
	objects, revision, err := f.Platform.List(ctx, rwobject.KindSettings)
	if err != nil {
		return err
	}
	f.spread(ctx, f.Offer(objects...))
	ctx, cancel := context.WithTimeout(ctx, jittered(relistInterval))
	defer cancel()
	err = f.Platform.Watch(ctx, rwobject.KindSettings, revision, func(e rwobject.Event) error {
		switch e.Type {
		case "ADDED", "MODIFIED":
			f.spread(ctx, f.Offer(e.Object))
		case "DELETED":
			f.Log.Info("a subtree was deleted at the platform; the last settings stay in force", "subtree", e.Object.Metadata.Name)
		}
		if !f.watches() {
			return errNoWatcher
		}
		return nil
	})
	if ctx.Err() != nil || errors.Is(err, errNoWatcher) || errors.Is(err, rwplatform.ErrCompacted) {
		return nil
	}
	return err
}

// spread hands fresh objects to the other instances of the zone.
func (f *Follower) spread(ctx context.Context, fresh []rwobject.Object) {
	zone := f.View.Self().Zone
	f.push(ctx, fresh, func(m rwmember.Member) bool { return m.Zone == zone })
}

// Push hands objects to all instances that answer, and waits until they have
// them or the time for a push has passed.
func (f *Follower) Push(ctx context.Context, objects ...rwobject.Object) {
	f.push(ctx, objects, func(rwmember.Member) bool { return true })
}

func (f *Follower) push(ctx context.Context, objects []rwobject.Object, to func(rwmember.Member) bool) {
	if len(objects) == 0 {
		return
	}
	request := &rwwire.UpdateRequest{Objects: encode(objects)}
	var wait sync.WaitGroup
	for _, m := range f.View.Reachable() {
		if !to(m) {
			continue
		}
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			_, _ = f.Peers(m.Address).Update(ctx, request) // a peer that misses it fetches it
		})
	}
	wait.Wait()
}

// Fetch asks a peer for what is newer there, and gives it what is newer here.
func (f *Follower) Fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	reply, err := f.Peers(address).Update(ctx, &rwwire.UpdateRequest{Ask: true, Have: f.Revisions()})
	if err != nil {
		return err
	}
	f.spread(ctx, f.Offer(decode(reply.Objects)...))
	return nil
}

// Revisions returns the names and generations of all subtrees in force.
func (f *Follower) Revisions() []*rwwire.Revision {
	tree := f.Tree()
	var all []*rwwire.Revision
	for _, name := range tree.Names() {
		all = append(all, &rwwire.Revision{Name: name, Generation: tree.Generation(name)})
	}
	return all
}

// ServeUpdate answers a peer that pushes or fetches.
func (f *Follower) ServeUpdate(r *rwwire.UpdateRequest) *rwwire.UpdateReply {
	f.Offer(decode(r.Objects)...)
	reply := &rwwire.UpdateReply{}
	if r.Ask {
		reply.Objects = encode(f.newer(r.Have))
	}
	return reply
}

func (f *Follower) newer(have []*rwwire.Revision) []rwobject.Object {
	known := map[string]int64{}
	for _, r := range have {
		known[r.Name] = r.Generation
	}
	tree := f.Tree()
	var objects []rwobject.Object
	for _, name := range tree.Names() {
		if tree.Generation(name) > known[name] {
			o, _ := tree.Object(name)
			objects = append(objects, o)
		}
	}
	return objects
}

func encode(objects []rwobject.Object) [][]byte {
	var all [][]byte
	for _, o := range objects {
		o.Status = nil // history stays at the platform
		b, err := json.Marshal(o)
		if err == nil {
			all = append(all, b)
		}
	}
	return all
}

func decode(contents [][]byte) []rwobject.Object {
	var objects []rwobject.Object
	for _, b := range contents {
		var o rwobject.Object
		if json.Unmarshal(b, &o) == nil {
			objects = append(objects, o)
		}
	}
	return objects
}
