package rwstandin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"ragwortwall/internal/rwengine"
	"ragwortwall/internal/rwmodel"

	"github.com/google/uuid"
)

// The engine's simple model of time.
const (
	streamHold   = 15 * time.Second // a stream without a reader is kept this long
	poisonPrompt = "POISON"         // a prompt that holds this crashes the engine
)

// VersionFault makes a version bad.
type VersionFault struct {
	Fail  float64       `json:"fail"`  // share of requests that fail
	Slow  float64       `json:"slow"`  // factor on the time per token
	After time.Duration `json:"after"` // from the load of the version on
	Above int           `json:"above"` // only with more running streams
}

// EngineFaults are the switches of the engine stand-in.
type EngineFaults struct {
	Frozen   bool                    `json:"frozen"` // accepts connections, does nothing
	Versions map[string]VersionFault `json:"versions"`
}

// Engine is a stand-in for a model engine that batches continuously. Set the
// fields before Run.
type Engine struct {
	Versions  []string
	Capacity  int           // streams at once; one more and the engine falls over
	Step      time.Duration // time of a decoding step with an empty batch
	Per       time.Duration // added to a step by each stream
	Prefill   time.Duration // per prompt token that is not cached
	Blocks    int           // size of the prefix cache
	ReportLag time.Duration // of the load report
	LoadTime  time.Duration // to load a version
	Fenced    bool          // refuses orders with an old number
	Crash     func(reason string)

	mu          sync.Mutex
	incarnation string
	streams     map[string]*engineStream
	loaded      map[string]time.Time
	cache       *prefixCache
	faults      EngineFaults
	number      int64
	peak        int
	served      int
	cachedHits  int
	cachedAsked int
	down        bool
	reports     []timedLoad
	random      *rand.Rand
}

type timedLoad struct {
	at   time.Time
	load rwengine.Load
}

// Handler returns the HTTP interface and resets the engine to a fresh start.
func (e *Engine) Handler() http.Handler {
	e.restart()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveComplete)
	mux.HandleFunc("POST /v1/chat/completions", e.serveComplete)
	mux.HandleFunc("GET /v1/streams/{name}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{name}", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache", e.serveCache)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("PUT /standin/faults", e.serveFaults)
	mux.HandleFunc("GET /standin/counts", e.serveCounts)
	return e.freezable(mux)
}

func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = uuid.NewString()
	e.streams = map[string]*engineStream{}
	e.loaded = map[string]time.Time{}
	for _, v := range e.Versions {
		e.loaded[v] = time.Now()
	}
	e.cache = newPrefixCache(e.Blocks)
	e.random = rand.New(rand.NewPCG(1, 2))
	e.down = false
}

// Run decodes until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for {
		timer := time.NewTimer(e.stepTime())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			e.step()
		}
	}
}

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Step + time.Duration(len(e.streams))*e.Per
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Frozen || e.down {
		return
	}
	now := time.Now()
	running := len(e.streams)
	for name, s := range e.streams {
		if s.abandoned(now) {
			s.end("cancelled")
			delete(e.streams, name)
			continue
		}
		if now.Before(s.ready) || e.slowedLocked(s, running) {
			continue
		}
		if s.decode() {
			delete(e.streams, name)
		}
	}
	e.reports = append(e.reports, timedLoad{at: now, load: e.reportLocked()})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.ReportLag {
		e.reports = e.reports[1:]
	}
}

// slowedLocked skips steps of a stream whose version is slow.
func (e *Engine) slowedLocked(s *engineStream, running int) bool {
	fault, active := e.faultLocked(s.version, running)
	if !active || fault.Slow <= 1 {
		return false
	}
	return e.random.Float64() > 1/fault.Slow
}

func (e *Engine) faultLocked(version string, running int) (VersionFault, bool) {
	fault, ok := e.faults.Versions[version]
	if !ok || time.Since(e.loaded[version]) < fault.After || running <= fault.Above && fault.Above > 0 {
		return VersionFault{}, false
	}
	return fault, true
}

func (e *Engine) reportLocked() rwengine.Load {
	l := rwengine.Load{Incarnation: e.incarnation, Running: len(e.streams), Capacity: e.Capacity, FencingToken: e.number}
	for v, at := range e.loaded {
		if !at.After(time.Now()) {
			l.Versions = append(l.Versions, v)
		}
	}
	return l
}

func (e *Engine) freezable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		frozen, down := e.faults.Frozen, e.down
		e.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if frozen && !strings.HasPrefix(r.URL.Path, "/standin") {
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}

// crashLocked drops all streams, as the death of the process does.
func (e *Engine) crashLocked(reason string) {
	e.down = true
	for name, s := range e.streams {
		s.end("crashed")
		delete(e.streams, name)
	}
	if e.Crash != nil {
		go e.Crash(reason)
	}
}

func (e *Engine) serveComplete(w http.ResponseWriter, r *http.Request) {
	var request rwengine.Request
	if !decode(w, r, &request) {
		return
	}
	prompt, text, err := promptTokens(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	loadedAt, known := e.loaded[request.Model]
	if !known || loadedAt.After(time.Now()) {
		e.mu.Unlock()
		http.Error(w, "version not loaded", http.StatusNotFound)
		return
	}
	if strings.Contains(text, poisonPrompt) {
		e.crashLocked("poison")
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if len(e.streams) >= e.Capacity {
		e.crashLocked("overload")
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if fault, ok := e.faultLocked(request.Model, len(e.streams)); ok && e.random.Float64() < fault.Fail {
		e.mu.Unlock()
		http.Error(w, "bad version", http.StatusInternalServerError)
		return
	}
	s := e.startLocked(name, request, prompt)
	e.mu.Unlock()
	s.serve(w, r, 0)
}

func (e *Engine) startLocked(name string, request rwengine.Request, prompt []uint32) *engineStream {
	cached := e.cache.use(prompt)
	e.cachedHits += cached
	e.cachedAsked += len(prompt)
	s := newEngineStream(request, prompt)
	s.ready = time.Now().Add(time.Duration(len(prompt)-cached) * e.Prefill)
	e.streams[name] = s
	e.served++
	e.peak = max(e.peak, len(e.streams))
	return s
}

func promptTokens(request rwengine.Request) ([]uint32, string, error) {
	if request.Messages != nil {
		text := string(request.Messages)
		return rwmodel.Tokenize(text), text, nil
	}
	var text string
	if err := json.Unmarshal(request.Prompt, &text); err == nil {
		return rwmodel.Tokenize(text), text, nil
	}
	var ids []uint32
	err := json.Unmarshal(request.Prompt, &ids)
	return ids, "", err
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset := 0
	if err := json.Unmarshal([]byte(r.URL.Query().Get("offset")), &offset); err != nil {
		http.Error(w, "bad offset", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("name")]
	e.mu.Unlock()
	if !ok || offset < 0 || offset > s.length() {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.serve(w, r, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[r.PathValue("name")]; ok {
		s.end("cancelled")
		delete(e.streams, r.PathValue("name"))
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := e.reportLocked()
	if len(e.reports) > 0 {
		l.Running = e.reports[0].load.Running
	}
	e.mu.Unlock()
	answer(w, http.StatusOK, l)
}

func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	_ = json.Unmarshal([]byte(r.URL.Query().Get("after")), &after)
	e.mu.Lock()
	events := e.cache.eventsAfter(after)
	e.mu.Unlock()
	answer(w, http.StatusOK, events)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o rwengine.Order
	if !decode(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Fenced && o.FencingToken < e.number {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.number = max(e.number, o.FencingToken)
	switch o.Action {
	case "load":
		if _, ok := e.loaded[o.Version]; !ok {
			e.loaded[o.Version] = time.Now().Add(e.LoadTime)
		}
	case "unload":
		delete(e.loaded, o.Version)
	default:
		http.Error(w, "unknown action", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if !decode(w, r, &f) {
		return
	}
	e.SetFaults(f)
}

// SetFaults sets all switches.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Kill drops all streams and refuses every call until Handler is asked anew.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked("killed")
}

// EngineCounts is what an engine counted.
type EngineCounts struct {
	Served  int  `json:"served"`
	Running int  `json:"running"`
	Peak    int  `json:"peak"`
	Cached  int  `json:"cached"` // prompt tokens found in the cache
	Asked   int  `json:"asked"`  // prompt tokens in all
	Down    bool `json:"down"`
}

// Counts returns what the engine counted.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineCounts{Served: e.served, Running: len(e.streams), Peak: e.peak, Cached: e.cachedHits, Asked: e.cachedAsked, Down: e.down}
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, e.Counts())
}
