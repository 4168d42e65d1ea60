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
	// findTime is how long a stream waits for the search: about a tenth of the
	// reading of its prompt that it may save.
	findTime = 150 * time.Millisecond
	// listTime is how long one server's answer is waited for: its work goes first.
	listTime = 600 * time.Millisecond
	// listAgain is how soon all servers are asked again. Callers who lost their
	// instances come back within about a second of each other.
	listAgain = time.Second
	// listMost is how many servers are asked at a time.
	listMost = 32
	// serversMost is the largest service that is searched. Each instance asks each
	// server: beyond some hundred this costs more than the prompts that it saves
	// (at 300 instances and 3,000 servers it filled all links for 30 s).
	serversMost = 160
	// burstMost is how many searches may follow each other within burstTime: callers
	// come back for a few seconds after a loss, and who is not found by then is not
	// to be found.
	burstMost = 3
	burstTime = 10 * time.Second
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
	began time.Time
	burst time.Time     // when the first of the searches in a row began
	count int           // searches since then
	news  chan struct{} // closed and replaced with each answer
	done  bool
}

// Find returns the servers of a service that hold a part of a prompt, as soon as
// one is known or all were asked.
func (f *Finder) Find(ctx context.Context, service, part string) []string {
	if part == "" {
		return nil
	}
	limit := time.NewTimer(findTime)
	defer limit.Stop()
	for {
		news, done := f.current(service)
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

// current returns the search that runs or has just ended, and begins one when
// the last is too old.
func (f *Finder) current(service string) (news <-chan struct{}, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.searches[service]
	if s == nil || s.done && time.Since(s.began) > listAgain {
		s = s.next()
		if f.searches == nil {
			f.searches = map[string]*search{}
		}
		f.searches[service] = s
		servers := f.Directory.Service(service)
		if s.count > burstMost || len(servers) > serversMost {
			s.done = true
			return s.news, true
		}
		go f.run(s, servers)
	}
	return s.news, s.done
}

// next returns the search that follows on one, nil for none.
func (s *search) next() *search {
	now := time.Now()
	next := &search{began: now, burst: now, count: 1, news: make(chan struct{})}
	if s != nil && now.Sub(s.burst) < burstTime {
		next.burst, next.count = s.burst, s.count+1
	}
	return next
}

func (f *Finder) run(s *search, servers []rwbackend.View) {
	var work sync.WaitGroup
	turns := make(chan struct{}, listMost)
	for _, v := range servers {
		turns <- struct{}{}
		work.Go(func() {
			defer func() { <-turns }()
			f.ask(v.Entry)
			f.tell(s, false)
		})
	}
	work.Wait()
	f.tell(s, true)
}

// ask takes in what one server holds. A server that does not answer holds
// nothing that helps now.
func (f *Finder) ask(e rwbackend.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), listTime)
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

func (f *Finder) tell(s *search, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(s.news)
	s.news, s.done = make(chan struct{}), done
}
