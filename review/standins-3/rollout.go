package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the rule EXPOSURE, and the roll-out.
const (
	exposureShare   = 0.1
	exposureSlack   = 50
	rolloutDuration = 40 * time.Second
	badAfter        = 0.4  // of the duration
	badShare        = 0.15 // of the answers on one route
	badRoute        = "/recut/"
)

// playRollout rolls a version out that turns bad later, on one route only: a portion of its answers
// there are failures.
func playRollout(w *world, trouble bool) (broken bool, err error) {
	var bad atomic.Bool
	var mu sync.Mutex
	counts := map[string]int{} // requests that a server began, by version
	failed, asked := 0, 0      // on the bad route
	var orderedAt time.Time
	arrived := func(version string) func(a arrival) {
		return func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			if !orderedAt.IsZero() && a.at.Sub(orderedAt) <= rolloutDuration {
				counts[version]++
			}
		}
	}
	old := behaviour{version: "v1", work: 60 * time.Millisecond, backAfter: 3 * time.Second, arrived: arrived("v1")}
	target := behaviour{version: "v2", work: 60 * time.Millisecond, backAfter: 3 * time.Second, arrived: arrived("v2"), fails: func(path string) bool {
		return trouble && bad.Load() && strings.HasPrefix(path, badRoute) && rand.Float64() < badShare
	}}
	zones := []string{"amman-a", "amman-b", "amman-c"}
	var olds, news []*server
	for _, zone := range zones {
		s, err := w.startServer(orders, zone, w.address(9000), old)
		if err != nil {
			return false, err
		}
		olds = append(olds, s)
	}
	w.configure(1, []route{{"stock", "idempotent", orders, 2, 2 * time.Second}, {"cut", "non_idempotent", orders, 1, 2 * time.Second}, {"recut", "non_idempotent", orders, 1, 2 * time.Second}},
		[]map[string]any{{"name": orders, "health_check_path": "/healthz", "max_connections": 96}})
	if err := w.addInstances(zones...); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	end := make(chan struct{})
	var load sync.WaitGroup
	for range 14 {
		load.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(time.Duration(120+rand.IntN(160)) * time.Millisecond):
				}
				to := w.instances[rand.IntN(len(w.instances))]
				order := strconv.FormatUint(rand.Uint64(), 16)
				switch draw := rand.Float64(); {
				case draw < 0.1:
					a := w.send(to, http.MethodPost, badRoute+"x", order)
					mu.Lock()
					asked++
					if a.status != http.StatusOK {
						failed++
					}
					mu.Unlock()
				case draw < 0.35:
					w.send(to, http.MethodGet, "/stock/"+strconv.Itoa(1000+rand.IntN(5000)), "")
				default:
					w.send(to, http.MethodPost, "/cut/x", order)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	for _, zone := range zones {
		s, err := w.startServer(orders, zone, w.address(9000), target)
		if err != nil {
			return false, err
		}
		news = append(news, s)
	}
	time.Sleep(time.Second)
	w.store.Put("rollouts", orders, map[string]any{"service": orders, "target": "v2", "duration_s": rolloutDuration.Seconds()})
	mu.Lock()
	orderedAt = time.Now()
	mu.Unlock()
	w.log("roll-out of v2 ordered, to be done within %v", rolloutDuration)
	time.AfterFunc(time.Duration(badAfter*float64(rolloutDuration)), func() { bad.Store(true) })
	state := ""
	for time.Since(orderedAt) < rolloutDuration+6*time.Second {
		time.Sleep(20 * time.Millisecond)
		var status struct{ State, Target string }
		_ = json.Unmarshal([]byte(w.store.Status("rollouts", orders)), &status)
		if status.State == state {
			continue
		}
		state = status.State
		w.log("status of the roll-out: %s", state)
		switch state {
		case "completed":
			for _, s := range olds {
				s.stop("the roll-out is completed")
			}
		case "rolled_back":
			for _, s := range news {
				s.drain(4 * time.Second)
			}
		}
	}
	close(end)
	load.Wait()
	mu.Lock()
	defer mu.Unlock()
	all := counts["v1"] + counts["v2"]
	limit := exposureShare*float64(all) + exposureSlack
	text := fmt.Sprintf("%d of %d requests reached v2 between the order and its time budget, the bound is %.0f; state %s; on the route on which v2 is bad, %d of %d orders failed", counts["v2"], all, limit, state, failed, asked)
	w.log("judged: %s", text)
	fmt.Println(text)
	if all < 500 || counts["v2"] == 0 {
		return false, fmt.Errorf("too few requests: %s", text)
	}
	return trouble && float64(counts["v2"]) > limit, nil
}
