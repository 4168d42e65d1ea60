package rwbackend

import (
	"sync"
	"time"
)

// Settings of the directory.
const (
	// suspectTime is how long a server that was lost is avoided: a restart takes
	// a second or more, and one more loss doubles it.
	suspectTime = 700 * time.Millisecond
	suspectMost = 5 * time.Second
	// loadLife is how long a reported load counts: a few times the work of a
	// plain request.
	loadLife = 500 * time.Millisecond
	// averageWeight is the weight of a new answer in moving averages: about the
	// last ten answers count.
	averageWeight = 0.1
	// runLife ends a run of which nothing was heard, as its owner may be gone:
	// the longest timeout of the users' routes and a little.
	runLife = 30 * time.Second
	// readRateStart is the prompt tokens that a server reads a second, until
	// measured; from the sheets of the model servers.
	readRateStart = 5000
	// tokenTimeStart is the time between two tokens, until measured; from the
	// sheets of the model servers.
	tokenTimeStart = 4 * time.Millisecond
)

// Directory holds the known servers and the runs placed at them.
type Directory struct {
	Self string // name of this instance

	mu       sync.Mutex
	servers  map[string]*Server
	services map[string][]*Server
	runs     map[string]*Run // by request id
	parts    map[string]*Run // newest run of a prompt's last part
	readRate float64         // prompt tokens a second, measured
	token    float64         // seconds between two tokens, measured
}

// NewDirectory returns an empty directory.
func NewDirectory(self string) *Directory {
	return &Directory{
		Self: self, servers: map[string]*Server{}, services: map[string][]*Server{},
		runs: map[string]*Run{}, parts: map[string]*Run{}, readRate: readRateStart, token: tokenTimeStart.Seconds(),
	}
}

// Put takes in a listed entry. An entry of another incarnation starts anew.
func (d *Directory) Put(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.servers[e.ID]
	if known && old.Incarnation == e.Incarnation && old.Address == e.Address && old.Service == e.Service {
		old.Entry = e
		old.gone = false
		if e.Leaving && old.leftAt.IsZero() {
			old.leftAt = time.Now()
		}
		if !e.Leaving {
			old.leftAt = time.Time{}
		}
		return
	}
	if known {
		d.dropLocked(old)
	}
	// An address has one server: whoever was there before has ended.
	for _, o := range d.services[e.Service] {
		if o.Address == e.Address && o.Incarnation < e.Incarnation {
			d.dropLocked(o)
			break
		}
	}
	s := &Server{Entry: e, loads: map[string]*Run{}, copies: map[string]*Run{}}
	if e.Leaving {
		s.leftAt = time.Now()
	}
	d.servers[e.ID] = s
	d.services[e.Service] = append(d.services[e.Service], s)
}

// Remove notes that a server's entry is gone.
func (d *Directory) Remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.servers[id]; ok {
		d.dropLocked(s)
	}
}

func (d *Directory) dropLocked(s *Server) {
	s.gone = true
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

// Entry returns a listed server.
func (d *Directory) Entry(id string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return Entry{}, false
	}
	return s.Entry, true
}

// Service returns what is known of the servers of a service that may be given
// new work.
func (d *Directory) Service(name string) []View {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	views := make([]View, 0, len(d.services[name]))
	for _, s := range d.services[name] {
		if !s.Leaving {
			views = append(views, d.viewLocked(s, now))
		}
	}
	return views
}

// All returns what is known of all listed servers.
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

func (d *Directory) viewLocked(s *Server, now time.Time) View {
	v := View{
		Entry: s.Entry, Plain: s.plain, Failures: s.failures,
		Latency: time.Duration(s.latency * float64(time.Second)), Suspect: now.Before(s.suspect), Unheard: s.lostAt.After(s.heardAt),
	}
	if age := now.Sub(s.loadAt); age < loadLife {
		v.Others = max(0, s.load.Running+s.load.Waiting-s.plain)
	}
	for id, r := range s.loads {
		if r.Ended || now.Sub(r.placed) > runLife {
			delete(s.loads, id)
			continue
		}
		v.Runs++
		v.Committed += r.tokens()
		v.Backlog += r.unread(now, d.readRate)
	}
	for id, r := range s.copies {
		if now.Sub(r.placed) > runLife || r.Ended && !r.Lost {
			delete(s.copies, id)
			continue
		}
		v.Committed += r.tokens()
	}
	return v
}
