package rwentry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"time"

	"ragwortwall/internal/rwlimit"
)

// Paths served at Settings.MetricsAddress.
const (
	metricsPath = "/metrics"
	statePath   = "/state"
)

// listenMetrics opens the listener for metrics and returns the function that serves them. It is
// called before the instance can be ready, so that one that is ready has metrics. If the listener
// fails, the instance keeps serving callers.
func (i *Instance) listenMetrics() (serve func(ctx context.Context)) {
	noMetrics := func(context.Context) {}
	if i.Settings.MetricsAddress == "" {
		return noMetrics
	}
	listener, err := net.Listen("tcp", i.Settings.MetricsAddress)
	if err != nil {
		i.Log.Error(err, "metrics server failed")
		return noMetrics
	}
	return func(ctx context.Context) { i.serveMetrics(ctx, listener) }
}

// serveMetrics serves counters, latencies and the state dump until ctx ends.
func (i *Instance) serveMetrics(ctx context.Context, listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		i.counters.Write(w)
		_, _ = fmt.Fprintf(w, "ragwortwall_store_era %d\n", i.Stores.Era.Current())
		if age, known := i.feeds.states.Age(); known {
			_, _ = fmt.Fprintf(w, "ragwortwall_settings_age %d\n", age.Milliseconds())
			lag, _ := i.feeds.states.Lag()
			_, _ = fmt.Fprintf(w, "ragwortwall_settings_lag %d\n", lag.Milliseconds())
		}
	})
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(i.dump())
	})
	server := i.smallServer(mux, "metrics_closed")
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		i.Log.Error(err, "metrics server failed")
	}
}

// StateDump is the state of an instance as shown at the path /state.
type StateDump struct {
	Name         string             `json:"name"`
	Zone         string             `json:"zone"`
	Ready        bool               `json:"ready"`
	Leaving      bool               `json:"leaving"`
	Version      int64              `json:"version"` // of the desired state
	Ages         map[string]float64 `json:"ages"`    // seconds since each kind of object was confirmed
	WatchesStore bool               `json:"watches"` // whether it watches the store itself
	Peers        int                `json:"others"`  // number of other instances that it knows
	Servers      []ServerDump       `json:"servers"`
	Moves        any                `json:"moves"`
	Suspicions   []SuspicionDump    `json:"suspicions"`
	OpenLosses   int                `json:"losses"` // losses of servers that can't be judged yet
	HeldParts    []PartDump         `json:"parts"`  // parts of prompts that are held
	BrokenPaths  []string           `json:"paths"`  // services whose servers are reached through other instances
	Duties       *DutyDump          `json:"duties,omitempty"`
	HeapBytes    uint64             `json:"memory"` // in use
	Goroutines   int                `json:"routines"`
}

// ServerDump is a backend server in a StateDump.
type ServerDump struct {
	ID        string  `json:"id"`
	Zone      string  `json:"zone"`
	Leaving   bool    `json:"leaving"` // by its entry or by its own word
	Suspect   bool    `json:"suspect"`
	Runs      int     `json:"runs"`
	Committed int     `json:"committed"` // tokens
	Backlog   int     `json:"backlog"`   // tokens
	Failures  float64 `json:"failures"`  // failure rate as a moving average, 0 to 1

	Limit *float64 `json:"limit,omitempty"` // that it names, in requests per second
	Pause float64  `json:"pause,omitempty"` // seconds for which it wants no requests
}

// SuspicionDump is a request under which servers were lost in a StateDump.
type SuspicionDump struct {
	Fingerprint string   `json:"fingerprint"`
	Crashed     []string `json:"crashed"` // processes of servers, each an id and an incarnation
	Lost        []string `json:"lost"`    // the same
	Quarantined bool     `json:"quarantined"`
}

func (i *Instance) dump() StateDump {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	state := i.state()
	d := StateDump{
		Name: i.Settings.Name, Zone: i.Settings.Zone, Ready: i.ready(), Leaving: i.leaving.Load(), Ages: map[string]float64{},
		WatchesStore: i.feeds.watchesStore(), Peers: i.members.Count() - 1, Moves: i.moves.tracker.OwnEvidence(), OpenLosses: i.openLosses.Count(), BrokenPaths: i.Dialer.BrokenServices(), Duties: i.duties.dump(), HeapBytes: memory.HeapInuse, Goroutines: runtime.NumGoroutine(),
	}
	if state.Table != nil {
		d.Version = state.Table.Version
	}
	for _, cache := range i.feeds.follower.Caches {
		if age, known := cache.Age(); known {
			d.Ages[cache.Kind] = age.Round(time.Millisecond).Seconds()
		}
	}
	for _, s := range i.poison.Known() {
		d.Suspicions = append(d.Suspicions, SuspicionDump{Fingerprint: s.Fingerprint.String(), Crashed: s.Servers, Lost: s.Losses, Quarantined: s.Rejected()})
	}
	for _, part := range i.parts.Held() {
		d.HeldParts = append(d.HeldParts, PartDump{Key: part.String(), Losses: len(i.parts.Get(part).Losses)})
	}
	for _, s := range i.directory.All() {
		var limit *float64
		if named := i.limits.Limit(rwlimit.Server{ID: s.ID, Incarnation: s.Incarnation}); named.Named {
			limit = &named.Rate
		}
		d.Servers = append(d.Servers, ServerDump{
			Limit: limit, Pause: max(0, time.Until(s.PausedUntil).Seconds()),
			ID: s.ID, Zone: s.Zone, Leaving: s.Leaving || s.SaidLeaving, Suspect: s.Suspect, Runs: s.Runs, Committed: s.Committed, Backlog: s.Backlog, Failures: s.FailureRate,
		})
	}
	return d
}
