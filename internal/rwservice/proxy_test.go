package rwservice_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwonce"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwretry"
	"ragwortwall/internal/rwservice"
	"ragwortwall/internal/rwslot"
	"ragwortwall/internal/rwtree"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// slots grants every request for a slot.
type slots struct{ held int }

func (s *slots) Acquire(context.Context, string, rwslot.Request) error {
	s.held++
	return nil
}
func (s *slots) Release(string, string, rwslot.Outcome, time.Duration) {}
func (s *slots) Load(string) (rwslot.Load, bool)                       { return rwslot.Load{}, false }

// ledger records the states written for one call.
type ledger struct {
	mu     sync.Mutex
	states []rwonce.State
}

func (l *ledger) Begin(context.Context, rwonce.Call, string) (bool, *rwonce.Outcome, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states = append(l.states, rwonce.StateSent)
	return true, nil, nil
}

func (l *ledger) End(_ context.Context, _ rwonce.Call, _ string, state rwonce.State, _ rwonce.Outcome) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states = append(l.states, state)
	return nil
}

// service records the calls that reach the backend servers of a route.
type service struct {
	mu      sync.Mutex
	calls   []string // server names, in order of arrival
	headers http.Header
}

// serve sends a call through a proxy to a route with one server per handler. A nil
// handler stands for a server that refuses connections.
func serve(t *testing.T, method string, handlers ...http.HandlerFunc) (*httptest.ResponseRecorder, *service, *ledger) {
	t.Helper()
	return serveTimes(t, 1, method, handlers...)
}

// serveTimes is serve for a call that is repeated under new idempotency keys. It returns
// the last answer.
func serveTimes(t *testing.T, times int, method string, handlers ...http.HandlerFunc) (*httptest.ResponseRecorder, *service, *ledger) {
	t.Helper()
	return serveTargets(t, slices.Repeat([]string{"/orders/new?x=1"}, times), method, handlers...)
}

// serveTargets is serveTimes for calls with the given targets.
func serveTargets(t *testing.T, targets []string, method string, handlers ...http.HandlerFunc) (*httptest.ResponseRecorder, *service, *ledger) {
	t.Helper()
	return serveBody(t, "order", targets, method, handlers...)
}

// serveBody is serveTargets for calls with the given body.
func serveBody(t *testing.T, body string, targets []string, method string, handlers ...http.HandlerFunc) (*httptest.ResponseRecorder, *service, *ledger) {
	t.Helper()
	s, l := &service{}, &ledger{}
	team := rwtree.Team{Servers: map[string]rwtree.Server{}, Routes: map[string]rwtree.Route{}}
	route := rwtree.Route{Path: "/orders/"}
	for n, handler := range handlers {
		name := string(rune('a' + n))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		team.Servers[name] = rwtree.Server{Address: listener.Addr().String(), Zone: "z", Capacity: 1}
		route.Servers = append(route.Servers, name)
		if handler == nil {
			require.NoError(t, listener.Close())
			continue
		}
		server := &http.Server{ReadHeaderTimeout: time.Minute}
		server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				v := recover()
				if err, ok := v.(error); ok && errors.Is(err, errCrash) {
					_ = server.Close()
				} else if v != nil {
					panic(v)
				}
			}()
			s.mu.Lock()
			s.calls, s.headers = append(s.calls, name), r.Header
			s.mu.Unlock()
			handler(w, r)
		})
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	team.Routes["orders"] = route
	tree, err := rwtree.Merge(map[string]rwobject.Object{
		rwtree.RootName: rwobject.New(rwobject.KindSettings, rwtree.RootName, rwtree.Root{Signing: []string{strings.Repeat("00", 16)}}),
		"team":          rwobject.New(rwobject.KindSettings, "team", team),
	})
	require.NoError(t, err)
	proxy := &rwservice.Proxy{
		Tree: func() rwtree.Tree { return tree }, Slots: &slots{}, Ledger: l, Budget: &rwretry.Budget{}, Log: logr.Discard(),
		Suspicions: &rwpoison.Registry{}, NotifySuspicion: func(rwpoison.Suspicion) {},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			c, err := d.DialContext(ctx, "tcp", address)
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetWriteBuffer(4 << 10) // long bodies don't fit
			}
			return c, err
		},
	}
	named, ok := tree.Route("team/orders")
	require.True(t, ok)
	var w *httptest.ResponseRecorder
	for n, target := range targets {
		request := httptest.NewRequest(method, target, strings.NewReader(body))
		request.Header.Set("Idempotency-Key", fmt.Sprint("k", n))
		request.Header.Set("Authorization", "Bearer secret")
		request.Header.Set("Connection", "close")
		w = httptest.NewRecorder()
		proxy.ServeService(w, request, rwtree.Caller{Team: "team", Name: "coop"}, named)
	}
	return w, s, l
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.Method+" "+r.RequestURI+" "+string(body))
}

func failWith500(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "sorry")
}

// errCrash is the panic of a handler whose server ends with it.
var errCrash = errors.New("crash")

func crash(http.ResponseWriter, *http.Request) { panic(errCrash) }

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestOnce checks calls that must run at most once: a call that may have been sent is
// never sent to a second server, and its record gets the right state.
func TestOnce(t *testing.T) {
	t.Run("answered", func(t *testing.T) {
		w, s, l := serve(t, http.MethodPost, echo, echo)
		require.Equal(t, "POST /orders/new?x=1 order", w.Body.String())
		require.Len(t, s.calls, 1)
		require.Equal(t, []rwonce.State{rwonce.StateSent, rwonce.StateDone}, l.states)
		require.Equal(t, "coop", s.headers.Get("Organisation"))
		require.Empty(t, s.headers.Get("Authorization"))
	})
	t.Run("connection lost after the call was sent", func(t *testing.T) {
		w, s, l := serve(t, http.MethodPost, abortConnection, echo)
		require.Equal(t, http.StatusBadGateway, w.Code)
		require.Len(t, s.calls, 1)
		require.Equal(t, []rwonce.State{rwonce.StateSent}, l.states, "the outcome must stay unknown")
	})
	t.Run("first server unreachable, sent to the second", func(t *testing.T) {
		w, s, l := serve(t, http.MethodPost, nil, echo)
		require.Equal(t, http.StatusOK, w.Code)
		require.Len(t, s.calls, 1)
		require.Equal(t, []rwonce.State{rwonce.StateSent, rwonce.StateDone}, l.states)
	})
	t.Run("all servers unreachable", func(t *testing.T) {
		w, _, l := serve(t, http.MethodPost, nil, nil)
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.NotEmpty(t, w.Header().Get("Retry-After"))
		require.Equal(t, []rwonce.State{rwonce.StateSent, rwonce.StateNotRun}, l.states)
	})
	t.Run("error status is the answer", func(t *testing.T) {
		w, s, _ := serve(t, http.MethodPost, failWith500, echo)
		require.Equal(t, "sorry", w.Body.String())
		require.Len(t, s.calls, 1)
	})
}

// TestIdempotent checks that idempotent calls are retried on another server and write
// no record.
func TestIdempotent(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{"connection lost": abortConnection, "error status": failWith500, "server unreachable": nil} {
		t.Run(name, func(t *testing.T) {
			w, _, l := serve(t, http.MethodGet, first, echo)
			require.Equal(t, http.StatusOK, w.Code)
			require.Empty(t, l.states)
		})
	}
	t.Run("error status from all servers", func(t *testing.T) {
		w, s, _ := serve(t, http.MethodGet, failWith500, failWith500)
		require.Equal(t, http.StatusInternalServerError, w.Code)
		require.Equal(t, "sorry", w.Body.String())
		require.Len(t, s.calls, 2)
	})
}

// TestLossesBounded guards against calls that crash each server that runs them and are
// sent on without end.
func TestLossesBounded(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var crashing []http.HandlerFunc
			for range 12 {
				crashing = append(crashing, crash)
			}
			w, s, _ := serveTimes(t, 12, method, crashing...)
			require.Equal(t, http.StatusUnprocessableEntity, w.Code)
			require.Contains(t, w.Body.String(), "quarantined")
			require.NotEmpty(t, w.Header().Get("Retry-After"))
			require.Len(t, s.calls, rwpoison.MaxLosses)
		})
	}
	t.Run("failures in between", func(t *testing.T) {
		var arrived atomic.Int32
		crashOrFail := func(w http.ResponseWriter, r *http.Request) {
			if arrived.Add(1)%2 == 0 {
				failWith500(w, r)
				return
			}
			crash(w, r)
		}
		w, s, _ := serveTimes(t, 20, http.MethodGet, slices.Repeat([]http.HandlerFunc{crashOrFail}, 20)...)
		require.Equal(t, http.StatusUnprocessableEntity, w.Code)
		require.Len(t, s.calls, 2*rwpoison.MaxLosses-1)
	})
	t.Run("servers that survive", func(t *testing.T) {
		w, s, _ := serveTimes(t, 12, http.MethodGet, abortConnection, echo)
		require.Equal(t, http.StatusOK, w.Code)
		require.Len(t, s.calls, 24)
	})
}

// TestCrashingCallHeld guards against a call that crashes each server that runs it and is not
// recognised, because its query is new each time.
func TestCrashingCallHeld(t *testing.T) {
	const calls = 12
	var targets []string
	for n := range calls {
		targets = append(targets, fmt.Sprint("/orders/new?at=", n))
	}
	_, s, _ := serveTargets(t, targets, http.MethodGet, slices.Repeat([]http.HandlerFunc{crash}, calls)...)
	require.LessOrEqual(t, len(s.calls), rwpoison.MaxLosses)
}

// TestEndlessBody guards against answers that are cut at the limit and look whole.
func TestEndlessBody(t *testing.T) {
	endless := func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}
	w, _, _ := serve(t, http.MethodGet, endless, echo)
	require.Equal(t, "GET /orders/new?x=1 order", w.Body.String())
	w, _, _ = serve(t, http.MethodPost, endless, echo)
	require.Equal(t, http.StatusBadGateway, w.Code)
}

// unframed returns a handler whose response has neither a length nor chunks. It ends with
// its connection, which is reset if reset is set.
func unframed(reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n")
		_, _ = io.WriteString(conn, strings.Repeat("row ", 5000))
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// TestUnframed guards against responses without a length that are taken for whole though
// their connection was reset, and against whole ones that are taken for broken off.
func TestUnframed(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method+" whole", func(t *testing.T) {
			w, s, _ := serve(t, method, unframed(false), echo)
			require.Equal(t, http.StatusOK, w.Code)
			require.Equal(t, strings.Repeat("row ", 5000), w.Body.String())
			require.Len(t, s.calls, 1)
		})
	}
	t.Run("GET reset", func(t *testing.T) {
		w, s, _ := serve(t, http.MethodGet, unframed(true), echo)
		require.Equal(t, "GET /orders/new?x=1 order", w.Body.String())
		require.Len(t, s.calls, 2)
	})
	t.Run("POST reset", func(t *testing.T) {
		w, s, l := serve(t, http.MethodPost, unframed(true), echo)
		require.Equal(t, http.StatusBadGateway, w.Code)
		require.Len(t, s.calls, 1)
		require.Equal(t, []rwonce.State{rwonce.StateSent}, l.states, "the outcome must stay unknown")
	})
}

// TestEarlyResponse guards against the part of a response that is taken for the whole: the service
// sent it before it had read the body, and reset the connection.
func TestEarlyResponse(t *testing.T) {
	early := func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart")
		time.Sleep(10 * time.Millisecond)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	const plays = 5 // which of the write and the read gets the error of the reset differs
	for range plays {
		w, s, l := serveBody(t, strings.Repeat("x", 2<<20), []string{"/orders/new?x=1"}, http.MethodPost, early, echo)
		require.Equal(t, http.StatusBadGateway, w.Code)
		require.Len(t, s.calls, 1)
		require.Equal(t, []rwonce.State{rwonce.StateSent}, l.states, "the outcome must stay unknown")
	}
}
