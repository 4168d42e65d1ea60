package rwforward

import (
	"context"
	"slices"
	"sync"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwlimit"
	"ragwortwall/internal/rwlog"

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
	// searchInterval is the minimum time between two searches of a service. Callers
	// of a lost instance reconnect within about a second of each other.
	searchInterval = time.Second
	// maxConcurrentLists is how many servers a search queries at a time.
	maxConcurrentLists = 32
	// maxSearchedServers is the size of the largest service that is searched. Each
	// instance queries each server, which beyond a few hundred servers costs more
	// than the saved prefill: with 300 instances and 3,000 servers it saturated all
	// links for 30 s.
	maxSearchedServers = 160
	// maxSearchesPerBurst is how many searches may start within burstWindow. Callers
	// reconnect for a few seconds after a loss; a prompt that has not been found by
	// then is on no server.
	maxSearchesPerBurst = 3
	burstWindow         = 10 * time.Second
)

// HolderFinder finds the servers that have a prompt cached when no instance knows of its
// stream, for example after the loss of all instances. It queries all servers of the
// service, at most once per searchInterval. Set the exported fields before first use.
type HolderFinder struct {
	Engines   EngineClient
	Directory *rwbackend.Directory
	Limits    *rwlimit.Limiter // servers that name one are not queried
	Log       logr.Logger

	mu       sync.Mutex
	searches map[string]*search // latest search by service
}

// search is one query of all servers of a service.
type search struct {
	startedAt      time.Time
	burstStartedAt time.Time     // start of the first search of the burst
	burstCount     int           // searches in the burst, including this one
	updated        chan struct{} // closed and replaced after each response
	done           bool          // all servers have been queried
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
	for {
		updated, done := f.currentSearch(service)
		if holders := f.Directory.ServersHolding(service, part); len(holders) > 0 || done {
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

// currentSearch returns the state of the running or latest search, and starts a new
// one if the latest ended and is older than searchInterval.
func (f *HolderFinder) currentSearch(service string) (updated <-chan struct{}, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.searches[service]
	if s == nil || s.done && time.Since(s.startedAt) > searchInterval {
		s = s.next()
		if f.searches == nil {
			f.searches = map[string]*search{}
		}
		f.searches[service] = s
		servers := slices.DeleteFunc(f.Directory.Service(service), func(v rwbackend.View) bool { return f.Limits.Limit(limitedServer(v.Entry)).Named })
		if s.burstCount > maxSearchesPerBurst || len(servers) > maxSearchedServers {
			s.done = true
			return s.updated, true
		}
		go f.queryServers(s, servers)
	}
	return s.updated, s.done
}

// next returns a new search that belongs to the burst of s, or starts a burst if
// that one has ended. s may be nil.
func (s *search) next() *search {
	now := time.Now()
	next := &search{startedAt: now, burstStartedAt: now, burstCount: 1, updated: make(chan struct{})}
	if s != nil && now.Sub(s.burstStartedAt) < burstWindow {
		next.burstStartedAt, next.burstCount = s.burstStartedAt, s.burstCount+1
	}
	return next
}

// queryServers queries the servers and publishes each result.
func (f *HolderFinder) queryServers(s *search, servers []rwbackend.View) {
	var queries sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentLists)
	for _, v := range servers {
		semaphore <- struct{}{}
		queries.Go(func() {
			defer func() { <-semaphore }()
			f.queryServer(v.Entry)
			f.publish(s, false)
		})
	}
	queries.Wait()
	f.publish(s, true)
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

// publish wakes all waiting callers of Find.
func (f *HolderFinder) publish(s *search, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(s.updated)
	s.updated, s.done = make(chan struct{}), done
}
