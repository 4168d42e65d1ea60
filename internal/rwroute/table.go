package rwroute

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"ragwortwall/internal/rwurgency"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a route. It determines whether requests may be retried.
type Kind int

// Kinds of routes.
const (
	KindOnce       Kind = iota // a request must run at most once
	KindIdempotent             // a request may run more than once
	KindStream                 // the answer is a stream of events
)

// String returns the name of the kind in logs and metrics.
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

// Target is a service and its weight in the traffic split of a route.
type Target struct {
	Service string
	Weight  int // relative to the other targets of the route; negative counts as 0
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // time limit of a request, from its arrival
	TargetLatency time.Duration // target latency of the answer, or of the first event of a stream
	MaxEventGap   time.Duration // longest acceptable time between two events
	Attempts      int           // maximum number of servers that one request is sent to
	Priority      int           // 0 is the highest
	Anonymous     bool          // requests need no API key
	Resumable     bool          // a stream may resume at another server
	Targets       []Target
}

// Repeatable reports whether a request for the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service returns the name of the service that runs a request, or an empty string if no
// target has a positive weight. The choice follows the weights and depends only on a
// hash of the request id, so that every instance makes the same one.
func (r Route) Service(requestID string) string {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return ""
	}
	offset := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		if offset -= max(0, t.Weight); offset < 0 {
			return t.Service
		}
	}
	return ""
}

// Engine holds the properties that all model servers of a service share.
type Engine struct {
	Models   []string      // models that the servers offer
	Slots    int           // requests that run at once
	Memory   int           // KV cache of a server, in tokens
	Copies   bool          // a second server can keep a copy of a run's KV cache
	Moves    bool          // a run's KV cache can be transferred to a second server
	CopyLife time.Duration // how long a copy is kept after the run's server was lost
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name        string
	Health      string // path of the health check
	Connections int    // maximum number of connections that one server accepts from all clients
	Engine      Engine // zero if the servers are not model servers
	Scale       Scale  // zero if the number of servers isn't ours to order
}

// Scale bounds the number of a service's servers that may be ordered.
type Scale struct {
	Min, Max int           // servers in each availability zone
	BootTime time.Duration // from an order until the new servers serve
}

// Ordered reports whether the number of servers may be ordered.
func (s Scale) Ordered() bool { return s.Max > 0 }

// Model reports whether the service's servers are model servers.
func (s Service) Model() bool { return s.Engine.Slots > 0 }

// Limits holds the limits for requests of callers.
type Limits struct {
	Header     int           // maximum size of the header in bytes
	Body       int           // maximum size of the body in bytes
	HeaderTime time.Duration // timeout for the header
	IdleTime   time.Duration // timeout of an idle connection
}

// Organisation is the organisation that a request belongs to.
type Organisation struct {
	Name        string
	Priority    int  // 0 is the highest; comes before the priority of the route, see rwurgency
	HasPriority bool // Priority is set
}

// Table is one immutable version of the desired state. It is created by New.
type Table struct {
	Version            int64
	Limits             Limits
	Keyed              bool               // requests need an API key, except on anonymous routes
	routesByHost       map[string][]Route // longest prefix first
	servicesByName     map[string]Service
	organisationsByKey map[string]Organisation
	scales             map[string]rwurgency.Scale // by service
}

// Parts holds the content of a table.
type Parts struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Keyed         bool
	Organisations map[string]Organisation // by API key
}

// New returns a table with the given content. Host names are not case-sensitive.
func New(p Parts) *Table {
	t := &Table{
		Version: p.Version, Limits: p.Limits, Keyed: p.Keyed, organisationsByKey: p.Organisations,
		routesByHost: map[string][]Route{}, servicesByName: map[string]Service{},
	}
	for _, r := range p.Routes {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range p.Services {
		t.servicesByName[s.Name] = s
	}
	t.scales = scales(p)
	return t
}

// scales returns the urgencies that streams can have, by service.
func scales(p Parts) map[string]rwurgency.Scale {
	organisations := make([]rwurgency.Priority, 0, len(p.Organisations))
	for _, o := range p.Organisations {
		organisations = append(organisations, o.urgency())
	}
	routes := map[string][]rwurgency.Route{}
	for _, r := range p.Routes {
		if r.Kind != KindStream {
			continue
		}
		for _, t := range r.Targets {
			routes[t.Service] = append(routes[t.Service], r.urgency())
		}
	}
	byService := make(map[string]rwurgency.Scale, len(routes))
	for service, priorities := range routes {
		byService[service] = rwurgency.NewScale(organisations, priorities)
	}
	return byService
}

func (o Organisation) urgency() rwurgency.Priority {
	return rwurgency.Priority{Value: o.Priority, Set: o.HasPriority}
}

func (r Route) urgency() rwurgency.Route {
	return rwurgency.Route{Priority: r.Priority, Target: r.TargetLatency}
}

// Urgency returns the urgency of a new request of an organisation for a route, at one of the
// route's services. deadline is the time by which the caller gets a final response.
func (t *Table) Urgency(o Organisation, r Route, service string, deadline time.Time) rwurgency.Urgency {
	return t.scales[service].Of(o.urgency(), r.urgency(), deadline)
}

// Match returns the route for a host whose prefix is the longest match of the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Organisation returns the organisation that an API key belongs to.
func (t *Table) Organisation(key string) (Organisation, bool) {
	o, ok := t.organisationsByKey[key]
	return o, ok
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.servicesByName[name]
	return s, ok
}

// OrderedServices returns the services whose number of servers may be ordered, by name.
func (t *Table) OrderedServices() []Service {
	var ordered []Service
	for _, s := range t.servicesByName {
		if s.Scale.Ordered() {
			ordered = append(ordered, s)
		}
	}
	slices.SortFunc(ordered, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return ordered
}

// TargetLatency returns the shortest target latency of the routes that send requests to a
// service; zero if none names one.
func (t *Table) TargetLatency(service string) time.Duration {
	shortest := time.Duration(0)
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			uses := slices.ContainsFunc(r.Targets, func(target Target) bool { return target.Service == service && target.Weight > 0 })
			if uses && r.TargetLatency > 0 && (shortest == 0 || r.TargetLatency < shortest) {
				shortest = r.TargetLatency
			}
		}
	}
	return shortest
}

// Provides reports whether a server with the given models must belong to the service:
// the service offers all of the models, and no other service offers any of them. It
// returns false for an empty list of models.
func (t *Table) Provides(service string, models []string) bool {
	if len(models) == 0 {
		return false
	}
	for _, model := range models {
		for name, s := range t.servicesByName {
			if slices.Contains(s.Engine.Models, model) != (name == service) {
				return false
			}
		}
		if _, ok := t.servicesByName[service]; !ok {
			return false
		}
	}
	return true
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, routes := range t.routesByHost {
		n += len(routes)
	}
	return n
}
