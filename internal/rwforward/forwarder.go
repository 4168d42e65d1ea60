package rwforward

import (
	"io"
	"net/http"
	"strings"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwevidence"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwretry"
	"ragwortwall/internal/rwroute"
	"ragwortwall/internal/rwtime"
	"ragwortwall/internal/rwversion"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// Settings of the forwarder.
const (
	// dialTime is how long a connection to a server may take: many network round
	// trips of the users' regions.
	dialTime = 200 * time.Millisecond
	// staleAge is how old the confirmation of the desired state may be for an
	// unknown route or key to be final: what a sound watcher and one hop from it
	// may take. An instance that is behind by more says so.
	staleAge = 3 * time.Second
	// repeatShare is the part of first tries that one instance adds in repeats:
	// under the users' bound for the fleet.
	repeatShare = 0.6
	// settleTime bounds the wait for the first settings and servers after a start:
	// several calls to the store.
	settleTime = 400 * time.Millisecond
	settleTick = 10 * time.Millisecond
	// retrySoon is told to callers who may come back at once to another instance.
	retrySoon = 100 * time.Millisecond
	// retryLater is told where the settings or servers must come back first.
	retryLater = time.Second
)

// State is the desired state in force.
type State struct {
	Table  *rwroute.Table
	Age    time.Duration // since it was confirmed
	Keys   time.Duration // age from which requests with keys are refused
	Listed bool          // the backend servers are known
}

// Forwarder answers callers' requests. Set the exported fields before first use.
type Forwarder struct {
	Zone      string
	State     func() State
	Directory *rwbackend.Directory
	Pool      *rwlink.Pool
	Probe     *rwlink.Probe
	Versions  *rwversion.Book
	Wire      Wire
	Engines   Engines
	Finder    *Finder
	Newcomers *Newcomers
	Budget    *rwretry.Budget
	Notify    func(rwbackend.Run) // tells peers of a run
	Lost      func(server string) // tells peers of a server that was lost
	Poison    *rwpoison.Book
	Suspect   func(rwpoison.Suspicion) // tells peers of a request under which a server crashed
	Leaving   func() bool              // this instance is being stopped
	Log       logr.Logger
	Count     *Counters
}

// call is one request of a caller.
type call struct {
	f       *Forwarder
	w       http.ResponseWriter
	r       *http.Request
	ask     Ask
	state   State
	route   rwroute.Route
	org     rwroute.Organisation
	service rwroute.Service
	body    []byte
	began   time.Time
	limit   time.Time // when the caller gets its final answer at the latest
	timeout bool      // the route's timeout is what limits
	sent    int       // servers that it was sent to
	tried   map[string]bool
}

// ServeHTTP answers one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{f: f, w: w, r: r, ask: f.Wire.Ask(r.Header), state: f.State(), began: time.Now(), tried: map[string]bool{}}
	// A body without a length may hide where a request ends from another reader
	// of the same bytes: its connection takes no further request.
	if len(r.TransferEncoding) > 0 || f.Leaving() {
		w.Header().Set("Connection", "close")
	}
	err := c.admit()
	if err == nil {
		err = c.read()
	}
	if err == nil {
		f.Count.request(c.route.Kind)
		err = c.allow()
	}
	if err == nil {
		if c.route.Kind == rwroute.KindStream {
			err = c.stream()
		} else {
			err = c.plain()
		}
	}
	if err != nil {
		c.refuse(err)
	}
}

// admit finds the route and the organisation.
func (c *call) admit() error {
	if !c.settled() {
		return rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After", "the settings or the servers are not known yet").WithRetryAfter(2 * retrySoon)
	}
	state := c.state
	target := c.target()
	path, _, _ := strings.Cut(target, "?")
	route, ok := state.Table.Match(c.r.Host, path)
	if !ok {
		return c.unless(rwerror.New(rwerror.KindNotFound, "check the host and the path", "no route leads here"))
	}
	c.route = route
	if state.Table.Keyed && !route.Anonymous {
		if state.Age > state.Keys {
			return rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
				"API keys can't be confirmed: the settings were last confirmed %s ago", state.Age.Round(time.Millisecond)).WithRetryAfter(retryLater)
		}
		if c.org, ok = state.Table.Organisation(c.ask.Key); !ok {
			return c.unless(rwerror.New(rwerror.KindUnauthorized, "send an API key that is in force", "no organisation has this API key"))
		}
	}
	name := route.Service(c.ask.ID)
	if c.service, ok = state.Table.Service(name); !ok {
		c.service = rwroute.Service{Name: name}
	}
	c.limit = c.began.Add(route.Timeout)
	c.timeout = true
	if route.Timeout <= 0 || c.ask.Deadline > 0 && c.ask.Deadline < route.Timeout {
		c.limit = c.began.Add(c.ask.Deadline)
		c.timeout = false
	}
	return nil
}

// allow refuses a request that has crashed several servers.
func (c *call) allow() error {
	if refusal := c.f.Poison.Refusal(c.fingerprint()); refusal != nil {
		return refusal
	}
	return nil
}

// settled waits a moment for the settings and the servers of an instance that has
// just started: they come sooner than a caller that is sent away.
func (c *call) settled() bool {
	for (c.state.Table == nil || !c.state.Listed) && time.Since(c.began) < settleTime && rwtime.Sleep(c.r.Context(), settleTick) {
		c.state = c.f.State()
	}
	return c.state.Table != nil && c.state.Listed
}

// unless returns a final error, but a passing one when this instance's settings
// may be behind.
func (c *call) unless(final *rwerror.Error) error {
	if c.state.Age <= staleAge {
		return final
	}
	return rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
		"%s, but the settings were last confirmed %s ago", final.Message, c.state.Age.Round(time.Millisecond)).WithRetryAfter(retryLater)
}

// target is the path and query as the caller sent them.
func (c *call) target() string {
	if strings.HasPrefix(c.r.RequestURI, "/") {
		return c.r.RequestURI
	}
	return c.r.URL.RequestURI()
}

// read reads the whole body, so that it can be sent again and in one piece.
func (c *call) read() error {
	most := int64(c.state.Table.Limits.Body)
	if most > 0 && c.r.ContentLength > most {
		return tooLarge(most)
	}
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	if err := http.NewResponseController(c.w).SetReadDeadline(c.limit); err != nil {
		return errors.Trace(err)
	}
	var reader io.Reader = c.r.Body
	if most > 0 {
		reader = io.LimitReader(reader, most+1)
	}
	var err error
	if n := c.r.ContentLength; n > 0 {
		c.body = make([]byte, n)
		_, err = io.ReadFull(reader, c.body)
	} else {
		c.body, err = io.ReadAll(reader)
	}
	if err != nil {
		return rwerror.New(rwerror.KindTimeout, "send the whole body", "the body did not come whole: %v", err).WithRan(rwerror.RanNo)
	}
	if most > 0 && int64(len(c.body)) > most {
		return tooLarge(most)
	}
	return errors.Trace(http.NewResponseController(c.w).SetReadDeadline(time.Time{}))
}

func tooLarge(most int64) error {
	return rwerror.New(rwerror.KindTooLarge, "send a smaller body", "the body is over %d bytes", most)
}

func (c *call) left() time.Duration { return time.Until(c.limit) }

// confirmed reports whether the request may be sent now: its key was in force a
// short while ago.
func (c *call) confirmed() error {
	state := c.f.State()
	if c.org.Name == "" || state.Table == nil {
		return nil
	}
	if _, ok := state.Table.Organisation(c.ask.Key); !ok {
		return rwerror.New(rwerror.KindUnauthorized, "send an API key that is in force", "the API key was taken away")
	}
	if state.Age > state.Keys {
		return rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
			"API keys can't be confirmed: the settings were last confirmed %s ago", state.Age.Round(time.Millisecond)).WithRetryAfter(retryLater)
	}
	return nil
}

// servers returns what is known of the servers that may run the request: those of
// the versions that a move allows it, or when there are none of these, of all that
// were not taken back.
func (c *call) servers() []rwbackend.View {
	all := c.f.Directory.Service(c.service.Name)
	allows := c.f.Versions.Allows(c.service.Name, c.ask.ID)
	if allows == nil {
		return all
	}
	var allowed, others []rwbackend.View
	for _, s := range all {
		switch {
		case allows(s.Version):
			allowed = append(allowed, s)
		case !c.f.Versions.Barred(c.service.Name, s.Version):
			others = append(others, s)
		}
	}
	if len(allowed) == 0 {
		return others
	}
	return allowed
}

// saw notes what the request saw of a server's version.
func (c *call) saw(server rwbackend.View, failed bool, first time.Duration) {
	seen := rwevidence.Seen{Failed: failed, First: first, Load: float64(server.Plain+server.Others) / float64(max(1, server.Slots))}
	if c.f.Versions.Seen(c.service.Name, server.Version, seen) {
		c.f.Log.Info("new version found bad", "service", c.service.Name, "version", server.Version, "request", c.ask.ID)
	}
}

// order is what goes to a server with the request.
func (c *call) order(server string) Order {
	o := Order{Left: c.left(), Server: server, Organisation: c.org.Name, Cursor: c.ask.Cursor, Resumed: c.ask.Resumed}
	if c.org.Ranked {
		o.Priority, o.Ranked = c.org.Priority, true
	}
	return o
}

func (c *call) request(o Order) rwlink.Request {
	return rwlink.Request{
		Method: c.r.Method, Target: c.target(), Host: c.r.Host,
		Header: c.f.Wire.Order(c.r.Header, o), Body: c.body,
	}
}

// owns tells answers to this request from late extra ones.
func (c *call) owns(h http.Header) bool {
	id := c.f.Wire.Reply(0, h).Request
	return id == "" || id == c.ask.ID
}
