package main

import (
	"io"
	"net/http"
	"sync"
	"time"

	"ragwortwall/platform/standin"
)

// orderWork is how long an order server works on a request.
const orderWork = 30 * time.Millisecond

// orders are the order servers.
type orders struct {
	world *world

	mu       sync.Mutex
	servers  []*orderServer
	arrivals []orderArrival
}

type orderArrival struct {
	at                  time.Time
	server, version, id string
	failed              bool
	bad                 bool // the answer is worse than that of a good version
}

// orderBehaviour is how a server answers a request.
type orderBehaviour struct {
	work        time.Duration
	failed, bad bool
}

type orderServer struct {
	orders            *orders
	id, address, zone string
	version           string
	failsEvery        int                                  // every one of so many answers is a failure; 0 for none
	behave            func(r *http.Request) orderBehaviour // of each answer; nil for orderWork and failsEvery
	born              int64
	http              *http.Server

	mu      sync.Mutex
	handled int
}

// start starts a server and lists it.
func (o *orders) start(id, zone string) (*orderServer, error) {
	return o.startVersion(id, zone, "v1", 0)
}

// startVersion is start for a version.
func (o *orders) startVersion(id, zone, version string, failsEvery int) (*orderServer, error) {
	return o.startServer(&orderServer{orders: o, id: id, zone: zone, version: version, failsEvery: failsEvery})
}

// startBehaving is start for a version, with what it does.
func (o *orders) startBehaving(id, zone, version string, behave func(*http.Request) orderBehaviour) (*orderServer, error) {
	return o.startServer(&orderServer{orders: o, id: id, zone: zone, version: version, behave: behave})
}

func (o *orders) startServer(s *orderServer) (*orderServer, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	s.address, s.born = listener.Addr().String(), time.Now().UnixMilli()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }()
	o.mu.Lock()
	o.servers = append(o.servers, s)
	o.mu.Unlock()
	s.register("ready")
	return s, nil
}

// register writes the server's entry, and returns when the store has accepted it.
func (s *orderServer) register(state string) time.Time {
	s.orders.world.store.Put("servers", s.id, map[string]any{
		"service": standin.OrderService, "address": s.address, "zone": s.zone, "version": s.version, "slots": 6,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": s.born,
	})
	s.orders.world.log("the store has accepted that server %s is %s", s.id, state)
	return time.Now()
}

func (o *orders) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.servers {
		_ = s.http.Close()
	}
}

// ServeHTTP runs a request.
func (s *orderServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at, id := time.Now(), r.Header.Get("Ragwortwall-Request-Id")
	w.Header().Set("Ragwortwall-Request-Id", id)
	if r.Header.Get("Ragwortwall-Target-Instance") != s.id {
		w.Header().Set("Ragwortwall-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.handled++
	failed := s.failsEvery > 0 && s.handled%s.failsEvery == 0
	s.mu.Unlock()
	b := orderBehaviour{work: orderWork, failed: failed}
	if s.behave != nil {
		b = s.behave(r)
		failed = b.failed
	}
	s.orders.mu.Lock()
	s.orders.arrivals = append(s.orders.arrivals, orderArrival{at: at, server: s.id, version: s.version, id: id, failed: b.failed, bad: b.bad})
	s.orders.mu.Unlock()
	time.Sleep(b.work)
	w.Header().Set("Ragwortwall-Upstream-Signature", "sign."+id)
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, "done "+id)
}
