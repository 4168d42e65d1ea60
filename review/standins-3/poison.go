package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const poisonPath = "/stock/p13"

// playPoison lets a request that crashes servers come again and again, while one of three instances
// is dead.
func playPoison(w *world, trouble bool) (broken bool, err error) {
	var mu sync.Mutex
	var arrivals []arrival
	sentBy := map[string]*instance{}
	like := behaviour{work: 60 * time.Millisecond, backAfter: 3 * time.Second, poison: poisonPath, arrived: func(a arrival) {
		mu.Lock()
		defer mu.Unlock()
		if a.path == poisonPath {
			arrivals = append(arrivals, a)
		}
	}}
	zones := []string{"amman-a", "amman-b", "amman-c"}
	for _, zone := range zones {
		if _, err := w.startServer(orders, zone, w.address(9000), like); err != nil {
			return false, err
		}
	}
	w.configure(1, []route{{"stock", "idempotent", orders, 2, 2 * time.Second}, {"cut", "non_idempotent", orders, 1, 2 * time.Second}},
		[]map[string]any{{"name": orders, "health_check_path": "/healthz", "max_connections": 96}})
	// As on the sheet: 6 machines in 3 zones.
	if err := w.addInstances("amman-a", "amman-b", "amman-c", "amman-a", "amman-a", "amman-b"); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	end := make(chan struct{})
	var load sync.WaitGroup
	lost := 0
	for n := range 12 {
		load.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(time.Duration(200+rand.IntN(200)) * time.Millisecond):
				}
				live := w.live()
				to := live[rand.IntN(len(live))]
				if n%3 == 0 {
					w.send(to, http.MethodGet, "/stock/"+strconv.Itoa(1000+rand.IntN(5000)), "")
					continue
				}
				a := w.send(to, http.MethodPost, "/cut/x", strconv.FormatUint(rand.Uint64(), 16))
				if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, i := range w.instances {
			if i.zone == "amman-a" {
				i.kill()
			}
		}
	}
	time.Sleep(contact + time.Second)
	const rounds, pause = 9, 6 * time.Second
	for range rounds {
		began := time.Now()
		live := w.live()
		rand.Shuffle(len(live), func(a, b int) { live[a], live[b] = live[b], live[a] })
		for n := range 2 { // a requester and its one retry, at another machine
			a := make(chan answer, 1)
			go func() { a <- w.send(live[n], http.MethodGet, poisonPath, "") }()
			got := <-a
			mu.Lock()
			sentBy[got.id] = live[n]
			mu.Unlock()
			if got.status == http.StatusServiceUnavailable || got.status == http.StatusOK {
				break
			}
		}
		time.Sleep(pause - time.Since(began))
	}
	close(end)
	load.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(arrivals) < 3 {
		return false, fmt.Errorf("the request reached servers only %d times", len(arrivals))
	}
	third := arrivals[2].at
	late, ids := 0, map[string]bool{}
	for _, a := range arrivals {
		if a.at.Sub(third) > contact {
			late++
			ids[a.id] = true
		}
	}
	w.log("judged: %d arrivals of the request that crashes servers, %d of them, in %d retries, later than %v after it had crashed the third; other requests that were cut or failed: %d",
		len(arrivals), late, len(ids), contact, lost)
	fmt.Printf("arrivals %d, later than %v after the third crash: %d in %d retries; other orders cut or failed: %d\n", len(arrivals), contact, late, len(ids), lost)
	return len(ids) > 3, nil
}
