package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	pairCount = 8   // pairs of requesters that ask for the same thing
	maxTries  = 100 // requesters that are started to find these
	minPairs  = 4   // fewer of them are too few
)

// pair is two requesters that ask for the same thing.
type pair struct{ first, second *requester }

// playRefused lets pairs of requesters ask for the same thing, each second one just after the
// servers of a zone have crashed and are back under new ids, so that they refuse some of the requests
// that are sent to them under their old ones. Such a request goes on to another server. Then the
// instance of the second ones is killed, and they go on at the other one of its zone. The rule is broken
// if a server ran one's request from the memory of the other's.
func playRefused(w *world) (bool, error) {
	const crashed = "amman-c"
	zones := []string{"amman-a", "amman-b", crashed}
	if err := w.addInstances(map[string]int{"amman-a": 3, "amman-b": 2, crashed: 1}, zones); err != nil {
		return false, err
	}
	configure(w.store, []route{{name: "bopu901", kind: "stream", service: modelService, timeoutMS: 25000, aimMS: 4500, attempts: 5, gapMS: 700}})
	servers, err := startModels(w, zones, 4)
	if err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // the instances find each other
	var all sync.WaitGroup
	defer all.Wait()
	pairs := startFirst(w, servers, crashed, &all)
	if len(pairs) < minPairs {
		return false, fmt.Errorf("only %d streams run outside the zone", len(pairs))
	}
	if err := servers.crash(crashed); err != nil {
		return false, err
	}
	time.Sleep(100 * time.Millisecond)
	for n := range pairs {
		p := &pairs[n]
		p.second = &requester{world: w, name: fmt.Sprintf("requester %d b", n+1), body: p.first.body, part: p.first.part, nodes: func(try int) *instance {
			return w.get(fmt.Sprintf("front-amman-b-%d", 1+min(1, try)))
		}}
		all.Go(func() { p.second.run(5) })
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.get("front-amman-b-1").kill()
		w.record("killed front-amman-b-1")
		time.Sleep(300 * time.Millisecond)
		if err := w.get("front-amman-b-1").start(); err != nil {
			return false, err
		}
	}
	all.Wait()
	broken, refused := false, 0
	for _, p := range pairs {
		for _, request := range servers.got() {
			if request.refused && contains(p.second.ids, request.id) {
				refused++
			}
		}
		broken = foreign(w, servers, p.first, p.second) || foreign(w, servers, p.second, p.first) || broken
	}
	w.record("%d requests of the second ones were refused by a server under its new id", refused)
	if refused == 0 {
		return false, fmt.Errorf("no request was refused")
	}
	return broken, nil
}

// startFirst starts requesters that ask for different things, and returns a pair for each whose
// stream and its copy are outside a zone. The others leave.
func startFirst(w *world, servers *models, zone string, all *sync.WaitGroup) []pair {
	var pairs []pair
	for n := 0; n < maxTries && len(pairs) < pairCount; n++ {
		q := &requester{world: w, name: fmt.Sprintf("requester %d a", len(pairs)+1), body: fmt.Sprintf("%s, number %d", draft, n), part: fmt.Sprintf("%08x", rand.Uint32()), nodes: func(int) *instance {
			return w.get(fmt.Sprintf("front-amman-a-%d", 1+n%3))
		}}
		all.Go(func() { q.run(1) })
		time.Sleep(100 * time.Millisecond)
		outside := false
		for _, request := range servers.got() {
			outside = outside || contains(q.sentIDs(), request.id) && request.server != zone && request.copy != zone && request.copy != ""
		}
		if !outside {
			q.leave()
			continue
		}
		pairs = append(pairs, pair{first: q})
	}
	return pairs
}
