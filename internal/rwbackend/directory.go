package rwbackend

import (
	"sync"
	"time"
)

const (
	// baseLossBackoff is the back-off after the first loss of a server. It doubles
	// with each consecutive loss, as a restart takes a second or more.
	baseLossBackoff = 700 * time.Millisecond
	maxLossBackoff  = 5 * time.Second
	// loadTTL is how long a reported load is valid: a few times the duration of
	// a non-streaming request.
	loadTTL = 500 * time.Millisecond
	// averageSampleWeight is the weight of a new sample in the exponentially weighted
	// moving averages, which span about the last ten samples.
	averageSampleWeight = 0.1
	// runTTL is how long a run counts after it was placed, as its owner may have
	// stopped without announcing its end: slightly above the longest route timeout in use.
	runTTL = 30 * time.Second
	// maxRunTime is how long a run whose end wasn't announced is remembered. Generations may
	// run for minutes.
	maxRunTime = 5 * time.Minute
	// initialPrefillRate is the prefill rate assumed before the first measurement, in
	// prompt tokens per second, as specified for the model servers.
	initialPrefillRate = 5000
	// initialTokenInterval is the time between two tokens assumed before the first
	// measurement, as specified for the model servers.
	initialTokenInterval = 4 * time.Millisecond
)

// Directory holds the known servers and the runs placed on them. It is safe for
// concurrent use.
type Directory struct {
	Self string // name of this instance

	mu            sync.Mutex
	servers       map[string]*Server
	services      map[string][]*Server
	runs          map[runKey]*Run
	parts         map[string]*Run            // newest run by id of the last part of its prompt
	requests      map[string]map[runKey]*Run // runs by Run.Request
	statements    map[process]*statements    // of the processes that have said something of themselves
	prefillRate   float64                    // average, in prompt tokens per second
	tokenInterval float64                    // average, in seconds
	eventTokens   float64                    // average

	demand         map[string]Demand // by service
	work           map[string]*work  // by service, of all its servers
	queues         map[string]int    // by service: requests that wait at a server that refuses others
	prefillSamples []float64         // latest measured prefill rates, in prompt tokens per second
}

// NewDirectory returns an empty directory for the instance with the given name.
func NewDirectory(self string) *Directory {
	return &Directory{
		Self: self, servers: map[string]*Server{}, services: map[string][]*Server{},
		runs: map[runKey]*Run{}, parts: map[string]*Run{}, requests: map[string]map[runKey]*Run{}, demand: map[string]Demand{}, work: map[string]*work{}, queues: map[string]int{}, statements: map[process]*statements{}, prefillRate: initialPrefillRate, tokenInterval: initialTokenInterval.Seconds(), eventTokens: 1,
	}
}

// Put adds or updates the entry of a server. If its incarnation, address or
// service changed, all other state of the server is reset.
func (d *Directory) Put(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.servers[e.ID]
	if known && old.Incarnation == e.Incarnation && old.Address == e.Address && old.Service == e.Service {
		old.Entry = e
		old.removed = false
		if e.Leaving && old.leavingSince.IsZero() {
			old.leavingSince = time.Now()
		}
		if !e.Leaving {
			old.leavingSince = time.Time{}
		}
		return
	}
	if known {
		d.removeLocked(old)
	}
	// Only one server can listen on an address, so an older one has ended.
	for _, o := range d.services[e.Service] {
		if o.Address == e.Address && o.Incarnation < e.Incarnation {
			d.removeLocked(o)
			break
		}
	}
	s := &Server{Entry: e, said: d.statements[e.process()], activeRuns: map[runKey]*Run{}, copies: map[runKey]*Run{}}
	if e.Leaving {
		s.leavingSince = time.Now()
	}
	d.servers[e.ID] = s
	d.services[e.Service] = append(d.services[e.Service], s)
}

// Remove deletes a server whose entry is gone.
func (d *Directory) Remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.servers[id]; ok {
		d.removeLocked(s)
	}
}

// removeLocked deletes a server from the directory. Runs that it had stay in d.runs.
func (d *Directory) removeLocked(s *Server) {
	s.removed = true
	delete(d.servers, s.ID)
	list := d.services[s.Service]
	for i, other := range list {
		if other == s {
			d.services[s.Service] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
}

// IDs returns the ids of all listed servers.
func (d *Directory) IDs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := make([]string, 0, len(d.servers))
	for id := range d.servers {
		ids = append(ids, id)
	}
	return ids
}

// Entry returns the entry of a listed server.
func (d *Directory) Entry(id string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return Entry{}, false
	}
	return s.Entry, true
}

// AtAddress returns the entry of the listed server at an address.
func (d *Directory) AtAddress(address string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		if s.Address == address {
			return s.Entry, true
		}
	}
	return Entry{}, false
}

// Entries returns the entries of a service's servers, in a stable order, without those that
// are leaving.
func (d *Directory) Entries(service string) []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := make([]Entry, 0, len(d.services[service]))
	for _, s := range d.services[service] {
		if !s.isLeaving() {
			entries = append(entries, s.Entry)
		}
	}
	return entries
}

// AnotherServer returns the entry of another server of the same service that is not leaving, if
// possible one in another availability zone that was not lost last.
func (d *Directory) AnotherServer(id string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var from Entry
	if s, ok := d.servers[id]; ok {
		from = s.Entry
	}
	best, bestScore := Entry{}, 0
	for _, s := range d.services[from.Service] {
		if s.ID == id || s.isLeaving() {
			continue
		}
		score := 1
		if s.Zone != from.Zone {
			score += 2
		}
		if s.receivedAt.After(s.lostAt) || s.lostAt.IsZero() {
			score += 4
		}
		if score > bestScore {
			best, bestScore = s.Entry, score
		}
	}
	return best, bestScore > 0
}

// Accepts reports whether a server accepts new requests of this instance.
func (d *Directory) Accepts(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	return ok && d.acceptsLocked(s, time.Now())
}

// Service returns views of the servers of a service that accept new requests: those that
// are not leaving and don't want a pause.
func (d *Directory) Service(name string) []View {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	views := make([]View, 0, len(d.services[name]))
	for _, s := range d.services[name] {
		if d.acceptsLocked(s, now) {
			views = append(views, d.viewLocked(s, now))
		}
	}
	return views
}

// All returns views of all listed servers.
func (d *Directory) All() []View {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	views := make([]View, 0, len(d.servers))
	for _, s := range d.servers {
		views = append(views, d.viewLocked(s, now))
	}
	return views
}

// viewLocked returns the view of a server at a time. It also deletes ended and expired
// runs from the server. The copy of a lost run is kept until it expires, as a resumed
// stream may need it.
func (d *Directory) viewLocked(s *Server, now time.Time) View {
	v := View{
		Entry: s.Entry, Plain: s.ownRequests, FailureRate: s.failureRate,
		Latency: time.Duration(s.latency * float64(time.Second)), Suspect: now.Before(s.suspectUntil), SilentSinceLoss: s.lostAt.After(s.receivedAt),
	}
	v.Report, v.Slowness, v.FullFor = s.reportLocked(now), d.slownessLocked(s, now), max(0, s.fullUntil.Sub(now))
	if s.said != nil {
		v.SaidLeaving, v.PausedUntil = !s.said.leavingAt.IsZero(), s.said.pausedUntil
	}
	if age := now.Sub(s.loadAt); age < loadTTL {
		v.OtherRequests = max(0, s.load.Running+s.load.Waiting-s.ownRequests)
	}
	for key, r := range s.activeRuns {
		if r.Ended || now.Sub(r.placedAt) > runTTL {
			delete(s.activeRuns, key)
			continue
		}
		v.Runs++
		v.Committed += r.maxTokens()
		v.Backlog += r.pendingPrefill(now, d.prefillRate)
		v.ServesSinceLoss = v.ServesSinceLoss || r.placedAt.After(s.lostAt) && r.hasStarted(now, d.prefillRate)
	}
	for key, r := range s.copies {
		if now.Sub(r.placedAt) > runTTL || r.Ended && !r.Lost {
			delete(s.copies, key)
			continue
		}
		v.Committed += r.maxTokens()
	}
	return v
}
