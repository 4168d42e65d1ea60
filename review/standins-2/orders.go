package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// orderServers are the servers of the order service.
type orderServers struct {
	world *world
	fails func(version, path string, n int) bool // reports whether the n-th request of a version on a path fails

	mu   sync.Mutex
	ran  []ranOrder
	seen map[string]int // requests by version and path
}

// ranOrder is a request that a server ran.
type ranOrder struct {
	at            time.Time
	version, path string
	failed        bool
}

// startOrderServers starts a server of a version in each zone.
func (o *orderServers) start(zones []string, version string) error {
	for _, zone := range zones {
		id := fmt.Sprintf("i-%s-%s", zone, version)
		address, err := o.world.serve(o.handler(id, version))
		if err != nil {
			return err
		}
		o.world.store.Put("servers", id, map[string]any{
			"service": orderService, "address": address, "zone": zone, "version": version, "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
	o.world.record("servers of version %s are registered", version)
	return nil
}

// workTime is how long a server works on a request.
const workTime = 40 * time.Millisecond

func (o *orderServers) handler(id, version string) http.Handler {
	slots := make(chan struct{}, 6)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Ragwortwall-Request-Id")
		w.Header().Set("Ragwortwall-Request-Id", request)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		if target := r.Header.Get("Ragwortwall-Target-Instance"); target != "" && target != id {
			w.Header().Set("Ragwortwall-Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		slots <- struct{}{}
		defer func() { <-slots }()
		w.Header().Set("Ragwortwall-Server-Load", fmt.Sprintf("%d,0,6", len(slots)))
		if r.URL.Path == "/healthz" {
			w.Header().Set("Ragwortwall-Instance-Id", id)
			return
		}
		failed := o.begin(version, r.URL.Path)
		time.Sleep(workTime)
		w.Header().Set("Ragwortwall-Upstream-Signature", "3e1b."+request)
		if failed {
			w.WriteHeader(http.StatusInternalServerError)
		}
		fmt.Fprintf(w, "done %s", request)
	})
}

// begin records that a request runs, and reports whether it fails.
func (o *orderServers) begin(version, path string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seen == nil {
		o.seen = map[string]int{}
	}
	o.seen[version+path]++
	failed := o.fails(version, path, o.seen[version+path])
	o.ran = append(o.ran, ranOrder{time.Now(), version, path, failed})
	return failed
}

// between returns the requests that reached the servers from one time to another.
func (o *orderServers) between(from, to time.Time) []ranOrder {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []ranOrder
	for _, r := range o.ran {
		if !r.at.Before(from) && r.at.Before(to) {
			found = append(found, r)
		}
	}
	return found
}
