package rwstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortwall/internal/rwobject"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"github.com/google/uuid"
)

const (
	platformPath     = "/apis/ragwortwall/v1/"
	eventsKept       = 10000
	maxObjectBytes   = 1 << 20
	bookmarkInterval = 5 * time.Second
)

// PlatformFaults are the switches of the platform stand-in.
type PlatformFaults struct {
	Outage bool          `json:"outage"` // every call fails
	Delay  time.Duration `json:"delay"`  // before each call, nanoseconds in JSON
	Lose   int           `json:"lose"`   // answers to the next writes that are lost after effect
	Stale  bool          `json:"stale"`  // lists show what was there when the switch was set
}

// Platform is a stand-in for the platform's versioned object API. Set the
// fields before first use; its zero value is ready.
type Platform struct {
	Lag time.Duration // of the list of instances

	mu       sync.Mutex
	revision int
	floor    int // events up to this revision are compacted
	objects  map[string]rwobject.Object
	stale    map[string]rwobject.Object
	events   []platformEvent
	changed  chan struct{}
	faults   PlatformFaults
	calls    map[string]int
}

type platformEvent struct {
	revision int
	event    rwobject.Event
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	p.mu.Lock()
	p.initLocked()
	p.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc(platformPath, p.serveAPI)
	mux.HandleFunc("PUT /standin/faults", p.serveFaults)
	mux.HandleFunc("GET /standin/calls", p.serveCalls)
	mux.HandleFunc("POST /standin/compact", p.serveCompact)
	return mux
}

func (p *Platform) initLocked() {
	if p.objects != nil {
		return
	}
	p.objects = map[string]rwobject.Object{}
	p.calls = map[string]int{}
	p.changed = make(chan struct{})
}

// SetFaults sets all switches.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.initLocked()
	if f.Stale && !p.faults.Stale {
		p.stale = map[string]rwobject.Object{}
		for k, v := range p.objects {
			p.stale[k] = v
		}
	}
	p.faults = f
}

// Calls returns how often each method and kind was called.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for k, v := range p.calls {
		out[k] = v
	}
	return out
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if !decode(w, r, &f) {
		return
	}
	p.SetFaults(f)
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.Calls())
}

func (p *Platform) serveCompact(http.ResponseWriter, *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = nil
	p.floor = p.revision
}

func (p *Platform) serveAPI(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, platformPath), "/")
	watch := r.URL.Query().Get("watch") == "true"
	p.mu.Lock()
	faults := p.faults
	label := r.Method
	if watch {
		label = "WATCH"
	}
	p.calls[label+" "+kind]++
	p.mu.Unlock()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	switch {
	case watch:
		p.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		p.serveList(w, kind, r.URL.Query().Get("labelSelector"))
	case r.Method == http.MethodGet:
		p.serveGet(w, kind, name)
	default:
		p.serveWrite(w, r, kind, name)
	}
}

func (p *Platform) serveGet(w http.ResponseWriter, kind, name string) {
	p.mu.Lock()
	o, ok := p.objects[kind+"/"+name]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (p *Platform) serveList(w http.ResponseWriter, kind, selector string) {
	label, value, selects := strings.Cut(selector, "=")
	p.mu.Lock()
	from := p.objects
	if p.faults.Stale {
		from = p.stale
	}
	l := rwobject.List{Metadata: metav1.ListMeta{ResourceVersion: strconv.Itoa(p.revision)}}
	for key, o := range from {
		if !strings.HasPrefix(key, kind+"/") || p.laggingLocked(kind, o) {
			continue
		}
		if !selects || o.Metadata.Labels[label] == value {
			l.Items = append(l.Items, o)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(l.Items, func(a, b rwobject.Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, http.StatusOK, l)
}

// laggingLocked hides an instance that was listed less than Lag ago.
func (p *Platform) laggingLocked(kind string, o rwobject.Object) bool {
	return kind == string(rwobject.KindInstances) && time.Since(o.Metadata.CreationTimestamp.Time) < p.Lag
}

func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o rwobject.Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxObjectBytes)).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if name == "" {
			name = o.Metadata.Name
		}
	}
	if r.Method == http.MethodDelete {
		o.Metadata.ResourceVersion = r.URL.Query().Get("resourceVersion")
	}
	made, status := p.apply(r.Method, kind, name, o)
	if p.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	if status >= http.StatusBadRequest {
		http.Error(w, http.StatusText(status), status)
		return
	}
	answer(w, status, made)
}

func (p *Platform) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Lose <= 0 {
		return false
	}
	p.faults.Lose--
	return true
}

func (p *Platform) apply(method, kind, name string, o rwobject.Object) (rwobject.Object, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := kind + "/" + name
	old, exists := p.objects[key]
	if name == "" {
		return o, http.StatusUnprocessableEntity
	}
	if method == http.MethodPost && exists {
		return o, http.StatusConflict
	}
	if method != http.MethodPost && !exists {
		return o, http.StatusNotFound
	}
	if method != http.MethodPost && o.Metadata.ResourceVersion != old.Metadata.ResourceVersion {
		return o, http.StatusConflict
	}
	p.revision++
	event := rwobject.Event{Type: "MODIFIED"}
	switch method {
	case http.MethodDelete:
		event.Type = "DELETED"
		o = old
		delete(p.objects, key)
	case http.MethodPost:
		event.Type = "ADDED"
		o.Metadata.UID = types.UID(uuid.NewString())
		o.Metadata.CreationTimestamp = metav1.Now()
		o.Metadata.Generation = 1
	default:
		o.Metadata.UID = old.Metadata.UID
		o.Metadata.CreationTimestamp = old.Metadata.CreationTimestamp
		o.Metadata.Generation = old.Metadata.Generation
		if string(o.Spec) != string(old.Spec) {
			o.Metadata.Generation++
		}
	}
	o.Kind = kind
	o.Metadata.Name = name
	o.Metadata.ResourceVersion = strconv.Itoa(p.revision)
	if method != http.MethodDelete {
		p.objects[key] = o
	}
	event.Object = o
	p.recordLocked(event)
	return o, http.StatusOK
}

func (p *Platform) recordLocked(event rwobject.Event) {
	p.events = append(p.events, platformEvent{revision: p.revision, event: event})
	if len(p.events) > eventsKept {
		drop := len(p.events) - eventsKept
		p.floor = p.events[drop-1].revision
		p.events = slices.Clone(p.events[drop:])
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.Atoi(r.URL.Query().Get("resourceVersion"))
	if err != nil {
		http.Error(w, "bad resourceVersion", http.StatusBadRequest)
		return
	}
	encoder := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	w.WriteHeader(http.StatusOK)
	_ = flush()
	for {
		events, outage, changed, compacted := p.eventsAfter(from, kind)
		if outage {
			return
		}
		if compacted {
			_ = encoder.Encode(rwobject.Event{Type: "ERROR"})
			return
		}
		for _, e := range events {
			if encoder.Encode(e.event) != nil {
				return
			}
			from = e.revision
		}
		_ = flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(bookmarkInterval):
			if encoder.Encode(rwobject.Event{Type: "BOOKMARK"}) != nil {
				return
			}
		}
	}
}

func (p *Platform) eventsAfter(from int, kind string) (events []platformEvent, outage bool, changed chan struct{}, compacted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.events {
		if e.revision > from && e.event.Object.Kind == kind {
			events = append(events, e)
		}
	}
	return events, p.faults.Outage, p.changed, from < p.floor
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		fmt.Fprintln(w, err)
	}
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
