package rwforward

import (
	"context"
	"sync"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwlog"

	"github.com/go-logr/logr"
)

// Settings of the search for the memory of streams.
const (
	// findTimeout is how long a stream waits for the search: about a tenth of the
	// reading of its prompt that it may save.
	findTimeout = 150 * time.Millisecond
	// listTimeout is how long one server's answer is waited for: its work goes first.
	listTimeout = 600 * time.Millisecond
	// searchInterval is how soon all servers are asked again. Callers who lost their
	// instances come back within about a second of each other.
	searchInterval = time.Second
	// maxConcurrentLists is how many servers are asked at a time.
	maxConcurrentLists = 32
	// maxSearchedServers is the largest service that is searched. Each instance asks each
	// server: beyond some hundred this costs more than the prompts that it saves
	// (at 300 instances and 3,000 servers it filled all links for 30 s).
	maxSearchedServers = 160
	// maxSearchesPerBurst is how many searches may follow each other within burstTime: callers
	// come back for a few seconds after a loss, and who is not found by then is not
	// to be found.
	maxSearchesPerBurst = 3
	burstWindow         = 10 * time.Second
)

// Finder finds out which servers hold the memory of streams that no instance
// knows of: all were lost at once, and what they knew with them. It asks the
// servers of the service, all at once and no more than once a second. Set the
// exported fields before first use.
type Finder struct {
	Engines   Engines
	Directory *rwbackend.Directory
	Log       logr.Logger

	mu       sync.Mutex
	searches map[string]*search // the last one, by service
}

type search struct {
	startedAt      time.Time
	burstStartedAt time.Time     // when the first of the searches in a row began
	burstCount     int           // searches since then
	updated        chan struct{} // closed and replaced with each answer
	done           bool
}

// Find returns the servers of a service that hold a part of a prompt, as soon as
// one is known or all were asked.
func (f *Finder) Find(ctx context.Context, service, part string) []string {
	if part == "" {
		return nil
	}
	limit := time.NewTimer(findTimeout)
	defer limit.Stop()
	for {
		news, done := f.currentSearch(service)
		if holders := f.Directory.Holding(service, part); len(holders) > 0 || done {
			return holders
		}
		select {
		case <-news:
		case <-limit.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// currentSearch returns the search that runs or has just ended, and begins one when
// the last is too old.
func (f *Finder) currentSearch(service string) (news <-chan struct{}, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.searches[service]
	if s == nil || s.done && time.Since(s.startedAt) > searchInterval {
		s = s.following()
		if f.searches == nil {
			f.searches = map[string]*search{}
		}
		f.searches[service] = s
		servers := f.Directory.Service(service)
		if s.burstCount > maxSearchesPerBurst || len(servers) > maxSearchedServers {
			s.done = true
			return s.updated, true
		}
		go f.queryServers(s, servers)
	}
	return s.updated, s.done
}

// following returns the search that follows on one, nil for none.
func (s *search) following() *search {
	now := time.Now()
	next := &search{startedAt: now, burstStartedAt: now, burstCount: 1, updated: make(chan struct{})}
	if s != nil && now.Sub(s.burstStartedAt) < burstWindow {
		next.burstStartedAt, next.burstCount = s.burstStartedAt, s.burstCount+1
	}
	return next
}

func (f *Finder) queryServers(s *search, servers []rwbackend.View) {
	var work sync.WaitGroup
	turns := make(chan struct{}, maxConcurrentLists)
	for _, v := range servers {
		turns <- struct{}{}
		work.Go(func() {
			defer func() { <-turns }()
			f.queryServer(v.Entry)
			f.publish(s, false)
		})
	}
	work.Wait()
	f.publish(s, true)
}

// queryServer takes in what one server holds. A server that does not answer holds
// nothing that helps now.
func (f *Finder) queryServer(e rwbackend.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	incarnation, parts, err := f.Engines.Parts(ctx, e.Address)
	if err != nil {
		f.Log.V(rwlog.Routine).Info("prompts not listed", "server", e.ID, "cause", err.Error())
		return
	}
	if incarnation != 0 && e.Incarnation != 0 && incarnation != e.Incarnation {
		f.Log.V(rwlog.Routine).Info("prompts of another life", "server", e.ID, "incarnation", incarnation, "listed", e.Incarnation)
		return
	}
	f.Directory.Holds(e.ID, e.Incarnation, parts)
}

func (f *Finder) publish(s *search, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(s.updated)
	s.updated, s.done = make(chan struct{}), done
}
