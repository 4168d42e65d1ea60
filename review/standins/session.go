package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortwall/platform/standin"
)

// Figures of the case "session": generations of 130 events, as on the users' sheet, two at a time
// in each session.
const (
	sessions         = 6
	streamEvents     = 130
	streamInterval   = 35 * time.Millisecond
	killAfter        = 1500 * time.Millisecond // the beginning of the last stream
	restartAfter     = 500 * time.Millisecond
	requesterRetry   = 100 * time.Millisecond // of the first requester of a session; the second one waits longer
	secondRetry      = 250 * time.Millisecond
	streamTimeBudget = 25 * time.Second
)

// runSession plays two generations at a time in each session, whose prompts end with the part of
// the session. The instance that relays them is killed; the requesters resume them at the
// others. A server must not go on with one from the memory of the other.
func runSession(w *world) (bool, error) {
	w.models.events, w.models.eventInterval = streamEvents, streamInterval
	w.store.Configure(standin.Configuration{Version: 1, Keys: []string{standin.Key}})
	zones := []string{"amman-a", "amman-b", "amman-c"}
	for n := range 2 * len(zones) {
		if err := w.models.start(n, zones[n%len(zones)]); err != nil {
			return false, err
		}
	}
	if err := w.startInstances(zones...); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the instances have found each other
	var running sync.WaitGroup
	var mu sync.Mutex
	foreignEvents, unfinished := 0, 0
	for session := range sessions {
		for n, question := range []string{"Arabic", "English"} {
			q := requester{
				world: w, pause: requesterRetry + time.Duration(n)*(secondRetry-requesterRetry), part: fmt.Sprintf("5e55%04x", session), body: fmt.Sprintf("session %d: letter the aisle in %s", session, question),
				route: []*instance{w.instances[0], w.instances[1+n], w.instances[2-n]},
			}
			running.Go(func() {
				q.run()
				mu.Lock()
				defer mu.Unlock()
				foreignEvents += q.foreign
				if q.last < streamEvents {
					unfinished++
				}
			})
			time.Sleep(30 * time.Millisecond)
		}
	}
	time.Sleep(killAfter)
	if w.trouble {
		w.log("%s gets SIGKILL", w.instances[0].name)
		w.instances[0].end()
		time.Sleep(restartAfter)
		if err := w.instances[0].start(); err != nil {
			return false, err
		}
	}
	running.Wait()
	w.log("%d requests went on from the memory of another one; requesters got %d events of another generation; %d of %d streams unfinished",
		w.models.foreignMemories(), foreignEvents, unfinished, 2*sessions)
	if !w.trouble && unfinished > 0 {
		return false, fmt.Errorf("streams are unfinished without a disruption")
	}
	return w.models.foreignMemories() > 0, nil
}

// requester sends one generation and resumes it after a broken channel, as PROTOCOL.md tells.
type requester struct {
	world      *world
	pause      time.Duration // before another attempt
	part, body string
	route      []*instance // where the first attempt and the next ones go
	last       int         // event received last
	foreign    int         // events received that are not of this generation
	attempts   int
}

func (q *requester) run() {
	for begun := time.Now(); q.last < streamEvents && time.Since(begun) < streamTimeBudget; time.Sleep(q.pause) {
		target := q.route[min(q.attempts, len(q.route)-1)]
		if q.attempts >= len(q.route) {
			target = q.route[1+q.attempts%2]
		}
		q.attempts++
		if err := q.attempt(target, streamTimeBudget-time.Since(begun)); err != nil {
			q.world.log("requester of %q: %v, has event %d", q.body, err, q.last)
		}
	}
	q.world.log("requester of %q has event %d of %d, %d of them of another generation", q.body, q.last, streamEvents, q.foreign)
}

// attempt sends the request on a new channel and reads the events of the answer.
func (q *requester) attempt(target *instance, left time.Duration) error {
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	r, err := http.NewRequest(http.MethodPost, "http://"+target.address(frontPort)+"/drafts/2f", bytes.NewReader([]byte(q.body)))
	if err != nil {
		return err
	}
	r.Host = standin.Host
	for name, value := range map[string]string{
		"Ragwortwall-Request-Id": id, "Ragwortwall-Request-Deadline": strconv.FormatInt(left.Milliseconds(), 10),
		"Authorization": "Bearer " + standin.Key, "Ragwortwall-Model": standin.ModelName, "Ragwortwall-Token-Usage": "1200,1040",
		"Ragwortwall-Prompt-Prefix": "5c1e07a2:200," + q.part + ":1000",
	} {
		r.Header.Set(name, value)
	}
	if q.last > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(q.last))
	}
	q.world.log("requester of %q sends %s to %s, last event %d", q.body, id, target.name, q.last)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d for %s", response.StatusCode, id)
	}
	own := generation{body: q.body}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		number, isID := strings.CutPrefix(lines.Text(), "id: ")
		if !isID || !lines.Scan() {
			continue
		}
		event, err := strconv.Atoi(number)
		if err != nil || event != q.last+1 {
			return fmt.Errorf("event %q after %d", number, q.last)
		}
		q.last = event
		if lines.Text() != "data: "+own.text(event) {
			if q.foreign++; q.foreign == 1 {
				q.world.log("requester of %q gets event %d of another generation in %s", q.body, event, id)
			}
		}
	}
	return lines.Err()
}
