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
	// dialTimeout is how long a connection to a server may take: many network round
	// trips of the users' regions.
	dialTimeout = 200 * time.Millisecond
	// maxStaleness is how old the confirmation of the desired state may be for an
	// unknown route or key to be final: what a sound watcher and one hop from it
	// may take. An instance that is behind by more says so.
	maxStaleness = 3 * time.Second
	// retryBudgetRatio is the part of first tries that one instance adds in repeats:
	// under the users' bound for the fleet.
	retryBudgetRatio = 0.6
	// startupWait bounds the wait for the first settings and servers after a start:
	// several calls to the store.
	startupWait         = 400 * time.Millisecond
	startupPollInterval = 10 * time.Millisecond
	// shortRetryAfter is told to callers who may come back at once to another instance.
	shortRetryAfter = 100 * time.Millisecond
	// longRetryAfter is told where the settings or servers must come back first.
	longRetryAfter = time.Second
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
	f                   *Forwarder
	w                   http.ResponseWriter
	r                   *http.Request
	info                Ask
	state               State
	route               rwroute.Route
	org                 rwroute.Organisation
	service             rwroute.Service
	body                []byte
	startedAt           time.Time
	deadline            time.Time // when the caller gets its final answer at the latest
	routeTimeoutApplies bool      // the route's timeout is what limits
	attempts            int       // servers that it was sent to
	tried               map[string]bool
}

// ServeHTTP answers one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{f: f, w: w, r: r, info: f.Wire.Ask(r.Header), state: f.State(), startedAt: time.Now(), tried: map[string]bool{}}
	// A body without a length may hide where a request ends from another reader
	// of the same bytes: its connection takes no further request.
	if len(r.TransferEncoding) > 0 || f.Leaving() {
		w.Header().Set("Connection", "close")
	}
	err := c.resolveRoute()
	if err == nil {
		err = c.readBody()
	}
	if err == nil {
		f.Count.countRequest(c.route.Kind)
		err = c.checkQuarantine()
	}
	if err == nil {
		if c.route.Kind == rwroute.KindStream {
			err = c.serveStream()
		} else {
			err = c.servePlain()
		}
	}
	if err != nil {
		c.writeError(err)
	}
}

// resolveRoute finds the route and the organisation.
func (c *call) resolveRoute() error {
	if !c.awaitInitialState() {
		return rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After", "the settings or the servers are not known yet").WithRetryAfter(2 * shortRetryAfter)
	}
	state := c.state
	target := c.requestTarget()
	path, _, _ := strings.Cut(target, "?")
	route, ok := state.Table.Match(c.r.Host, path)
	if !ok {
		return c.retryableIfStale(rwerror.New(rwerror.KindNotFound, "check the host and the path", "no route leads here"))
	}
	c.route = route
	if state.Table.Keyed && !route.Anonymous {
		if state.Age > state.Keys {
			return rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
				"API keys can't be confirmed: the settings were last confirmed %s ago", state.Age.Round(time.Millisecond)).WithRetryAfter(longRetryAfter)
		}
		if c.org, ok = state.Table.Organisation(c.info.Key); !ok {
			return c.retryableIfStale(rwerror.New(rwerror.KindUnauthorized, "send an API key that is in force", "no organisation has this API key"))
		}
	}
	name := route.Service(c.info.ID)
	if c.service, ok = state.Table.Service(name); !ok {
		c.service = rwroute.Service{Name: name}
	}
	c.deadline = c.startedAt.Add(route.Timeout)
	c.routeTimeoutApplies = true
	if route.Timeout <= 0 || c.info.Deadline > 0 && c.info.Deadline < route.Timeout {
		c.deadline = c.startedAt.Add(c.info.Deadline)
		c.routeTimeoutApplies = false
	}
	return nil
}

// checkQuarantine refuses a request that has crashed several servers.
func (c *call) checkQuarantine() error {
	if refusal := c.f.Poison.Refusal(c.fingerprint()); refusal != nil {
		return refusal
	}
	return nil
}

// awaitInitialState waits a moment for the settings and the servers of an instance that has
// just started: they come sooner than a caller that is sent away.
func (c *call) awaitInitialState() bool {
	for (c.state.Table == nil || !c.state.Listed) && time.Since(c.startedAt) < startupWait && rwtime.Sleep(c.r.Context(), startupPollInterval) {
		c.state = c.f.State()
	}
	return c.state.Table != nil && c.state.Listed
}

// retryableIfStale returns a final error, but a passing one when this instance's settings
// may be behind.
func (c *call) retryableIfStale(final *rwerror.Error) error {
	if c.state.Age <= maxStaleness {
		return final
	}
	return rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
		"%s, but the settings were last confirmed %s ago", final.Message, c.state.Age.Round(time.Millisecond)).WithRetryAfter(longRetryAfter)
}

// requestTarget is the path and query as the caller sent them.
func (c *call) requestTarget() string {
	if strings.HasPrefix(c.r.RequestURI, "/") {
		return c.r.RequestURI
	}
	return c.r.URL.RequestURI()
}

// readBody reads the whole body, so that it can be sent again and in one piece.
func (c *call) readBody() error {
	most := int64(c.state.Table.Limits.Body)
	if most > 0 && c.r.ContentLength > most {
		return bodyTooLargeError(most)
	}
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	if err := http.NewResponseController(c.w).SetReadDeadline(c.deadline); err != nil {
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
		return bodyTooLargeError(most)
	}
	return errors.Trace(http.NewResponseController(c.w).SetReadDeadline(time.Time{}))
}

func bodyTooLargeError(most int64) error {
	return rwerror.New(rwerror.KindTooLarge, "send a smaller body", "the body is over %d bytes", most)
}

func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// checkKey reports whether the request may be sent now: its key was in force a
// short while ago.
func (c *call) checkKey() error {
	state := c.f.State()
	if c.org.Name == "" || state.Table == nil {
		return nil
	}
	if _, ok := state.Table.Organisation(c.info.Key); !ok {
		return rwerror.New(rwerror.KindUnauthorized, "send an API key that is in force", "the API key was taken away")
	}
	if state.Age > state.Keys {
		return rwerror.New(rwerror.KindUnavailable, "come back after the time in Retry-After",
			"API keys can't be confirmed: the settings were last confirmed %s ago", state.Age.Round(time.Millisecond)).WithRetryAfter(longRetryAfter)
	}
	return nil
}

// candidateServers returns what is known of the candidateServers that may run the request: those of
// the versions that a move allows it, or when there are none of these, of all that
// were not taken back.
func (c *call) candidateServers() []rwbackend.View {
	all := c.f.Directory.Service(c.service.Name)
	allows := c.f.Versions.Allows(c.service.Name, c.info.ID)
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

// recordVersionOutcome notes what the request recordVersionOutcome of a server's version.
func (c *call) recordVersionOutcome(server rwbackend.View, failed bool, first time.Duration) {
	seen := rwevidence.Seen{Failed: failed, First: first, Load: float64(server.Plain+server.Others) / float64(max(1, server.Slots))}
	if c.f.Versions.Seen(c.service.Name, server.Version, seen) {
		c.f.Log.Info("new version found bad", "service", c.service.Name, "version", server.Version, "request", c.info.ID)
	}
}

// upstreamInfo is what goes to a server with the request.
func (c *call) upstreamInfo(server string) Order {
	o := Order{Left: c.remaining(), Server: server, Organisation: c.org.Name, Cursor: c.info.Cursor, Resumed: c.info.Resumed}
	if c.org.Ranked {
		o.Priority, o.Ranked = c.org.Priority, true
	}
	return o
}

func (c *call) upstreamRequest(o Order) rwlink.Request {
	return rwlink.Request{
		Method: c.r.Method, Target: c.requestTarget(), Host: c.r.Host,
		Header: c.f.Wire.Order(c.r.Header, o), Body: c.body,
	}
}

// ownsResponse tells answers to this request from late extra ones.
func (c *call) ownsResponse(h http.Header) bool {
	id := c.f.Wire.Reply(0, h).Request
	return id == "" || id == c.info.ID
}
