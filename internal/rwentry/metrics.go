package rwentry

import (
	"context"
	"encoding/json"
	"net/http"
	"runtime"
	"time"
)

// The paths of the metrics address.
const (
	metricsPath = "/metrics"
	statePath   = "/state"
)

// serveMetrics answers for counters, latencies and the state dump until ctx ends. It
// takes no part in serving callers: without it the instance goes on.
func (i *Instance) serveMetrics(ctx context.Context) {
	if i.Settings.MetricsAddress == "" {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) { i.counters.Write(w) })
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(i.dump())
	})
	server := &http.Server{Addr: i.Settings.MetricsAddress, Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
		i.Log.Error(err, "no metrics")
	}
}

// StateDump is the state of an instance. Ages are in seconds.
type StateDump struct {
	Name         string             `json:"name"`
	Zone         string             `json:"zone"`
	Ready        bool               `json:"ready"`
	Leaving      bool               `json:"leaving"`
	Version      int64              `json:"version"` // of the settings in force
	Ages         map[string]float64 `json:"ages"`    // since each kind was confirmed
	WatchesStore bool               `json:"watches"` // the store, for its zone
	Peers        int                `json:"others"`  // instances known besides
	Servers      []ServerDump       `json:"servers"`
	Moves        any                `json:"moves"`
	HeapBytes    uint64             `json:"memory"` // bytes of the heap
	Goroutines   int                `json:"routines"`
}

// ServerDump is a backend server in a dump.
type ServerDump struct {
	ID        string  `json:"id"`
	Zone      string  `json:"zone"`
	Leaving   bool    `json:"leaving"`
	Suspect   bool    `json:"suspect"`
	Runs      int     `json:"runs"`
	Committed int     `json:"committed"` // tokens
	Backlog   int     `json:"backlog"`   // tokens
	Failures  float64 `json:"failures"`  // part of the answers
}

func (i *Instance) dump() StateDump {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	state := i.state()
	d := StateDump{
		Name: i.Settings.Name, Zone: i.Settings.Zone, Ready: i.ready(), Leaving: i.leaving.Load(), Ages: map[string]float64{},
		WatchesStore: i.feeds.watchesStore(), Peers: i.members.Count() - 1, Moves: i.moves.book.Own(), HeapBytes: memory.HeapInuse, Goroutines: runtime.NumGoroutine(),
	}
	if state.Table != nil {
		d.Version = state.Table.Version
	}
	for _, held := range i.feeds.follower.Held {
		if age, known := held.Age(); known {
			d.Ages[held.Kind] = age.Round(time.Millisecond).Seconds()
		}
	}
	for _, v := range i.directory.All() {
		d.Servers = append(d.Servers, ServerDump{
			ID: v.ID, Zone: v.Zone, Leaving: v.Leaving, Suspect: v.Suspect, Runs: v.Runs, Committed: v.Committed, Backlog: v.Backlog, Failures: v.Failures,
		})
	}
	return d
}
