package rwstandin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
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
	maxEvents        = 10000
	maxObjectBytes   = 1 << 20
	bookmarkInterval = 5 * time.Second
)

// PlatformFaults are the fault switches of the platform stand-in.
type PlatformFaults struct {
	Outage        bool          `json:"outage"` // API calls fail with status 503; open watches end at their next event or bookmark
	Delay         time.Duration `json:"delay"`  // added to each API call, nanoseconds in JSON
	LostResponses int           `json:"lose"`   // number of next writes that take effect but get no response
	Stale         bool          `json:"stale"`  // lists return the objects as they were when the switch was set
}

// Platform is a stand-in for the platform's versioned object API. The zero value
// is ready for use; set ListLag before first use.
type Platform struct {
	ListLag time.Duration // lists omit an instance until its object has this age

	mu                sync.Mutex
	revision          int
	compactedRevision int                        // events up to this revision are no longer kept
	objects           map[string]rwobject.Object // by kind and name, joined by a slash
	staleObjects      map[string]rwobject.Object // the objects when faults.Stale was set
	events            []platformEvent            // the latest maxEvents, oldest first
	changed           chan struct{}              // closed at the next event
	copied            map[string]rwobject.Object // the contents that Restore brings back
	copiedRevision    int
	restores          int
	faults            PlatformFaults
	calls             map[string]int // number of API calls by method and kind
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
	mux.HandleFunc("POST /standin/copy", func(http.ResponseWriter, *http.Request) { p.Copy() })
	mux.HandleFunc("POST /standin/restore", func(http.ResponseWriter, *http.Request) { p.Restore() })
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

// SetFaults replaces all fault switches.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.initLocked()
	if f.Stale && !p.faults.Stale {
		p.staleObjects = map[string]rwobject.Object{}
		for k, v := range p.objects {
			p.staleObjects[k] = v
		}
	}
	p.faults = f
}

// Calls returns the number of API calls by method and kind, such as "GET
// settings". The method of a watch is WATCH.
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
	if !readJSON(w, r, &f) {
		return
	}
	p.SetFaults(f)
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.Calls())
}

// serveCompact drops all events, so that a watch from an older revision gets an
// ERROR event.
func (p *Platform) serveCompact(http.ResponseWriter, *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = nil
	p.compactedRevision = p.revision
}

// Copy copies the contents for Restore.
func (p *Platform) Copy() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copied = maps.Clone(p.objects)
	p.copiedRevision = p.revision
}

// Restore brings the contents of the last Copy back. All later writes are gone, and their
// revisions and generations are given out again. Open watches end. The given objects then
// replace those of the copy, one after the other, before any other write. It returns them as stored.
func (p *Platform) Restore(replacements ...rwobject.Object) (stored []rwobject.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects = maps.Clone(p.copied)
	p.revision = p.copiedRevision
	p.compactedRevision = p.revision
	p.events = nil
	p.restores++
	close(p.changed)
	p.changed = make(chan struct{})
	for _, o := range replacements {
		o.Metadata.ResourceVersion = p.objects[o.Kind+"/"+o.Metadata.Name].Metadata.ResourceVersion
		o, _ = p.applyLocked(http.MethodPut, o.Kind, o.Metadata.Name, o)
		stored = append(stored, o)
	}
	return stored
}

func (p *Platform) serveAPI(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, platformPath), "/")
	watch := r.URL.Query().Get("watch") == "true"
	p.mu.Lock()
	faults := p.faults
	method := r.Method
	if watch {
		method = "WATCH"
	}
	p.calls[method+" "+kind]++
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
	writeJSON(w, http.StatusOK, o)
}

// serveList returns the objects of a kind. The selector has the form label=value; an empty
// one selects all.
func (p *Platform) serveList(w http.ResponseWriter, kind, selector string) {
	label, value, hasSelector := strings.Cut(selector, "=")
	p.mu.Lock()
	objects := p.objects
	if p.faults.Stale {
		objects = p.staleObjects
	}
	list := rwobject.List{Metadata: metav1.ListMeta{ResourceVersion: strconv.Itoa(p.revision)}}
	for key, o := range objects {
		if !strings.HasPrefix(key, kind+"/") || p.hiddenByLagLocked(kind, o) {
			continue
		}
		if !hasSelector || o.Metadata.Labels[label] == value {
			list.Items = append(list.Items, o)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(list.Items, func(a, b rwobject.Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	writeJSON(w, http.StatusOK, list)
}

// hiddenByLagLocked reports whether an instance was created less than ListLag ago.
func (p *Platform) hiddenByLagLocked(kind string, o rwobject.Object) bool {
	return kind == string(rwobject.KindInstances) && time.Since(o.Metadata.CreationTimestamp.Time) < p.ListLag
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
	written, status := p.apply(r.Method, kind, name, o)
	if p.loseResponse() {
		panic(http.ErrAbortHandler)
	}
	if status >= http.StatusBadRequest {
		http.Error(w, http.StatusText(status), status)
		return
	}
	writeJSON(w, status, written)
}

// loseResponse reports whether the response to this write is to be lost.
func (p *Platform) loseResponse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LostResponses <= 0 {
		return false
	}
	p.faults.LostResponses--
	return true
}

// apply performs a write and returns the object as stored and the HTTP status.
// An update or deletion needs the current resource version.
func (p *Platform) apply(method, kind, name string, o rwobject.Object) (rwobject.Object, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.applyLocked(method, kind, name, o)
}

func (p *Platform) applyLocked(method, kind, name string, o rwobject.Object) (rwobject.Object, int) {
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
	if len(p.events) > maxEvents {
		excess := len(p.events) - maxEvents
		p.compactedRevision = p.events[excess-1].revision
		p.events = slices.Clone(p.events[excess:])
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// serveWatch sends the events of a kind after a resource version as they occur, until the caller
// leaves, timeoutSeconds are over, an outage begins, or events after the version are no longer
// kept.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	revision, err := strconv.Atoi(r.URL.Query().Get("resourceVersion"))
	if err != nil {
		http.Error(w, "resourceVersion is not an integer", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	restores, known := p.restores, revision <= p.revision
	p.mu.Unlock()
	var timeout <-chan time.Time
	if seconds, err := strconv.Atoi(r.URL.Query().Get("timeoutSeconds")); err == nil && seconds > 0 {
		timeout = time.After(time.Duration(seconds) * time.Second)
	}
	encoder := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	w.WriteHeader(http.StatusOK)
	_ = flush()
	for {
		events, ended, changed, compacted := p.eventsAfter(revision, kind, restores)
		if ended {
			return
		}
		if compacted || !known {
			_ = encoder.Encode(rwobject.Event{Type: "ERROR"})
			return
		}
		for _, e := range events {
			if encoder.Encode(e.event) != nil {
				return
			}
			revision = e.revision
		}
		_ = flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			return
		case <-time.After(bookmarkInterval):
			if encoder.Encode(rwobject.Event{Type: "BOOKMARK"}) != nil {
				return
			}
		}
	}
}

// eventsAfter returns the kept events of a kind after a revision, whether watches end, as
// in an outage or when the contents were restored since, a channel that is closed at the
// next event, and whether events after the revision are no longer kept.
func (p *Platform) eventsAfter(revision int, kind string, restores int) (events []platformEvent, ended bool, changed chan struct{}, compacted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.events {
		if e.revision > revision && e.event.Object.Kind == kind {
			events = append(events, e)
		}
	}
	return events, p.faults.Outage || p.restores != restores, p.changed, revision < p.compactedRevision
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		fmt.Fprintln(w, err)
	}
}

// readJSON decodes the body into v. If that fails, it responds with status 400 and returns
// false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	// net/http watches for the end of the connection only once the body has been read to its end.
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}
