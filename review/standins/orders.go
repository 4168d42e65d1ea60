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
}

type orderServer struct {
	orders            *orders
	id, address, zone string
	version           string
	failsEvery        int // every one of so many answers is a failure; 0 for none
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
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	s := &orderServer{orders: o, id: id, zone: zone, version: version, failsEvery: failsEvery, address: listener.Addr().String(), born: time.Now().UnixMilli()}
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
	s.orders.mu.Lock()
	s.orders.arrivals = append(s.orders.arrivals, orderArrival{at, s.id, s.version, id, failed})
	s.orders.mu.Unlock()
	time.Sleep(orderWork)
	w.Header().Set("Ragwortwall-Upstream-Signature", "sign."+id)
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, "done "+id)
}
