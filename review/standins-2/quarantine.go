package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	contact     = 3 * time.Second // contact_ms
	lateRetries = 3               // that the rule allows
	comings     = 3               // of the crashing request after the kill, one after the other
)

// playQuarantine sends a request that crashes each server that begins to run it. Half a second after it
// has crashed the third one, all instances are killed. They start again, and when they have run for
// longer than contact_ms the request comes again, a few times. The rule is broken if it reaches servers
// more than three times then.
func playQuarantine(w *world) (bool, error) {
	zones := []string{"amman-a", "amman-b", "amman-c"}
	if err := w.addInstances(map[string]int{"amman-a": 3, "amman-b": 2, "amman-c": 1}, zones); err != nil {
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
	come := func() {
		q := &requester{world: w, name: "requester", body: draft + ", " + crashing, part: "e4402b7d", nodes: func(int) *instance { return w.instances[rand.IntN(len(w.instances))] }}
		q.run(1)
	}
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(come)
	third, err := servers.awaitCrashes(3)
	if err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		if err := w.killAll(2 * time.Second); err != nil {
			return false, err
		}
	} else {
		time.Sleep(2 * time.Second)
	}
	inTouch := time.Now().Add(contact)
	if late := third.Add(contact); late.After(inTouch) {
		inTouch = late
	}
	time.Sleep(time.Until(inTouch.Add(2 * time.Second)))
	for range comings {
		come()
		time.Sleep(4 * time.Second)
	}
	reached := 0
	for _, request := range servers.got() {
		if request.at.After(inTouch) && !request.refused {
			reached++
		}
	}
	w.record("the request reached servers %d times later than contact_ms after it had crashed the third one, from instances in touch; the rule allows %d", reached, lateRetries)
	return reached > lateRetries, nil
}
