package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a server began to work on.
type arrival struct {
	id, path, server string
	at               time.Time
}

// behaviour is how a server works.
type behaviour struct {
	work, backAfter time.Duration // of a request; from a crash until it is back
	poison          string        // path of the request that crashes it; empty for none
	arrived         func(a arrival)
}

// server is a plain server. Its entry in the store is removed after three heartbeat intervals
// of silence.
type server struct {
	behaviour
	world             *world
	id, service, zone string
	address           string
	born              int64
	http              *http.Server
	crashed           chan struct{}
	once              sync.Once
	running           atomic.Int32 // requests
}

const slots = 6

// startServer starts a server with a new id at an address and writes its entry.
func (w *world) startServer(service, zone, address string, like behaviour) (*server, error) {
	var listener net.Listener
	var err error
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		if time.Since(began) > time.Second {
			return nil, err
		}
	}
	w.mu.Lock()
	w.number++
	s := &server{
		world: w, id: fmt.Sprintf("i-%08x", 0x7f3a0000+w.number), service: service, zone: zone, address: address, born: time.Now().UnixMilli(), crashed: make(chan struct{}),
		behaviour: like,
	}
	w.servers[s.id] = s
	w.mu.Unlock()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }()
	s.register()
	w.log("server %s of %s in %s started at %s", s.id, service, zone, address)
	return s, nil
}

// register writes the server's entry.
func (s *server) register() {
	s.world.store.Put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0,
		"sequence": 1, "born": s.born,
	})
}

// stop ends the server for good, without draining.
func (s *server) stop(cause string) {
	s.once.Do(func() {
		s.world.log("server %s in %s stops: %s", s.id, s.zone, cause)
		close(s.crashed)
		go func() { _ = s.http.Close() }()
		s.world.store.Delete("servers", s.id)
	})
}

// leave removes the entry without a word of draining, goes on for a time and ends.
func (s *server) leave(after time.Duration) {
	s.world.store.Delete("servers", s.id)
	s.world.log("server %s in %s leaves: its entry is removed", s.id, s.zone)
	time.AfterFunc(after, func() { s.stop("left") })
}

// crash ends the server as a crash does: all its channels close, and nothing is told. It is back
// after some seconds, with a new id.
func (s *server) crash(cause string) {
	s.once.Do(func() {
		s.world.log("server %s in %s crashes: %s", s.id, s.zone, cause)
		close(s.crashed)
		go func() { _ = s.http.Close() }()
		time.AfterFunc(3*heartbeat, func() { s.world.store.Delete("servers", s.id) })
		time.AfterFunc(s.backAfter, func() {
			s.world.mu.Lock()
			stopped := s.world.stopped
			s.world.mu.Unlock()
			if stopped {
				return
			}
			if _, err := s.world.startServer(s.service, s.zone, s.address, s.behaviour); err != nil {
				s.world.log("server at %s can't start again: %v", s.address, err)
			}
		})
	})
}

// ServeHTTP answers one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Ragwortwall-Request-Id")
	w.Header().Set("Ragwortwall-Request-Id", id)
	w.Header().Set("Ragwortwall-Instance-Id", s.id)
	w.Header().Set("Ragwortwall-Server-Load", fmt.Sprintf("%d,0,%d", s.running.Add(1), slots))
	defer s.running.Add(-1)
	if target := r.Header.Get("Ragwortwall-Target-Instance"); target != "" && target != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if id == "" {
		return
	}
	s.world.log("request %s %s begins at server %s", id, r.URL.Path, s.id)
	if s.arrived != nil {
		s.arrived(arrival{id: id, path: r.URL.Path, server: s.id, at: time.Now()})
	}
	if s.poison != "" && r.URL.Path == s.poison {
		time.Sleep(10 * time.Millisecond)
		s.crash("request " + id)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.work):
	case <-s.crashed:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Ragwortwall-Upstream-Signature", "sign."+id)
	_, _ = fmt.Fprintf(w, "done %s for %s", id, r.Header.Get("Ragwortwall-Tenant"))
}
