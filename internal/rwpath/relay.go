package rwpath

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwaccount"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

const (
	// relayPath is followed by the id of the server.
	relayPath = "/servers/"
	// cleanEndHeader is set to "1" in the answer of a relay whose connections end with a reset
	// unless the server has ended its own.
	cleanEndHeader = "Ragwortwall-Clean-End"
	// relayDialTimeout limits the connection of a relay to a server, relayTimeout the
	// question to a relay. Together they leave time for a second one.
	relayDialTimeout = 150 * time.Millisecond
	relayTimeout     = 200 * time.Millisecond
	// relayControlDelay is how long a connection may take until another server is tried too.
	relayControlDelay = 30 * time.Millisecond
	// maxHelpersAsked limits the instances that are asked for one connection.
	maxHelpersAsked = 6
	// relayHedgeDelay is how long an answer may take until the next instance is asked too.
	relayHedgeDelay = 40 * time.Millisecond
	// unfitTime is how long an instance isn't asked that can't relay.
	unfitTime = time.Second
	// maxRelayedConns limits the connections that an instance relays: a part of the
	// descriptors of the smallest machines.
	maxRelayedConns  = 256
	relayBufferBytes = 4 << 10
	// maxAnswerBytes limits the head of an answer to a question: what listens at the address may
	// no longer be an instance.
	maxAnswerBytes = 64 << 10
	// relayHeaderTimeout limits the head of a question to a relay.
	relayHeaderTimeout = 2 * time.Second
	relayHeaderBytes   = 4 << 10
	// lastWriteTimeout limits a write to a server that has ended its side of the connection.
	lastWriteTimeout = time.Second
)

// relayKeepAlive ends a relayed connection whose other end has lost power.
var relayKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// ErrServerUnreached is returned if other instances don't reach the server either.
var ErrServerUnreached = rwerror.New(rwerror.KindUnavailable, "retry after the time in Retry-After", "other instances do not reach the server either")

// errUnaskedBytes is returned if a server sent something before it got a request.
var errUnaskedBytes = errors.New("bytes arrived before a request was sent")

// dialRelayed connects to a server through another instance. It returns ErrServerUnreached if
// the server is what can't be reached: by an instance that reaches another server of the service,
// or by all that were asked, in two zones unless there is but one, while none of them knows that
// its own path is broken. Otherwise it returns errNoHelper.
func (d *Dialer) dialRelayed(ctx context.Context, server Server) (net.Conn, error) {
	if d.Helpers == nil {
		return nil, errNoHelper
	}
	all := d.Helpers()
	fit := slices.DeleteFunc(slices.Clone(all), func(h Helper) bool { return d.isUnfit(h.Address) })
	fit = alternateZones(fit)
	fit = fit[:min(maxHelpersAsked, len(fit))]
	ctx, cancel := context.WithCancel(ctx)
	answers := make(chan relayAnswer, len(fit))
	defer func() {
		cancel()
		go closeOthers(answers)
	}()
	pending, next, unreached, broken := 0, 0, map[string]bool{}, len(fit) < min(maxHelpersAsked, len(all))
	ask := func() {
		h := fit[next]
		next++
		pending++
		go func() {
			c, status, err := askRelay(ctx, h.Address, server.ID)
			answers <- relayAnswer{h, c, status, err}
		}()
	}
	for next < len(fit) || pending > 0 {
		if pending == 0 {
			ask()
		}
		var answer relayAnswer
		select {
		case <-ctx.Done():
			return nil, errNoHelper
		case <-time.After(relayHedgeDelay):
			if next < len(fit) {
				ask()
			}
			continue
		case answer = <-answers:
			pending--
		}
		switch {
		case answer.err != nil:
			d.markUnfit(answer.helper.Address)
		case answer.status == http.StatusOK:
			d.count("relayed_conns")
			return answer.conn, nil
		case answer.status == http.StatusBadGateway:
			return nil, ErrServerUnreached
		case answer.status == http.StatusGatewayTimeout:
			unreached[answer.helper.Zone] = true
			if d.IsBroken(server.Service) {
				d.markUnfit(answer.helper.Address) // its path may be broken, too
			}
		case answer.status == http.StatusServiceUnavailable:
			broken = true
			d.markUnfit(answer.helper.Address)
		}
	}
	if !broken && (len(unreached) > 1 || len(unreached) == 1 && len(fit) == 1) {
		return nil, ErrServerUnreached
	}
	return nil, errNoHelper
}

// relayAnswer is the answer of an instance that was asked to connect to a server.
type relayAnswer struct {
	helper Helper
	conn   *relayedConn // set if the status is 200
	status int
	err    error
}

// closeOthers closes the connections of answers that are not needed. Their questions end with
// the context.
func closeOthers(answers <-chan relayAnswer) {
	for timeout := time.After(2 * relayTimeout); ; {
		select {
		case answer := <-answers:
			if answer.conn != nil {
				_ = answer.conn.Close()
			}
		case <-timeout:
			return
		}
	}
}

// askRelay asks the relay at an address to connect to a server. The connection is set if the
// status is 200.
func askRelay(ctx context.Context, address, server string) (*relayedConn, int, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: relayKeepAlive}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, 0, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	request := &http.Request{Method: http.MethodConnect, Host: address, URL: &url.URL{Path: relayPath + server}}
	reader := bufio.NewReader(io.LimitReader(raw, maxAnswerBytes))
	status, header, err := exchange(raw, reader, request)
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err == nil && reader.Buffered() > 0 {
		err = errUnaskedBytes
	}
	if err != nil || status != http.StatusOK {
		_ = raw.Close()
		return nil, status, errors.Trace(err)
	}
	return &relayedConn{raw.(*net.TCPConn), header.Get(cleanEndHeader) == "1"}, status, nil
}

// exchange sends a request and returns the status and header of the response, which has no body.
func exchange(c net.Conn, reader *bufio.Reader, request *http.Request) (int, http.Header, error) {
	if err := request.Write(c); err != nil {
		return 0, nil, err
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, response.Header, response.Body.Close()
}

func (d *Dialer) isUnfit(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.unfit[address])
}

func (d *Dialer) markUnfit(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unfit == nil {
		d.unfit = map[string]time.Time{}
	}
	for other, until := range d.unfit {
		if time.Now().After(until) {
			delete(d.unfit, other)
		}
	}
	d.unfit[address] = time.Now().Add(unfitTime)
}

// Relay connects other instances to backend servers. Set the exported fields before Run.
type Relay struct {
	Address string // listening address
	Dialer  *Dialer
	Find    func(id string) (Server, bool) // returns the listed server with an id
	Control func(s Server) (Server, bool)  // returns another server of the service, by which this instance's own path is checked; false for none
	Barred  func(id string) bool           // reports whether this instance must send nothing to a server now; nil for never
	Leaving func() bool                    // reports whether this instance is shutting down; nil for never
	Log     logr.Logger

	MaxConns    int    // connections on which nothing is relayed; zero for no limit
	MaxRelayed  int    // relayed connections; zero for maxRelayedConns
	CountClosed func() // called for each connection that is closed for others; nil for nothing

	relayed atomic.Int32
}

// Wait returns when no connection is relayed any more, or ctx ends. An instance that shuts down
// relays no new ones, but those that it has may carry requests.
func (r *Relay) Wait(ctx context.Context) {
	const pollInterval = 20 * time.Millisecond
	for r.relayed.Load() > 0 && rwtime.Sleep(ctx, pollInterval) {
		continue
	}
}

// Run relays connections until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	listener, err := net.Listen("tcp", r.Address)
	if err != nil {
		r.Log.Error(err, "cannot listen for connections to relay")
		return
	}
	door := &rwaccount.Door{Max: r.MaxConns, Count: r.CountClosed}
	server := &http.Server{Handler: r, ReadTimeout: relayHeaderTimeout, MaxHeaderBytes: relayHeaderBytes, ConnState: door.Track}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		r.Log.Error(err, "stopped relaying connections")
	}
}

// ServeHTTP connects a caller to the server that the path names. The status is 404 if the server
// isn't listed here, 409 if this instance must not send to it now, 502 if it is not reached but
// another server of its service is, 504 if neither is, and 503 if this instance's own path is
// broken, it is shutting down or relays too many connections.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	server, status := r.admit(request)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	if int(r.relayed.Add(1)) > cmp.Or(r.MaxRelayed, maxRelayedConns) {
		r.relayed.Add(-1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.relayed.Add(-1)
	upstream, reachesOthers := r.connect(request.Context(), server)
	if upstream == nil {
		status := http.StatusGatewayTimeout
		if request.Context().Err() == nil {
			r.Dialer.recordUnreached(server)
		}
		if reachesOthers {
			status = http.StatusBadGateway
		}
		w.WriteHeader(status)
		return
	}
	r.Dialer.recordReached(server.Service)
	r.Dialer.count("conns_relayed_for_others")
	r.splice(w, upstream)
}

// connect connects to a server. If that takes long or fails, it also connects to another
// server: only an instance that reaches another one can tell that this one is not reached.
func (r *Relay) connect(ctx context.Context, server Server) (upstream net.Conn, reachesOthers bool) {
	others := make(chan bool, 1)
	checkOthers := func() {
		control, ok := r.Control(server)
		if !ok {
			others <- false
			return
		}
		accepted, _ := rwlink.TryConnect(ctx, r.Dialer.direct, control.Address, relayDialTimeout-relayControlDelay)
		others <- accepted
	}
	timer := time.AfterFunc(relayControlDelay, checkOthers)
	upstream, err := r.Dialer.direct(ctx, server.Address, relayDialTimeout)
	stopped := timer.Stop()
	if err == nil {
		return upstream, true
	}
	if stopped {
		checkOthers()
	}
	return nil, <-others
}

func (r *Relay) admit(request *http.Request) (Server, int) {
	id, ok := cutPath(request.URL.Path)
	if request.Method != http.MethodConnect || !ok {
		return Server{}, http.StatusNotFound
	}
	server, known := r.Find(id)
	switch {
	case !known:
		return Server{}, http.StatusNotFound
	case r.Barred != nil && r.Barred(id):
		return Server{}, http.StatusConflict
	case r.Leaving != nil && r.Leaving(), r.Dialer.IsBroken(server.Service):
		return Server{}, http.StatusServiceUnavailable
	}
	return server, http.StatusOK
}

func cutPath(path string) (string, bool) {
	if len(path) <= len(relayPath) || path[:len(relayPath)] != relayPath {
		return "", false
	}
	return path[len(relayPath):], true
}

// splice passes bytes on in both directions until either side ends.
func (r *Relay) splice(w http.ResponseWriter, upstream net.Conn) {
	defer upstream.Close()
	raw, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		r.Log.Error(err, "cannot relay a connection")
		return
	}
	defer raw.Close()
	for _, c := range []net.Conn{raw, upstream} {
		if tcp, ok := c.(interface {
			SetKeepAliveConfig(net.KeepAliveConfig) error
		}); ok {
			_ = tcp.SetKeepAliveConfig(relayKeepAlive) // without it, a lost peer is noticed later
		}
	}
	// A response may end with its connection: only a clean end may look like one, also when this
	// process is killed and the system closes its connections.
	reset(raw)
	if _, err := raw.Write([]byte("HTTP/1.1 200 OK\r\n" + cleanEndHeader + ": 1\r\n\r\n")); err != nil {
		return
	}
	var fromCaller sync.WaitGroup
	toServer := &checkedWriter{Conn: upstream}
	fromCaller.Go(func() {
		// When the caller closes, the server must stop its work.
		_, _ = copyBytes(toServer, io.MultiReader(io.LimitReader(buffered, int64(buffered.Reader.Buffered())), raw))
		_ = upstream.Close()
	})
	if _, err := copyBytes(raw, upstream); err == nil && toServer.isSound() {
		endCleanly(raw)
	}
	_ = raw.Close()
	fromCaller.Wait()
}

// checkedWriter writes to a server and remembers whether that failed.
type checkedWriter struct {
	net.Conn

	mu     sync.Mutex // held while a write is under way
	failed bool
}

// Write writes to the server.
func (w *checkedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.Conn.Write(p)
	w.failed = w.failed || err != nil
	return n, err
}

// isSound reports whether no write has failed. One that is under way may take lastWriteTimeout.
// A reset is told only once: if a write got it, the end that a read gets looks clean.
func (w *checkedWriter) isSound() bool {
	_ = w.SetWriteDeadline(time.Now().Add(lastWriteTimeout)) // fails only on a closed connection
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.failed
}

// copyBytes is io.Copy with a small buffer.
func copyBytes(to io.Writer, from io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, relayBufferBytes))
}

// reset makes the next Close of a connection a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}

// endCleanly undoes reset.
func endCleanly(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(-1)
	}
}

// alternateZones returns the helpers with the first one of each zone first: a zone's instances
// are often cut off together.
func alternateZones(helpers []Helper) []Helper {
	first, rest := make([]Helper, 0, len(helpers)), make([]Helper, 0, len(helpers))
	seen := map[string]bool{}
	for _, h := range helpers {
		if seen[h.Zone] {
			rest = append(rest, h)
			continue
		}
		seen[h.Zone] = true
		first = append(first, h)
	}
	return append(first, rest...)
}

// ByZone returns the helpers of a zone first, then the others.
func ByZone(helpers []Helper, zone string) []Helper {
	slices.SortStableFunc(helpers, func(a, b Helper) int {
		switch {
		case a.Zone == b.Zone || a.Zone != zone && b.Zone != zone:
			return 0
		case a.Zone == zone:
			return -1
		}
		return 1
	})
	return helpers
}
