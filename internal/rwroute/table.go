package rwroute

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated.
type Kind int

// The kinds of route.
const (
	KindOnce       Kind = iota // runs at most once
	KindIdempotent             // may run more than once
	KindStream                 // a stream of events
)

// String names the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	default:
		return "once"
	}
}

// Target is a service and its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route leads the requests of a host and path prefix to services.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // longest time that a caller is kept waiting
	Aim       time.Duration // time to the answer, or to the first event, that callers hope for
	Pause     time.Duration // longest pause between events that callers bear
	Attempts  int           // most servers that one request may be sent to
	Priority  int           // 0 is the highest
	Anonymous bool          // needs no API key
	Resumable bool          // a stream that may go on at another server
	Targets   []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service returns the service that runs a request: the same one on every
// instance, by a hash of the request's id, in proportion to the weights.
func (r Route) Service(request string) string {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return ""
	}
	at := int(xxhash.Sum64String(request) % uint64(total))
	for _, t := range r.Targets {
		if at -= max(0, t.Weight); at < 0 {
			return t.Service
		}
	}
	return ""
}

// Engine is what the model servers of a service have in common.
type Engine struct {
	Models   []string      // that the servers have
	Slots    int           // requests that run at once
	Memory   int           // tokens that fit in a server's memory
	Copies   bool          // a run's memory can be kept at a second server
	Moves    bool          // a run's memory can be sent to a second server
	CopyLife time.Duration // how long a copy is kept after its run was lost
}

// Service is a group of servers that run the same requests.
type Service struct {
	Name        string
	Health      string // path of the health check
	Connections int    // that a server accepts from all callers together
	Engine      Engine // zero unless the servers are model servers
}

// Model reports whether the service's servers are model servers.
func (s Service) Model() bool { return s.Engine.Slots > 0 }

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	Header     int // bytes
	Body       int // bytes
	HeaderTime time.Duration
	IdleTime   time.Duration // of a connection between two requests
}

// Organisation is who a request belongs to.
type Organisation struct {
	Name     string
	Priority int // 0 is the highest; goes before the route's
	Ranked   bool
}

// Table is one version of the desired state. Build it with New.
type Table struct {
	Version  int64
	Limits   Limits
	Keyed    bool // requests need an API key, but on anonymous routes
	hosts    map[string][]Route
	services map[string]Service
	keys     map[string]Organisation
}

// Parts is what a table is made of.
type Parts struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Keyed         bool
	Organisations map[string]Organisation // by API key
}

// New makes a table.
func New(p Parts) *Table {
	t := &Table{
		Version: p.Version, Limits: p.Limits, Keyed: p.Keyed, keys: p.Organisations,
		hosts: map[string][]Route{}, services: map[string]Service{},
	}
	for _, r := range p.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range p.Services {
		t.services[s.Name] = s
	}
	return t
}

// Match returns the route with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Organisation returns who holds an API key.
func (t *Table) Organisation(key string) (Organisation, bool) {
	o, ok := t.keys[key]
	return o, ok
}

// Service returns a service by its name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Provides reports whether a server that has the given models can only be one of
// the service: the service offers all of them, and no other service offers any.
func (t *Table) Provides(service string, models []string) bool {
	if len(models) == 0 {
		return false
	}
	for _, model := range models {
		for name, s := range t.services {
			if slices.Contains(s.Engine.Models, model) != (name == service) {
				return false
			}
		}
		if _, ok := t.services[service]; !ok {
			return false
		}
	}
	return true
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, routes := range t.hosts {
		n += len(routes)
	}
	return n
}
