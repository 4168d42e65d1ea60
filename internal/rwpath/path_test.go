package rwpath

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwloopback"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// world is a set of backend servers, one for each zone, and instances that may be cut off.
type world struct {
	t         *testing.T
	servers   []Server
	listeners []net.Listener
	accepted  atomic.Int32 // connections at the servers
}

// instance is an instance of a world.
type instance struct {
	Dialer
	relay  Relay
	zone   string
	cut    atomic.Bool
	barred atomic.Bool

	leaving atomic.Bool
}

const (
	waitTimeout = 10 * time.Second
	dialTimeout = 200 * time.Millisecond
)

func newWorld(t *testing.T, zones int) *world {
	t.Helper()
	w := &world{t: t}
	for n := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		w.listeners = append(w.listeners, l)
		w.servers = append(w.servers, Server{ID: fmt.Sprint("s", n), Service: "orders", Zone: fmt.Sprint("zone-", n), Address: l.Addr().String()})
		go w.serve(l)
	}
	return w
}

// serve answers each line with the same line, and ends the connection after "end", or resets
// it after "reset".
func (w *world) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.accepted.Add(1)
		go func() {
			defer c.Close()
			for lines := bufio.NewScanner(c); lines.Scan(); {
				switch lines.Text() {
				case "end":
					return
				case "reset":
					reset(c)
					return
				}
				_, _ = io.WriteString(c, lines.Text()+"\n")
			}
		}()
	}
}

// start starts an instance whose helpers are the given ones.
func (w *world) start(zone string, helpers ...*instance) *instance {
	i := &instance{zone: zone}
	i.Log, i.relay.Log = logr.Discard(), logr.Discard()
	i.Direct = func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
		if i.cut.Load() {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		return rwlink.DialTCP(ctx, address, timeout)
	}
	find := func(matches func(Server) bool) (Server, bool) {
		for _, s := range w.servers {
			if matches(s) {
				return s, true
			}
		}
		return Server{}, false
	}
	i.Locate = func(address string) (Server, bool) { return find(func(s Server) bool { return s.Address == address }) }
	i.Servers = func(string) []Server { return w.servers }
	i.Helpers = func() []Helper {
		var all []Helper
		for _, h := range helpers {
			all = append(all, Helper{Zone: h.zone, Address: h.relay.Address})
		}
		return ByZone(all, zone)
	}
	i.relay.Address, i.relay.Dialer = rwloopback.Address(), &i.Dialer
	i.relay.Find = func(id string) (Server, bool) { return find(func(s Server) bool { return s.ID == id }) }
	i.relay.Control = func(s Server) (Server, bool) {
		last := w.servers[len(w.servers)-1]
		return last, last.ID != s.ID
	}
	i.relay.Barred = func(string) bool { return i.barred.Load() }
	i.relay.Leaving = i.leaving.Load
	go i.relay.Run(w.t.Context())
	go i.Run(w.t.Context())
	require.Eventually(w.t, func() bool {
		c, err := net.Dial("tcp", i.relay.Address)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, waitTimeout, time.Millisecond)
	return i
}

func (w *world) dial(i *instance, server int) (net.Conn, error) {
	c, err := i.Dial(w.t.Context(), w.servers[server].Address, dialTimeout)
	if err == nil {
		w.t.Cleanup(func() { _ = c.Close() })
	}
	return c, err
}

func requireEcho(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := io.WriteString(c, "hello\n")
	require.NoError(t, err)
	line, err := bufio.NewReader(c).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "hello\n", line)
}

// acceptedSoFar returns the number of connections at the servers once it has not changed for a
// while: a server accepts a connection some time after it was opened.
func (w *world) acceptedSoFar() int32 {
	w.t.Helper()
	const settled = 100 * time.Millisecond
	last, since := w.accepted.Load(), time.Now()
	for time.Since(since) < settled {
		time.Sleep(settled / 10)
		if n := w.accepted.Load(); n != last {
			last, since = n, time.Now()
		}
	}
	return last
}

// breakPath cuts an instance off and dials until its path counts as broken.
func (w *world) breakPath(i *instance) net.Conn {
	w.t.Helper()
	i.cut.Store(true)
	_, err := w.dial(i, 0)
	require.Error(w.t, err, "one server that is not reached is no sign of a broken path")
	c, err := w.dial(i, 1)
	require.NoError(w.t, err)
	require.True(w.t, i.IsBroken("orders"))
	return c
}

// TestBrokenPath checks that connections go through another instance while servers of several
// zones are not reached, and directly again soon after the path is back.
func TestBrokenPath(t *testing.T) {
	w := newWorld(t, 3)
	helper := w.start("zone-1")
	i := w.start("zone-0", helper)
	withdrawn := make(chan string, 1)
	i.Broken = func(service string, _ time.Time) { withdrawn <- service }
	requireEcho(t, w.breakPath(i))
	require.Equal(t, "orders", <-withdrawn)
	c, err := w.dial(i, 0)
	require.NoError(t, err)
	require.True(t, rwlink.New(c, "").Relayed())
	requireEcho(t, c)
	i.cut.Store(false)
	const recoveryBound = time.Second
	require.Eventually(t, func() bool { return !i.IsBroken("orders") }, recoveryBound, time.Millisecond)
	c, err = w.dial(i, 0)
	require.NoError(t, err)
	require.False(t, rwlink.New(c, "").Relayed())
}

// TestConcurrentDials guards against connections that all fail within the moment in which the
// first one finds out that the path is broken.
func TestConcurrentDials(t *testing.T) {
	w := newWorld(t, 3)
	i := w.start("zone-0", w.start("zone-1"), w.start("zone-2"))
	i.cut.Store(true)
	const callers = 20
	connected := make(chan bool, callers)
	for range callers {
		go func() {
			for n := range w.servers {
				if _, err := w.dial(i, n); err == nil {
					connected <- true
					return
				}
			}
			connected <- false
		}()
	}
	for range callers {
		require.True(t, <-connected, "all servers were tried in vain")
	}
}

// TestServersDown guards against a service whose servers are down that is taken for a broken
// path: each connection would be tried through other instances.
func TestServersDown(t *testing.T) {
	w := newWorld(t, 3)
	helpers := []*instance{w.start("zone-1"), w.start("zone-2")}
	i := w.start("zone-0", helpers...)
	for _, l := range w.listeners[:2] {
		_ = l.Close()
	}
	for range 3 {
		for n := range 2 {
			_, err := w.dial(i, n)
			require.Error(t, err)
		}
	}
	require.False(t, i.IsBroken("orders"))
	_, err := w.dial(i, 1)
	require.ErrorIs(t, err, ErrServerUnreached, "others have said so just now")
	_, err = w.dial(i, 2)
	require.NoError(t, err)
	require.False(t, i.InDoubt("orders"), "a server was reached")
}

// TestServersOfOneZoneDown checks that the loss of a whole zone is no sign of a broken path.
func TestServersOfOneZoneDown(t *testing.T) {
	w := newWorld(t, 3)
	i := w.start("zone-0", w.start("zone-1"))
	w.servers[1].Zone = w.servers[0].Zone
	for _, l := range w.listeners[:2] {
		_ = l.Close()
	}
	for n := range 2 {
		_, err := w.dial(i, n)
		require.Error(t, err)
	}
	require.False(t, i.InDoubt("orders"))
}

// TestNoSecondHop checks that an instance whose own path is broken relays nothing and says so at
// once, and that it is not taken as a witness against a server.
func TestNoSecondHop(t *testing.T) {
	w := newWorld(t, 3)
	sound := w.start("zone-2")
	cut := w.start("zone-1", sound)
	i := w.start("zone-0", cut)
	w.breakPath(cut)
	i.cut.Store(true)
	before := w.acceptedSoFar()
	began := time.Now()
	for n := range 3 {
		_, err := w.dial(i, n)
		require.Error(t, err)
		require.NotErrorIs(t, err, ErrServerUnreached)
	}
	require.Less(t, time.Since(began), time.Second)
	require.Equal(t, before, w.acceptedSoFar(), "no connection may reach a server")
	require.Equal(t, ReachUnknown, i.Check(t.Context(), w.servers[0].Address, dialTimeout))
}

// TestUnawareHelperIsNoWitness guards against instances that don't know yet that their paths are
// lost, and by whose word a server counts as ended although another instance reaches it.
func TestUnawareHelperIsNoWitness(t *testing.T) {
	w := newWorld(t, 3)
	helpers := []*instance{w.start("zone-1"), w.start("zone-2"), w.start("zone-2")}
	i := w.start("zone-0", helpers...)
	for _, h := range append(helpers[:2:2], i) {
		h.cut.Store(true)
	}
	require.Equal(t, ReachAccepts, i.Check(t.Context(), w.servers[0].Address, dialTimeout))
	_, err := w.dial(i, 0)
	require.Error(t, err)
	c, err := w.dial(i, 1)
	require.NoError(t, err)
	requireEcho(t, c)
}

// TestNoOthersKnown guards against servers of several zones that count as ended because an
// instance that has just started knows no other one that could tell.
func TestNoOthersKnown(t *testing.T) {
	w := newWorld(t, 3)
	i := w.start("zone-0")
	i.cut.Store(true)
	for n := range w.servers {
		_, err := w.dial(i, n)
		require.Error(t, err)
	}
	require.Equal(t, ReachUnknown, i.Check(t.Context(), w.servers[0].Address, dialTimeout))
}

// TestAllServersDown checks that servers count as ended if no instance reaches any: a request may
// have crashed them one after the other.
func TestAllServersDown(t *testing.T) {
	w := newWorld(t, 3)
	i := w.start("zone-0", w.start("zone-1"), w.start("zone-2"))
	for _, l := range w.listeners {
		_ = l.Close()
	}
	for n := range w.servers {
		_, err := w.dial(i, n)
		require.Error(t, err)
		require.Equal(t, ReachUnreached, i.Check(t.Context(), w.servers[n].Address, dialTimeout))
	}
	require.False(t, i.IsBroken("orders"))
}

// TestBarredHelper checks that an instance that must not send to a server doesn't relay to it,
// and that another one is asked.
func TestBarredHelper(t *testing.T) {
	w := newWorld(t, 3)
	barred, other := w.start("zone-0"), w.start("zone-1")
	barred.barred.Store(true)
	i := w.start("zone-0", barred, other)
	requireEcho(t, w.breakPath(i))
}

// TestRelayedEnd checks that a connection that the server ends, or resets, ends the same way
// for the other instance: a reset must not look like the end of a response.
func TestRelayedEnd(t *testing.T) {
	for command, isClean := range map[string]bool{"end": true, "reset": false} {
		t.Run(command, func(t *testing.T) {
			w := newWorld(t, 3)
			i := w.start("zone-0", w.start("zone-1"))
			c := w.breakPath(i)
			_, err := io.WriteString(c, command+"\n")
			require.NoError(t, err)
			_, err = c.Read(make([]byte, 1))
			require.Equal(t, isClean, errors.Is(err, io.EOF), err)
		})
	}
}

// TestRelayedCancel checks that the server's connection ends when the other instance closes
// its own.
func TestRelayedCancel(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	w := newWorld(t, 2)
	w.servers = append(w.servers, Server{ID: "s2", Service: "orders", Zone: "zone-2", Address: l.Addr().String()})
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = io.Copy(io.Discard, c)
			close(ended)
		}
	}()
	i := w.start("zone-0", w.start("zone-1"))
	w.breakPath(i)
	c, err := w.dial(i, 2)
	require.NoError(t, err)
	_, err = io.WriteString(c, "hello\n")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		require.Fail(t, "the server's connection is still open")
	}
}

// TestRelayStops guards against requests that are cut because the instance that relays them
// stops.
func TestRelayStops(t *testing.T) {
	w := newWorld(t, 3)
	helper := w.start("zone-1")
	i := w.start("zone-0", helper)
	c := w.breakPath(i)
	helper.leaving.Store(true)
	_, status, err := askRelay(t.Context(), helper.relay.Address, "s0")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	waited := make(chan struct{})
	go func() {
		helper.relay.Wait(t.Context())
		close(waited)
	}()
	requireEcho(t, c)
	select {
	case <-waited:
		require.Fail(t, "a connection is still relayed")
	default:
	}
	require.NoError(t, c.Close())
	select {
	case <-waited:
	case <-time.After(waitTimeout):
		require.Fail(t, "no connection is relayed any more")
	}
}

// TestRelayRefusals checks what a relay doesn't connect: servers that it doesn't list,
// requests that are no questions, and more connections than its limit.
func TestRelayRefusals(t *testing.T) {
	w := newWorld(t, 2)
	i := w.start("zone-0")
	for server, want := range map[string]int{"s0": http.StatusOK, "unknown": http.StatusNotFound} {
		_, status, err := askRelay(t.Context(), i.relay.Address, server)
		require.NoError(t, err)
		require.Equal(t, want, status)
	}
	response, err := http.Get("http://" + i.relay.Address + relayPath + "s0")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	i.relay.relayed.Store(maxRelayedConns)
	_, status, err := askRelay(t.Context(), i.relay.Address, "s0")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
}
