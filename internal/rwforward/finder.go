package rwforward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwlimit"
	"ragwortwall/internal/rwlog"
	"ragwortwall/internal/rwpick"

	"github.com/go-logr/logr"
)

// Limits of the search for cached prompts.
const (
	// findTimeout is how long a stream waits for the search. It is about a tenth of
	// the prefill time that a result may save.
	findTimeout = 150 * time.Millisecond
	// listTimeout limits the call to one server. Servers give generation priority
	// over this call.
	listTimeout = 600 * time.Millisecond
	// queryInterval is the minimum time between two queries of a server. Callers
	// of a lost instance reconnect within about a second of each other.
	queryInterval = time.Second
	// maxConcurrentLists is how many servers are queried at a time.
	maxConcurrentLists = 32
	// maxQueriesPerBurst is how often a server may be queried within burstWindow.
	// Callers reconnect for a few seconds after a loss; a prompt that has not been found
	// by then is on no server.
	maxQueriesPerBurst = 3
	burstWindow        = 10 * time.Second
)

// HolderFinder finds the servers that have a prompt cached when no instance knows of its
// stream, for example after the loss of all instances. It queries the servers among which
// the stream was placed, see rwpick.PromptServers, each at most once per queryInterval. Set
// the exported fields before first use.
type HolderFinder struct {
	Engines   EngineClient
	Directory *rwbackend.Directory
	Limits    *rwlimit.Limiter // servers that name one are not queried
	Log       logr.Logger

	mu      sync.Mutex
	queries map[string]*query // latest query by server
	updated chan struct{}     // closed and replaced after each response
	calls   chan struct{}     // holds an element for each open call to a server
}

// query is one query of a server.
type query struct {
	startedAt      time.Time
	burstStartedAt time.Time // start of the first query of the burst
	burstCount     int       // queries in the burst, including this one
	running        bool
}

// Find returns the ids of the servers of a service that have a prompt part cached. It
// returns as soon as one is known, or with nothing when the search ends, findTimeout
// passes or ctx is done.
func (f *HolderFinder) Find(ctx context.Context, service, part string) []string {
	if part == "" {
		return nil
	}
	timeout := time.NewTimer(findTimeout)
	defer timeout.Stop()
	servers := rwpick.PromptServers(f.Directory.Service(service), part)
	servers = slices.DeleteFunc(servers, func(v rwbackend.View) bool { return f.Limits.Limit(limitedServer(v.Entry)).Named })
	for {
		updated, running := f.startQueries(servers)
		if holders := f.Directory.ServersHolding(service, part); len(holders) > 0 || !running {
			return holders
		}
		select {
		case <-updated:
		case <-timeout.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// startQueries starts the queries of servers that are due. It returns whether one of the servers
// has yet to respond, and a channel that is closed at the next response of any server.
func (f *HolderFinder) startQueries(servers []rwbackend.View) (updated <-chan struct{}, running bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.queries == nil {
		f.queries, f.updated, f.calls = map[string]*query{}, make(chan struct{}), make(chan struct{}, maxConcurrentLists)
	}
	for _, v := range servers {
		q := f.queries[v.ID]
		if next, due := q.next(); due {
			f.forgetOldLocked()
			f.queries[v.ID], q = next, next
			go f.runQuery(v.Entry, next)
		}
		running = running || q.running
	}
	return f.updated, running
}

// next returns the query that follows q, and whether it is due. q may be nil.
func (q *query) next() (*query, bool) {
	now := time.Now()
	next := &query{startedAt: now, burstStartedAt: now, burstCount: 1, running: true}
	if q != nil && now.Sub(q.burstStartedAt) < burstWindow {
		next.burstStartedAt, next.burstCount = q.burstStartedAt, q.burstCount+1
	}
	return next, q == nil || !q.running && now.Sub(q.startedAt) > queryInterval && next.burstCount <= maxQueriesPerBurst
}

// forgetOldLocked forgets queries of earlier bursts.
func (f *HolderFinder) forgetOldLocked() {
	maps.DeleteFunc(f.queries, func(_ string, q *query) bool { return !q.running && time.Since(q.burstStartedAt) > burstWindow })
}

// runQuery queries a server and wakes all waiting callers of Find.
func (f *HolderFinder) runQuery(e rwbackend.Entry, q *query) {
	f.calls <- struct{}{}
	f.queryServer(e)
	<-f.calls
	f.mu.Lock()
	defer f.mu.Unlock()
	q.running = false
	close(f.updated)
	f.updated = make(chan struct{})
}

// queryServer records the prompt parts that a server has cached. A server that fails
// to respond, or has another incarnation, is ignored.
func (f *HolderFinder) queryServer(e rwbackend.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	incarnation, parts, err := f.Engines.ListPromptParts(ctx, e.Address)
	if err != nil {
		f.Log.V(rwlog.Routine).Info("could not list cached prompts", "server", e.ID, "cause", err.Error())
		return
	}
	if incarnation != 0 && e.Incarnation != 0 && incarnation != e.Incarnation {
		f.Log.V(rwlog.Routine).Info("ignored cached prompts of another incarnation", "server", e.ID, "incarnation", incarnation, "listed", e.Incarnation)
		return
	}
	f.Directory.SetHeldParts(e.ID, e.Incarnation, parts)
}
