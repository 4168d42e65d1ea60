package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents  = 160                    // events of each stream
	eventInterval = 100 * time.Millisecond // between two events
	prefillTime   = 300 * time.Millisecond // to read a prompt
)

// models are the model servers. They make up the text of each run anew, as a model does that
// draws its words.
type models struct {
	world   *world
	mu      sync.Mutex
	servers map[string]*model // by address
	origins map[string]string // the run whose text a run goes on with, by request id
	sent    []sent            // the requests that servers got
	crashes []time.Time       // of servers under a request
}

// sent is a request that a server got.
type sent struct {
	id, from     string // request id, and the run whose memory it went on from; empty for none
	server, copy string // zones of the server and of the one that keeps the copy
	refused      bool   // the server didn't run it
	at           time.Time
}

// model is a process of a model server.
type model struct {
	all     *models
	id      string
	zone    string
	address string
	born    int64
	http    *http.Server
	copies  map[string]int // events in the copies that it keeps for others, by run
}

// startModels starts a number of model servers in each zone.
func startModels(w *world, zones []string, count int) (*models, error) {
	m := &models{world: w, servers: map[string]*model{}, origins: map[string]string{}}
	for _, zone := range zones {
		for n := range count {
			listener, err := w.listen()
			if err != nil {
				return nil, err
			}
			m.start(fmt.Sprintf("i-%s-%d", zone, n+1), zone, listener).register()
		}
	}
	return m, nil
}

// start starts a process of a server.
func (m *models) start(id, zone string, listener net.Listener) *model {
	s := &model{all: m, id: id, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), copies: map[string]int{}}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	m.mu.Lock()
	m.servers[s.address] = s
	m.mu.Unlock()
	go func() { _ = s.http.Serve(listener) }()
	return s
}

// register writes the server's entry.
func (s *model) register() {
	s.all.world.store.Put("servers", s.id, map[string]any{
		"service": modelService, "address": s.address, "zone": s.zone, "version": "v1", "slots": 12, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": s.born,
	})
}

const (
	downTime     = 1200 * time.Millisecond // for which a server that crashed is down
	registerTime = 800 * time.Millisecond  // until the store has the entry of a server that has started
	silenceTime  = 3600 * time.Millisecond // three heartbeats: until the store removes the entry of one that is silent
)

// crash crashes the servers of a zone. They start again at their addresses, under new ids. It
// returns when they serve.
func (m *models) crash(zone string) error {
	m.mu.Lock()
	var down []*model
	for address, s := range m.servers {
		if s.zone == zone {
			down = append(down, s)
			delete(m.servers, address)
		}
	}
	m.mu.Unlock()
	for _, s := range down {
		_ = s.http.Close()
		time.AfterFunc(silenceTime, func() { m.world.store.Delete("servers", s.id) })
	}
	m.world.record("the %d servers of %s crash", len(down), zone)
	time.Sleep(downTime)
	for _, s := range down {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return err
		}
		time.AfterFunc(registerTime, m.start(s.id+"-again", zone, listener).register)
	}
	m.world.record("the %d servers of %s are back, under new ids", len(down), zone)
	return nil
}

// crashing is what the body of a request has that crashes each server that begins to run it.
const crashing = "crash"

// backTime is how long such a server is down.
const backTime = 2 * time.Second

// crashUnder crashes the server under a request. It starts again at its address, under a new id.
func (s *model) crashUnder(request string) {
	m := s.all
	m.mu.Lock()
	down := m.servers[s.address] != s
	if !down {
		delete(m.servers, s.address)
		m.crashes = append(m.crashes, time.Now())
	}
	m.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	m.world.record("request %s crashes server %s", request, s.id)
	go func() {
		_ = s.http.Close()
		time.Sleep(backTime)
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			m.world.record("server %s can't start again: %v", s.id, err)
			return
		}
		again := m.start(fmt.Sprintf("%s-%d", s.id[:len("i-amman-a-1")], time.Now().UnixMilli()), s.zone, listener)
		time.AfterFunc(registerTime, func() {
			again.register()
			m.world.store.Delete("servers", s.id)
		})
	}()
	panic(http.ErrAbortHandler)
}

// zoneOf returns the zone of the server at an address.
func (m *models) zoneOf(address string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.servers[address]; ok {
		return s.zone
	}
	return ""
}

// ServeHTTP handles a request.
func (s *model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/ragwortwall/report":
		reply(w, map[string]any{"born": s.born, "stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 1, "queue_depth": 0, "active_requests": 0, "kv_used": 0, "kv_total": 55000, "handles": 0})
	case r.URL.Path == "/ragwortwall/kv-list":
		reply(w, map[string]any{"born": s.born, "epoch": 1, "next": 1, "held": []any{}})
	case strings.HasPrefix(r.URL.Path, "/ragwortwall/"):
		w.WriteHeader(http.StatusNotFound)
	case r.URL.Path == "/healthz":
		w.Header().Set("Ragwortwall-Instance-Id", s.id)
	default:
		s.stream(w, r)
	}
}

// stream answers with the events after Last-Event-Id, from the memory that Kv-From names.
func (s *model) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Ragwortwall-Request-Id")
	w.Header().Set("Ragwortwall-Request-Id", id)
	var body strings.Builder
	if _, err := io.Copy(&body, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if target := r.Header.Get("Ragwortwall-Target-Instance"); target != "" && target != s.id {
		s.all.world.record("server %s at %s refuses request %s, which is for %s", s.id, s.address, id, target)
		s.all.begin(sent{id: id, server: s.zone, refused: true}, "")
		w.Header().Set("Ragwortwall-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	origin, wait := id, prefillTime
	from := r.Header.Get("Kv-From")
	if from != "" {
		address, run, _ := strings.Cut(from, "/")
		text, known := s.all.takeCopy(address, run)
		if !known || address != s.address {
			s.all.world.record("server %s refuses request %s: no copy %s", s.id, id, from)
			w.Header().Set("Ragwortwall-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		origin, from, wait = text, run, eventInterval
	}
	backup := r.Header.Get("Ragwortwall-Kv-Backup")
	s.all.begin(sent{id: id, from: from, server: s.zone, copy: s.all.zoneOf(backup)}, origin)
	if strings.Contains(body.String(), crashing) {
		pause(r, wait)
		s.crashUnder(id)
	}
	s.all.world.record("server %s runs request %s after event %d, Kv-From run %q, Kv-Backup %q; the text is that of run %s", s.id, id, last, from, backup, origin)
	pause(r, wait)
	w.Header().Set("Ragwortwall-Upstream-Signature", "3e1b."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := last + 1; event <= streamEvents; event++ {
		fmt.Fprintf(w, "id: %d\ndata: word %d of run %s\n\n", event, event, origin)
		_ = http.NewResponseController(w).Flush()
		s.all.keepCopy(backup, id, event)
		pause(r, eventInterval)
	}
}

// pause waits, and ends the request if its channel closes.
func pause(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// awaitCrashes waits until requests have crashed a number of servers, and returns when the last of
// these crashed.
func (m *models) awaitCrashes(count int) (time.Time, error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		m.mu.Lock()
		crashes := m.crashes
		m.mu.Unlock()
		if len(crashes) >= count {
			return crashes[count-1], nil
		}
	}
	return time.Time{}, fmt.Errorf("fewer than %d servers crashed", count)
}

// begin records that a request runs, with the text of a run.
func (m *models) begin(request sent, origin string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	request.at = time.Now()
	m.sent = append(m.sent, request)
	if !request.refused {
		m.origins[request.id] = origin
	}
}

// keepCopy records that the server at an address has the memory of a run up to an event.
func (m *models) keepCopy(address, run string, event int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.servers[address]; ok {
		s.copies[run] = event
	}
}

// takeCopy uses up the copy of a run at the server at an address, and returns the run whose text
// it holds.
func (m *models) takeCopy(address, run string) (origin string, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.servers[address]
	if !ok || s.copies[run] == 0 {
		return "", false
	}
	delete(s.copies, run)
	return m.origins[run], true
}

// got returns the requests that servers got.
func (m *models) got() []sent {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]sent(nil), m.sent...)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
