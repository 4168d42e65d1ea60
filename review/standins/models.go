package main

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortwall/platform/standin"
)

// models are the model servers. They do what PROTOCOL.md tells of copies of a run's memory that
// a request names for itself (Ragwortwall-Kv-Backup, Kv-From).
type models struct {
	world         *world
	eventInterval time.Duration
	events        int           // of a stream
	prefill       time.Duration // time to read a prompt; 150 ms if zero

	mu      sync.Mutex
	servers map[string]*modelServer // by address
	foreign int                     // requests that went on from the memory of another one
	begun   map[string]int          // runs by request id
	runs    []modelRun
}

// modelRun is a run of a request at a server.
type modelRun struct {
	id, version string
	at, ended   time.Time // ended is zero until the whole answer was written
	bad         bool      // the answer takes slowerOnPath times as long
}

// generation is a generation whose memory a server may hold.
type generation struct {
	id   string // of the request
	body string
}

// text returns an event of a generation. It depends on what was generated before, which is the
// memory of the run.
func (g generation) text(event int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", g.body, event)
	return strconv.FormatUint(h.Sum64(), 36)
}

type modelServer struct {
	models            *models
	id, address, zone string
	version           string
	interval          time.Duration // between its events; that of models if zero
	slowPath          string        // prefix of the paths whose answers take slowerBy times as long; empty for none
	born              int64
	http              *http.Server
	mu                sync.Mutex
	copies            map[string]generation // by request id of the run
}

// handleTTL is how long the copy of a run that failed is kept.
const handleTTL = 4 * time.Second

// start starts a server and lists it.
func (m *models) start(n int, zone string) error {
	return m.startAt(n, zone, "127.0.0.1:0")
}

// startAt is start at an address.
func (m *models) startAt(n int, zone, address string) error {
	_, err := m.startVersion(n, zone, address, "v1", 0)
	return err
}

// startVersion is startAt for a version of the server software, with the time between its events.
func (m *models) startVersion(n int, zone, address, version string, interval time.Duration) (*modelServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &modelServer{models: m, zone: zone, version: version, interval: interval, id: fmt.Sprintf("i-%08x", 0x51a0+n), address: listener.Addr().String(), born: time.Now().UnixMilli(), copies: map[string]generation{}}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	m.mu.Lock()
	m.servers[s.address] = s
	m.mu.Unlock()
	go func(l net.Listener) { _ = s.http.Serve(l) }(listener)
	s.register("ready")
	return s, nil
}

// register writes the server's entry.
func (s *modelServer) register(state string) {
	s.models.world.store.Put("servers", s.id, map[string]any{
		"service": standin.ModelService, "address": s.address, "zone": s.zone, "version": s.version, "slots": 12,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": s.born,
	})
}

// crashAll crashes all servers. They start again after a time, as new processes with new ids.
func (m *models) crashAll(down time.Duration) error {
	m.mu.Lock()
	crashed := slices.Collect(maps.Values(m.servers))
	m.mu.Unlock()
	for _, s := range crashed {
		_ = s.http.Close()
	}
	time.Sleep(down)
	for n, s := range crashed {
		m.world.store.Delete("servers", s.id)
		if err := m.startAt(1000+n, s.zone, s.address); err != nil {
			return err
		}
	}
	return nil
}

func (m *models) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.servers {
		_ = s.http.Close()
	}
}

// at returns the server at an address, or nil.
func (m *models) at(address string) *modelServer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.servers[address]
}

// ServeHTTP handles a request of an instance.
func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/ragwortwall/report":
		s.answerJSON(w, fmt.Sprintf(`{"stage":"unified","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"sequence":1,"born":%d}`, standin.ModelName, s.born))
	case r.URL.Path == "/ragwortwall/kv-list":
		s.answerJSON(w, fmt.Sprintf(`{"epoch":"1","next":1,"held":[],"born":%d}`, s.born))
	case strings.HasPrefix(r.URL.Path, "/ragwortwall/"):
		w.WriteHeader(http.StatusNotFound)
	case r.Header.Get("Ragwortwall-Target-Instance") != s.id:
		w.Header().Set("Ragwortwall-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		s.stream(w, r)
	}
}

func (s *modelServer) answerJSON(w http.ResponseWriter, body string) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, body)
}

// take returns the copy of a run that this server holds, which can be used once.
func (s *modelServer) take(run string) (generation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.copies[run]
	delete(s.copies, run)
	return g, ok
}

// recordRun records that a server begins to run a request, with the memory from which it goes on.
func (m *models) recordRun(s *modelServer, own, memory generation, last int, r *http.Request) (run int) {
	m.world.log("server %s runs %s (%q) after event %d, Kv-From %q, backup at %q", s.id, own.id, own.body, last, r.Header.Get("Kv-From"), r.Header.Get("Ragwortwall-Kv-Backup"))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begun[own.id]++
	m.runs = append(m.runs, modelRun{id: own.id, version: s.version, at: time.Now()})
	run = len(m.runs) - 1
	if memory.body == own.body {
		return run
	}
	m.world.log("BROKEN: %s (%q) goes on from the memory of another request, %s (%q)", own.id, own.body, memory.id, memory.body)
	m.foreign++
	return run
}

// markBad records that the answer of a run takes longer.
func (m *models) markBad(run int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[run].bad = true
}

// endRun records that the whole answer of a run was written.
func (m *models) endRun(run int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[run].ended = time.Now()
}

// hasRun reports whether a server has begun to run a request.
func (m *models) hasRun(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.begun[id] > 0
}

// foreignMemories returns how many requests went on from the memory of another one.
func (m *models) foreignMemories() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.foreign
}

// stream runs a request: from its prompt, or from the memory that it names.
func (s *modelServer) stream(w http.ResponseWriter, r *http.Request) {
	log := s.models.world.log
	id := r.Header.Get("Ragwortwall-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" {
		panic(http.ErrAbortHandler)
	}
	own := generation{id: id, body: string(body)}
	memory := own
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Ragwortwall-Request-Id", id)
	if from := r.Header.Get("Kv-From"); from != "" {
		address, run, _ := strings.Cut(from, "/")
		held, ok := s.take(run)
		if !ok || address != s.address {
			log("server %s does not run %s: it has no copy of %s", s.id, id, from)
			w.Header().Set("Ragwortwall-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		memory = generation{id: held.id, body: held.body}
	}
	run := s.models.recordRun(s, own, memory, last, r)
	slower := time.Duration(1)
	if s.slowPath != "" && strings.HasPrefix(r.URL.Path, s.slowPath) {
		slower = slowerOnPath
		s.models.markBad(run)
	}
	if memory.id == id && last == 0 {
		select {
		case <-time.After(slower * cmp.Or(s.models.prefill, 150*time.Millisecond)):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set("Ragwortwall-Upstream-Signature", "sign."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	backup := s.models.at(r.Header.Get("Ragwortwall-Kv-Backup"))
	for event := last + 1; event <= s.models.events; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, memory.text(event)); err != nil || r.Context().Err() != nil {
			log("server %s: run of %s is cut off after event %d", s.id, id, event)
			backup.expire(id)
			panic(http.ErrAbortHandler)
		}
		_ = http.NewResponseController(w).Flush()
		backup.keep(id, memory)
		time.Sleep(slower * cmp.Or(s.interval, s.models.eventInterval))
	}
	backup.forget(id)
	s.models.endRun(run)
	log("server %s: run of %s ends", s.id, id)
}

// keep keeps a copy of a run's memory. s may be nil.
func (s *modelServer) keep(run string, memory generation) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[run] = memory
}

// expire drops the copy of a run that failed after a while. s may be nil.
func (s *modelServer) expire(run string) {
	if s != nil {
		time.AfterFunc(handleTTL, func() { s.forget(run) })
	}
}

// forget drops a copy. s may be nil.
func (s *modelServer) forget(run string) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.copies, run)
}
