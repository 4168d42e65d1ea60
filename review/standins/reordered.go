package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"ragwortwall/platform/standin"
)

// Figures of the case "reordered".
const (
	reorderMove    = 8 * time.Second
	crashAfter     = 3 * time.Second         // of the first order
	lost           = 8                       // of the 48 servers of the service: share 0.167
	entryGoneAfter = 3600 * time.Millisecond // of the crash: three heartbeats
	drainAfter     = 2 * time.Second         // of "rolled_back"
	leaveAfter     = 2500 * time.Millisecond // of the entry "draining"
	againAfter     = 500 * time.Millisecond  // of the leaving of the last server
	operatorPause  = 5 * time.Millisecond    // between two calls of the operator to the store
	herdAfter      = time.Second             // of "completed"
	herdDown       = 2 * time.Second
	reorderDay     = 104 * time.Second
)

// runReordered rolls out a good version of the model servers. Some of its servers crash, so that it is
// rolled back. Once they have left, the operator writes a new desired state and the same order again. It is
// completed. Then half of the instances are killed. Streams must still be served.
func runReordered(w *world) (bool, error) {
	w.models.events, w.models.eventInterval, w.models.prefill = draftEvents, draftInterval, draftPrefill
	w.store.Configure(standin.Configuration{Version: 1, Keys: []string{standin.Key}})
	o := &orders{world: w}
	defer o.close()
	zones := []string{"amman-a", "amman-b", "amman-c"}
	old, err := w.startModels(0, 3*modelsOfEach, zones, "v1", 0)
	if err != nil {
		return false, err
	}
	if _, err := o.startGroup(zones, "v1", goodVersion); err != nil {
		return false, err
	}
	if err := w.startInstances("amman-a", "amman-b", "amman-c", "amman-a", "amman-a", "amman-b"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	begun := time.Now()
	sent := &sentTimes{at: map[string]time.Time{}}
	c := &streamCounts{times: &sentTimes{at: map[string]time.Time{}}}
	end := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { w.sendKeptDrafts(end, c) })
	load.Go(func() { w.sendSheet(end, sent) })
	time.Sleep(time.Second)
	if err := w.playReorder(old, zones); err != nil {
		return false, err
	}
	sleepUntil(begun.Add(reorderDay))
	close(end)
	load.Wait()
	served, all := o.servedShare(sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	w.log("streams: %d of %d served; %d refused, %d broken off in the middle of the answer; orders and reads: %d of %d reached a server", c.served, c.sent, c.refused, c.cut, served, all)
	ofAll := float64(c.served+served) / float64(c.sent+all)
	w.log("streams are served %.3f as often as sent, all requests %.3f", float64(c.served)/float64(c.sent), ofAll)
	return 4*float64(c.served)/float64(c.sent) < ofAll, nil
}

// playReorder plays the roll-out, its repetition and the outage.
func (w *world) playReorder(old []*modelServer, zones []string) error {
	ordered := w.orderRollout(standin.ModelService, "v2", reorderMove)
	fresh, err := w.startModels(100, modelsOfEach, zones, "v2", 0)
	if err != nil {
		return err
	}
	if w.trouble {
		time.AfterFunc(crashAfter, func() { w.loseModels(fresh[:lost]) })
	}
	switch w.awaitOutcome(standin.ModelService, ordered.Add(reorderMove+2*time.Second)) {
	case "completed":
		w.log("the order is completed: the platform stops the %d servers of v1", len(old))
		w.stopModels(old)
		return nil
	case "rolled_back":
	default:
		return fmt.Errorf("the order has no outcome")
	}
	time.Sleep(drainAfter)
	w.drainModels("v2")
	time.Sleep(leaveAfter)
	for _, s := range w.models.running("v2") {
		w.stopModels([]*modelServer{s})
		w.models.remove(s)
	}
	w.log("the servers of v2 have left")
	time.Sleep(againAfter)
	w.store.Configure(standin.Configuration{Version: 2, Keys: []string{standin.Key}})
	w.log("the operator writes version 2 of the desired state")
	time.Sleep(operatorPause)
	w.store.Delete("rollouts", standin.ModelService)
	w.log("the operator deletes the order")
	time.Sleep(operatorPause)
	ordered = w.orderRollout(standin.ModelService, "v2", reorderMove)
	if _, err = w.startModels(200, modelsOfEach, zones, "v2", 0); err != nil {
		return err
	}
	if w.awaitOutcome(standin.ModelService, ordered.Add(reorderMove+2*time.Second)) != "completed" {
		w.log("the second order was not completed")
		return nil
	}
	w.log("the order is completed: the platform stops the %d servers of v1", len(old))
	w.stopModels(old)
	time.Sleep(herdAfter)
	if err := w.killHerd(); err != nil {
		return err
	}
	if w.awaitOutcome(standin.ModelService, time.Now()) == "rolled_back" { // "At `rolled_back`, the new servers drain some seconds later."
		time.Sleep(drainAfter)
		w.drainModels("v2")
	}
	w.recordMoves()
	return nil
}

// recordMoves writes the steps of roll-outs that the instances have logged to the record.
func (w *world) recordMoves() {
	for _, i := range w.instances {
		content, err := os.ReadFile(i.logFile())
		if err != nil {
			continue
		}
		for line := range strings.SplitSeq(string(content), "\n") {
			if strings.Contains(line, "recorded a step of a version move") {
				w.log("log of %s: %s", i.name, line)
			}
		}
	}
}

// killHerd kills the instances that still serve streams, half of all at most, and starts them again.
func (w *world) killHerd() error {
	var herd []*instance
	client := &http.Client{Timeout: draftBudget, Transport: &http.Transport{DisableKeepAlives: true}}
	for n, i := range w.instances {
		status, _, _, _ := w.draftAttempt(client, fmt.Sprintf("%016x", rand.Uint64()), 100_000+n, i, draftEvents-1, draftBudget)
		w.log("%s answers a stream with %d", i.name, status)
		if status == http.StatusOK && len(herd) < len(w.instances)/2 {
			herd = append(herd, i)
		}
	}
	w.log("%d of %d instances get SIGKILL", len(herd), len(w.instances))
	for _, i := range herd {
		i.end()
	}
	time.Sleep(herdDown)
	for _, i := range herd {
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

// loseModels crashes servers. Their entries are removed after three heartbeats. They don't come back: their
// version is taken back before.
func (w *world) loseModels(servers []*modelServer) {
	w.log("%d servers of v2 crash", len(servers))
	for _, s := range servers {
		_ = s.http.Close()
		w.models.remove(s)
	}
	time.Sleep(entryGoneAfter)
	for _, s := range servers {
		w.store.Delete("servers", s.id)
	}
}

// remove forgets a server that has ended.
func (m *models) remove(s *modelServer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.servers, s.address)
}

// drainModels has the servers of a version report that they drain.
func (w *world) drainModels(version string) {
	for _, s := range w.models.running(version) {
		s.register("draining")
	}
}

// running returns the servers of a version that have not ended.
func (m *models) running(version string) []*modelServer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*modelServer
	for _, s := range m.servers {
		if s.version == version {
			all = append(all, s)
		}
	}
	return all
}
