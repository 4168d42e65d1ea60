package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// requester is a requester of a stream. Two requesters of the tenant ask for the same thing.
type requester struct {
	world   *world
	name    string
	body    string
	part    string                  // the last part of its prompt
	nodes   func(try int) *instance // to which its n-th try goes
	ids     []string                // of its tries
	mu      sync.Mutex
	last    int             // id of the last event that it has
	origins map[string]bool // runs whose text it got
	end     string          // what its last try ended with
	cancel  func()          // ends its try
	left    bool
}

// draft is what both requesters ask for.
const draft = "draft the dairy aisle, Arabic and English, in the house style"

func (q *requester) setCancel(cancel func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cancel = cancel
}

// leave makes the requester close its channel for good.
func (q *requester) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.left = true
	if q.cancel != nil {
		q.cancel()
	}
}

func (q *requester) hasLeft() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.left
}

// retryPause is a requester's pause between two tries.
const retryPause = 1500 * time.Millisecond

// run asks until the stream is complete, in a few tries.
func (q *requester) run(tries int) {
	q.origins = map[string]bool{}
	for try := range tries {
		if try > 0 {
			time.Sleep(retryPause)
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		q.mu.Lock()
		q.ids = append(q.ids, id)
		q.mu.Unlock()
		node := q.nodes(try)
		q.world.record("%s sends request %s to %s, Last-Event-Id %d", q.name, id, node.name, q.last)
		q.end = q.ask(id, node.front)
		q.world.record("%s: request %s ended: %s; it has %d events", q.name, id, q.end, q.last)
		if q.last >= streamEvents || q.hasLeft() {
			return
		}
	}
}

// sentIDs returns the ids of its requests.
func (q *requester) sentIDs() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]string(nil), q.ids...)
}

// ask sends one request and reads the events.
func (q *requester) ask(id, address string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	q.setCancel(cancel)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/bopu901/2f", strings.NewReader(q.body))
	if err != nil {
		return err.Error()
	}
	r.Host = host
	r.Header.Set("Ragwortwall-Request-Id", id)
	r.Header.Set("Ragwortwall-Model", "m")
	r.Header.Set("Ragwortwall-Token-Usage", "1460,1280")
	r.Header.Set("Ragwortwall-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,"+q.part+":250")
	r.Header.Set("Ragwortwall-Request-Deadline", "25000")
	r.Header.Set("Authorization", "Bearer "+key)
	if q.last > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(q.last))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "status " + strconv.Itoa(response.StatusCode)
	}
	lines := bufio.NewScanner(response.Body)
	event := 0
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			event, _ = strconv.Atoi(text)
		}
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			q.got(event, text)
		}
	}
	if lines.Err() != nil {
		return "broken channel: " + lines.Err().Error()
	}
	return "complete"
}

// got records an event.
func (q *requester) got(event int, text string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	origin := text[strings.LastIndexByte(text, ' ')+1:]
	if !q.origins[origin] {
		q.origins[origin] = true
		q.world.record("%s gets event %d: %q", q.name, event, text)
	}
	q.last = event
}

// playMemory lets two requesters ask for the same thing at the same time, and kills the instance
// that serves one of them together with the other instance of its zone. Its requester goes on
// there with Last-Event-Id. The rule is broken if a server ran one's request from the memory of
// the other's.
func playMemory(w *world) (bool, error) {
	zones := []string{"amman-a", "amman-b", "amman-c"}
	if err := w.addInstances(map[string]int{"amman-a": 3, "amman-b": 2, "amman-c": 1}, zones); err != nil {
		return false, err
	}
	configure(w.store, []route{{name: "bopu901", kind: "stream", service: modelService, timeoutMS: 25000, aimMS: 4500, attempts: 5, gapMS: 700}})
	servers, err := startModels(w, zones, 2)
	if err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // the instances find each other
	first := &requester{world: w, name: "requester 1", body: draft, part: "e4402b7d", nodes: func(int) *instance { return w.get("front-amman-a-1") }}
	// The second one's zone has two instances: a later try reaches the other one.
	second := &requester{world: w, name: "requester 2", body: draft, part: "e4402b7d", nodes: func(try int) *instance { return w.get(fmt.Sprintf("front-amman-b-%d", 1+min(1, try))) }}
	var both sync.WaitGroup
	both.Go(func() { first.run(3) })
	time.Sleep(time.Second)
	both.Go(func() { second.run(5) })
	time.Sleep(3 * time.Second)
	if w.trouble {
		killed := []*instance{w.get("front-amman-b-1"), w.get("front-amman-b-2")}
		for _, i := range killed {
			i.kill()
		}
		w.record("killed front-amman-b-1 and front-amman-b-2")
		time.Sleep(300 * time.Millisecond)
		for _, i := range killed {
			if err := i.start(); err != nil {
				return false, err
			}
		}
		w.record("both are started again")
	}
	both.Wait()
	if first.last < streamEvents || !w.trouble && second.last < streamEvents {
		return false, fmt.Errorf("the streams are incomplete: %d and %d events", first.last, second.last)
	}
	return foreign(w, servers, first, second) || foreign(w, servers, second, first), nil
}

// foreign reports whether a server ran a request of one requester from the memory of one of the
// other.
func foreign(w *world, servers *models, one, other *requester) bool {
	found := false
	for _, request := range servers.got() {
		if request.from != "" && contains(one.ids, request.id) && contains(other.ids, request.from) {
			w.record("MIXED: request %s of %s went on from the memory of request %s of %s", request.id, one.name, request.from, other.name)
			found = true
		}
	}
	return found
}

func contains(list []string, text string) bool {
	for _, entry := range list {
		if entry == text {
			return true
		}
	}
	return false
}
