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

const (
	abandonedStreamTimeout = 15 * time.Second // a stream without a reader is cancelled after this time
	poisonPrompt           = "POISON"         // a prompt that contains this text crashes the engine
)

// VersionFault describes the faults injected into requests for one version.
type VersionFault struct {
	FailureRate    float64       `json:"fail"`  // probability that a request fails, 0 to 1
	SlowdownFactor float64       `json:"slow"`  // factor on the time per token; no effect up to 1
	After          time.Duration `json:"after"` // time from loading the version to the start of the faults, nanoseconds in JSON
	AboveRunning   int           `json:"above"` // if positive, the faults apply only while more streams run
}

// EngineFaults are the fault switches of the engine stand-in.
type EngineFaults struct {
	Frozen   bool                    `json:"frozen"`   // accepts connections but neither responds nor generates
	Unframed bool                    `json:"unframed"` // new streams have neither a length nor chunks and end with their connection
	CutEvent bool                    `json:"cutevent"` // new streams break off within an event in a crash
	Versions map[string]VersionFault `json:"versions"` // by version name
}

// Engine is a stand-in for a model engine with continuous batching: all running
// streams advance in steps. Set the exported fields before Run.
type Engine struct {
	Versions        []string            // loaded at the start
	Capacity        int                 // maximum number of concurrent streams; one more crashes the engine
	BaseStep        time.Duration       // duration of a decoding step with an empty batch
	StepPerStream   time.Duration       // added to the step by each running stream
	PrefillPerToken time.Duration       // time per prompt token that is not cached
	CacheBlocks     int                 // maximum number of blocks in the prefix cache
	ReportLag       time.Duration       // age of the running count in a load report
	LoadTime        time.Duration       // time to load a version
	Fenced          bool                // refuses orders whose fencing token is older than the newest accepted one
	OnCrash         func(reason string) // called in a goroutine of its own after a crash, if set

	mu               sync.Mutex
	incarnation      string
	streams          map[string]*engineStream
	loaded           map[string]time.Time // when the loading of each version ends; in the future while it loads
	cache            *prefixCache
	faults           EngineFaults
	fencingToken     int64
	peakRunning      int
	served           int
	cachedTokenCount int
	promptTokenCount int
	down             bool        // crashed or killed
	loadReports      []timedLoad // oldest first; the first is the latest of at least the age ReportLag, if there is one
	random           *rand.Rand
}

// timedLoad is the load after a decoding step.
type timedLoad struct {
	at   time.Time
	load rwengine.Load
}

// Handler returns the HTTP interface and resets the engine to a newly started
// process: new incarnation, no streams, empty cache. The faults, the counters and the
// fencing token are kept.
func (e *Engine) Handler() http.Handler {
	e.reset()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("GET /v1/streams/{name}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{name}", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache", e.serveCache)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("PUT /standin/faults", e.serveFaults)
	mux.HandleFunc("GET /standin/counts", e.serveCounts)
	return e.withFaults(mux)
}

func (e *Engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = uuid.NewString()
	e.streams = map[string]*engineStream{}
	e.loaded = map[string]time.Time{}
	for _, v := range e.Versions {
		e.loaded[v] = time.Now()
	}
	e.cache = newPrefixCache(e.CacheBlocks)
	e.random = rand.New(rand.NewPCG(1, 2))
	e.down = false
}

// Run performs decoding steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for {
		timer := time.NewTimer(e.stepDuration())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			e.step()
		}
	}
}

func (e *Engine) stepDuration() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.BaseStep + time.Duration(len(e.streams))*e.StepPerStream
}

// step performs one decoding step: each stream whose prefill has ended gets a token,
// unless a fault slows it down, and abandoned streams are cancelled.
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
			s.finish("cancelled")
			delete(e.streams, name)
			continue
		}
		if now.Before(s.prefillEnd) || e.skipsStepLocked(s, running) {
			continue
		}
		if s.generateToken() {
			delete(e.streams, name)
		}
	}
	e.loadReports = append(e.loadReports, timedLoad{at: now, load: e.loadReportLocked()})
	for len(e.loadReports) > 1 && now.Sub(e.loadReports[1].at) >= e.ReportLag {
		e.loadReports = e.loadReports[1:]
	}
}

// skipsStepLocked reports whether a stream makes no progress in this step
// because its version is slowed down.
func (e *Engine) skipsStepLocked(s *engineStream, running int) bool {
	fault, active := e.activeFaultLocked(s.version, running)
	if !active || fault.SlowdownFactor <= 1 {
		return false
	}
	return e.random.Float64() > 1/fault.SlowdownFactor
}

// activeFaultLocked returns the fault of a version, and false if none applies now.
func (e *Engine) activeFaultLocked(version string, running int) (VersionFault, bool) {
	fault, ok := e.faults.Versions[version]
	if !ok || time.Since(e.loaded[version]) < fault.After || running <= fault.AboveRunning && fault.AboveRunning > 0 {
		return VersionFault{}, false
	}
	return fault, true
}

func (e *Engine) loadReportLocked() rwengine.Load {
	report := rwengine.Load{Incarnation: e.incarnation, Running: len(e.streams), Capacity: e.Capacity, FencingToken: e.fencingToken}
	for v, at := range e.loaded {
		if !at.After(time.Now()) {
			report.Versions = append(report.Versions, v)
		}
	}
	return report
}

// withFaults blocks calls while the engine is frozen and aborts them while it is
// down. Calls to /standin pass while it is frozen.
func (e *Engine) withFaults(next http.Handler) http.Handler {
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

// crashLocked drops all streams, as if the process had ended, and calls OnCrash.
func (e *Engine) crashLocked(reason string) {
	e.down = true
	for name, s := range e.streams {
		s.finish("crashed")
		delete(e.streams, name)
	}
	if e.OnCrash != nil {
		go e.OnCrash(reason)
	}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request rwengine.Request
	if !readJSON(w, r, &request) {
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
		http.Error(w, "version is not loaded", http.StatusNotFound)
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
	if fault, ok := e.activeFaultLocked(request.Model, len(e.streams)); ok && e.random.Float64() < fault.FailureRate {
		e.mu.Unlock()
		http.Error(w, "injected fault of this version", http.StatusInternalServerError)
		return
	}
	s := e.startStreamLocked(name, request, prompt)
	e.mu.Unlock()
	s.serve(w, r, 0)
}

func (e *Engine) startStreamLocked(name string, request rwengine.Request, prompt []uint32) *engineStream {
	cached := e.cache.lookupAndStore(prompt)
	e.cachedTokenCount += cached
	e.promptTokenCount += len(prompt)
	s := newEngineStream(request, prompt)
	s.unframed, s.cutEvent = e.faults.Unframed, e.faults.CutEvent
	s.prefillEnd = time.Now().Add(time.Duration(len(prompt)-cached) * e.PrefillPerToken)
	e.streams[name] = s
	e.served++
	e.peakRunning = max(e.peakRunning, len(e.streams))
	return s
}

// promptTokens returns the tokens of the prompt or messages, and their text if
// the request has text.
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

// serveResume continues a running stream from an offset. A stream that has ended can't be
// resumed.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset := 0
	if err := json.Unmarshal([]byte(r.URL.Query().Get("offset")), &offset); err != nil {
		http.Error(w, "offset is not an integer", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("name")]
	e.mu.Unlock()
	if !ok || offset < 0 || offset > s.tokenCount() {
		http.Error(w, "no stream of this name and offset", http.StatusNotFound)
		return
	}
	s.serve(w, r, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[r.PathValue("name")]; ok {
		s.finish("cancelled")
		delete(e.streams, r.PathValue("name"))
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveLoad returns the current load, but with the number of running streams of about
// ReportLag ago.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.loadReportLocked()
	if len(e.loadReports) > 0 {
		report.Running = e.loadReports[0].load.Running
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	_ = json.Unmarshal([]byte(r.URL.Query().Get("after")), &after)
	e.mu.Lock()
	events := e.cache.eventsAfter(after)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order rwengine.Order
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Fenced && order.FencingToken < e.fencingToken {
		http.Error(w, "fencing token is older than the newest accepted one", http.StatusConflict)
		return
	}
	e.fencingToken = max(e.fencingToken, order.FencingToken)
	switch order.Action {
	case "load":
		if _, ok := e.loaded[order.Version]; !ok {
			e.loaded[order.Version] = time.Now().Add(e.LoadTime)
		}
	case "unload":
		delete(e.loaded, order.Version)
	default:
		http.Error(w, "unknown action: use load or unload", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if !readJSON(w, r, &f) {
		return
	}
	e.SetFaults(f)
}

// SetFaults replaces all fault switches.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Kill drops all streams, calls OnCrash and aborts every call until Handler is
// called again.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked("killed")
}

// EngineCounts holds the counters of an engine stand-in.
type EngineCounts struct {
	Served       int  `json:"served"`  // streams started
	Running      int  `json:"running"` // streams running now
	Peak         int  `json:"peak"`    // maximum of Running
	CachedTokens int  `json:"cached"`  // prompt tokens found in the prefix cache
	PromptTokens int  `json:"asked"`   // prompt tokens of all requests
	Down         bool `json:"down"`    // crashed or killed
}

// Counts returns the counters of the engine.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineCounts{Served: e.served, Running: len(e.streams), Peak: e.peakRunning, CachedTokens: e.cachedTokenCount, PromptTokens: e.promptTokenCount, Down: e.down}
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Counts())
}
