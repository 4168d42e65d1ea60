package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortwall/platform/standin"
)

// Figures of the case "held".
const (
	heldRate      = 30 // streams a second
	heldEvents    = 60
	heldInterval  = 20 * time.Millisecond
	heldPrefill   = 600 * time.Millisecond
	beforeFault   = 6 * time.Second
	machinesDown  = 900 * time.Millisecond
	serversCrash  = 500 * time.Millisecond // after the first stream that reaches a server again
	serversDown   = 1200 * time.Millisecond
	recoveryBound = 15 * time.Second // recovery_s of the site
	measuredFor   = 8 * time.Second
	heldBudget    = 25 * time.Second
)

// streamRecord is the end of one stream.
type streamRecord struct {
	sent   time.Time
	served bool
	status int
}

// runHeld kills all instances. They start again, and soon after that the model servers of all
// zones crash and start again too. All prompts begin with the same part. Callers must be
// served again within recovery_s.
func runHeld(w *world) (bool, error) {
	w.models.events, w.models.eventInterval, w.models.prefill = heldEvents, heldInterval, heldPrefill
	w.store.Configure(standin.Configuration{Version: 1, Keys: []string{standin.Key}})
	zones := []string{"amman-a", "amman-b", "amman-c", "amman-d", "amman-e"}
	for n := range 3 * len(zones) {
		if err := w.models.start(n, zones[n%len(zones)]); err != nil {
			return false, err
		}
	}
	if err := w.startInstances(zones...); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var records []streamRecord
	end := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		w.sendStreams(end, func(r streamRecord) {
			mu.Lock()
			defer mu.Unlock()
			records = append(records, r)
		})
	})
	begun := time.Now()
	time.Sleep(beforeFault)
	faultAt := time.Now()
	back := faultAt.Add(machinesDown)
	if w.trouble {
		var err error
		if back, err = w.killAll(); err != nil {
			return false, err
		}
	}
	sleepUntil(back.Add(recoveryBound + measuredFor))
	close(end)
	load.Wait()
	share := func(from, to time.Time) (served, all int) {
		for _, r := range records {
			if r.sent.Before(from) || !r.sent.Before(to) {
				continue
			}
			if all++; r.served {
				served++
			}
		}
		return served, all
	}
	servedBefore, before := share(begun, faultAt.Add(-3*time.Second))
	served, all := share(back.Add(recoveryBound), back.Add(recoveryBound+measuredFor))
	w.log("%d of %d streams served that were sent before the fault; %d of %d served that were sent %s to %s after the instances were back", servedBefore, before, served, all, recoveryBound, recoveryBound+measuredFor)
	if 4*servedBefore < before || all == 0 {
		return false, fmt.Errorf("too few streams were served before the fault")
	}
	return 4*served < all, nil
}

// killAll kills all instances and starts them again, and has all model servers crash while they read
// the first prompts after that. It returns when the instances were back.
func (w *world) killAll() (time.Time, error) {
	w.log("all instances get SIGKILL")
	for _, i := range w.instances {
		i.end()
	}
	time.Sleep(machinesDown)
	runs := w.models.begunRuns()
	for _, i := range w.instances {
		if err := i.start(); err != nil {
			return time.Time{}, err
		}
	}
	back := time.Now()
	for w.models.begunRuns() == runs && time.Since(back) < 5*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	w.log("a stream reaches a server again, %.3f s after the instances are back", time.Since(back).Seconds())
	time.Sleep(serversCrash)
	w.log("all model servers crash, for %s", serversDown)
	if err := w.models.crashAll(serversDown); err != nil {
		return back, err
	}
	w.log("all model servers have started again")
	return back, nil
}

// begunRuns returns how many runs have begun.
func (m *models) begunRuns() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.begun)
}

// sendStreams sends different streams to the instances in turn until the channel is closed.
func (w *world) sendStreams(end <-chan struct{}, done func(streamRecord)) {
	ticker := time.NewTicker(time.Second / heldRate)
	defer ticker.Stop()
	var sent sync.WaitGroup
	defer sent.Wait()
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		sent.Go(func() { done(w.sendStream(n)) })
	}
}

// sendStream sends one stream. After a broken channel or a refusal it is sent once more, to another
// instance.
func (w *world) sendStream(n int) streamRecord {
	r := streamRecord{sent: time.Now()}
	for attempt := range 2 {
		var retry time.Duration
		r.status, r.served, retry = w.streamAttempt(n, w.instances[(n+attempt)%len(w.instances)])
		if r.served {
			return r
		}
		time.Sleep(min(retry, heldBudget/3))
	}
	return r
}

func (w *world) streamAttempt(n int, i *instance) (status int, served bool, retry time.Duration) {
	retry = 100 * time.Millisecond
	body := fmt.Sprintf("letter aisle %d", n)
	r, err := http.NewRequest(http.MethodPost, "http://"+i.address(frontPort)+"/drafts/2f", strings.NewReader(body))
	if err != nil {
		return 0, false, retry
	}
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	r.Host = standin.Host
	for name, value := range map[string]string{
		"Ragwortwall-Request-Id": id, "Ragwortwall-Request-Deadline": strconv.FormatInt(heldBudget.Milliseconds(), 10),
		"Authorization": "Bearer " + standin.Key, "Ragwortwall-Model": standin.ModelName, "Ragwortwall-Token-Usage": "1200,480",
		"Ragwortwall-Prompt-Prefix": "5c1e07a2:200," + fmt.Sprintf("%08x", 0xe0000000+n) + ":1000",
	} {
		r.Header.Set(name, value)
	}
	client := http.Client{Timeout: heldBudget, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		w.log("stream %s at %s: no answer (%v)", id, i.name, err)
		return 0, false, retry
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	events := strings.Count(string(answer), "id: ")
	if after, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
		retry = time.Duration(after * float64(time.Second))
	}
	served = response.StatusCode == http.StatusOK && err == nil && events == heldEvents
	if !served {
		w.log("stream %s at %s: status %d, %d events, %v, Retry-After %s: %.150s", id, i.name, response.StatusCode, events, err, retry, strings.TrimSpace(string(answer)))
	}
	return response.StatusCode, served, retry
}
