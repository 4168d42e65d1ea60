package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortwall/platform/standin"
)

// Bounds of roll-outs on the site wadi-script.
const (
	rollbackBound = 5 * time.Second // rollback_ms
	badAnswers    = 50              // from which rollbackBound counts
)

// rolloutReport is what reached a service during a roll-out.
type rolloutReport struct {
	total, bad int       // requests, and those that the bad version got, until the time budget
	answers    int       // bad answers, also later
	fiftieth   time.Time // when the 50th bad answer ended
	late       int       // requests that the bad version got although they were sent too late
	latest     time.Duration
}

// reached is a request that reached a server.
type reached struct {
	at, answered time.Time
	id           string
	badVersion   bool
	badAnswer    bool
}

// judgeRollout applies both halves of the rule EXPOSURE.
func (w *world) judgeRollout(ordered time.Time, budget time.Duration, all []reached, sent *sentTimes) bool {
	var r rolloutReport
	var answers []time.Time
	for _, a := range all {
		if a.badVersion && a.badAnswer && !a.answered.IsZero() {
			answers = append(answers, a.answered)
		}
		if a.at.Before(ordered) || a.at.After(ordered.Add(budget)) {
			continue
		}
		if r.total++; a.badVersion {
			r.bad++
		}
	}
	r.answers = len(answers)
	allowed := exposureShare*float64(r.total) + exposureSlack
	w.log("%d requests reached the service within the time budget of %s; %d of them the bad version, allowed %.0f", r.total, budget, r.bad, allowed)
	if len(answers) >= badAnswers {
		r.fiftieth = nthTime(answers, badAnswers)
		for _, a := range all {
			at, ok := sent.get(a.id)
			if by := at.Sub(r.fiftieth) - rollbackBound; ok && a.badVersion && by > 0 {
				r.late++
				r.latest = max(r.latest, by)
			}
		}
		w.log("the bad version gave its 50th bad answer %.3f s after the order; it got %d requests that were sent later than %s after that, the last one by %.3f s",
			r.fiftieth.Sub(ordered).Seconds(), r.late, rollbackBound, r.latest.Seconds())
	}
	w.log("%d bad answers altogether", r.answers)
	return float64(r.bad) > allowed || r.late > 0
}

// nthTime returns the n-th earliest time, counted from 1.
func nthTime(times []time.Time, n int) time.Time {
	sorted := append([]time.Time{}, times...)
	for i := range n {
		for j := i + 1; j < len(sorted); j++ {
			if sorted[j].Before(sorted[i]) {
				sorted[i], sorted[j] = sorted[j], sorted[i]
			}
		}
	}
	return sorted[n-1]
}

// order writes the order of a roll-out, and returns when the store has accepted it.
func (w *world) orderRollout(service, version string, budget time.Duration) time.Time {
	w.store.Put("rollouts", service, map[string]any{"service": service, "target": version, "duration_s": int(budget.Seconds())})
	w.log("the operator orders %s of %s, within %s", version, service, budget)
	return time.Now()
}

// awaitOutcome waits until the status of an order is one that ends it, and returns that; empty if
// none comes until the given time.
func (w *world) awaitOutcome(service string, until time.Time) string {
	for time.Now().Before(until) {
		status := w.store.Status("rollouts", service)
		for _, outcome := range []string{"completed", "rolled_back"} {
			if strings.Contains(status, outcome) {
				w.log("status of the order: %s", status)
				return outcome
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.log("status of the order: %s", w.store.Status("rollouts", service))
	return ""
}

// Figures of the case "slowtokens".
const (
	draftGap      = 106 * time.Millisecond // between two streams: 9.4 a second, as on the users' sheet
	draftEvents   = 130
	draftInterval = 25 * time.Millisecond
	slowerBy      = 4
	draftPrefill  = 400 * time.Millisecond
	draftBudget   = 25 * time.Second
	draftMove     = 40 * time.Second
	modelsOfEach  = 12
)

// runSlowTokens rolls out a version of the model servers whose answers begin in time and come four
// times as slowly. It is bad, and must not get more than its share of the requests.
func runSlowTokens(w *world) (bool, error) {
	w.store.Configure(standin.Configuration{Version: 1, Keys: []string{standin.Key}})
	interval := draftInterval
	if w.trouble {
		interval *= slowerBy
	}
	return w.rollOutModels(interval, "")
}

// rollOutModels rolls out v2 of the model servers, and reports whether it got more requests than a bad
// version may. interval and slowPath are those of its servers.
func (w *world) rollOutModels(interval time.Duration, slowPath string) (bool, error) {
	w.models.events, w.models.eventInterval, w.models.prefill = draftEvents, draftInterval, draftPrefill
	zones := []string{"amman-a", "amman-b", "amman-c"}
	old, err := w.startModels(0, modelsOfEach, zones, "v1", 0)
	if err != nil {
		return false, err
	}
	if err := w.startInstances(zones...); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	c := &streamCounts{times: &sentTimes{at: map[string]time.Time{}}}
	end := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { w.sendKeptDrafts(end, c) })
	time.Sleep(5 * time.Second)
	ordered := w.orderRollout(standin.ModelService, "v2", draftMove)
	fresh, err := w.startModels(100, modelsOfEach, zones, "v2", interval)
	if err != nil {
		return false, err
	}
	for _, s := range fresh {
		s.slowPath = slowPath
	}
	w.log("%d servers of v2 have started", len(fresh))
	switch w.awaitOutcome(standin.ModelService, ordered.Add(draftMove+5*time.Second)) {
	case "completed": // "At `completed`, the old servers stop immediately, without draining."
		w.stopModels(old)
	case "rolled_back":
		time.Sleep(3 * time.Second)
		for _, s := range fresh {
			s.register("draining")
		}
	}
	sleepUntil(ordered.Add(draftMove + 12*time.Second))
	close(end)
	load.Wait()
	w.models.mu.Lock()
	defer w.models.mu.Unlock()
	var all []reached
	took := map[string][]float64{}
	for _, run := range w.models.runs {
		bad := run.bad || interval > draftInterval
		all = append(all, reached{at: run.at, answered: run.ended, id: run.id, badVersion: w.trouble && run.version == "v2", badAnswer: bad})
		if !run.ended.IsZero() {
			kind := run.version
			if run.bad {
				kind += " on the slow route"
			}
			took[kind] = append(took[kind], run.ended.Sub(run.at).Seconds())
		}
	}
	for kind, times := range took {
		w.log("%s: %d whole answers, %.2f s each on average", kind, len(times), mean(times))
	}
	w.log("streams: %d of %d served; %d refused, %d broken off in the middle of the answer", c.served, c.sent, c.refused, c.cut)
	return w.judgeRollout(ordered, draftMove, all, c.times), nil
}

func mean(all []float64) float64 {
	sum := 0.0
	for _, x := range all {
		sum += x
	}
	return sum / max(1, float64(len(all)))
}

// Figures of the cases "forgotten" and "laterbad", as on the users' sheet.
const (
	sheetGap      = 11850 * time.Microsecond // between two requests: 84.4 a second
	lookShare     = 24.1 / 84.4              // of them are reads, the others orders
	sheetWork     = 60 * time.Millisecond
	releaseErrors = 0.004 // failures of a good version
	lookErrors    = 0.14
)

// goodVersion answers as a good version of the order servers does.
func goodVersion(r *http.Request) orderBehaviour {
	share := releaseErrors
	if r.Method == http.MethodGet {
		share = lookErrors
	}
	return orderBehaviour{work: sheetWork/2 + rand.N(sheetWork), failed: rand.Float64() < share}
}

// startGroup starts a server of a version in each zone.
func (o *orders) startGroup(zones []string, version string, behave func(*http.Request) orderBehaviour) ([]*orderServer, error) {
	var group []*orderServer
	for _, zone := range zones {
		s, err := o.startBehaving("i-"+version+"-"+zone, zone, version, behave)
		if err != nil {
			return nil, err
		}
		group = append(group, s)
	}
	return group, nil
}

// stopNow ends servers without draining.
func stopNow(servers []*orderServer) {
	for _, s := range servers {
		s.orders.world.store.Delete("servers", s.id)
		_ = s.http.Close()
	}
}

// sendSheet sends orders and reads to the instances in turn until the channel is closed.
func (w *world) sendSheet(end <-chan struct{}, times *sentTimes) {
	ticker := time.NewTicker(sheetGap)
	defer ticker.Stop()
	var sent sync.WaitGroup
	defer sent.Wait()
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		sent.Go(func() {
			id := fmt.Sprintf("%016x", rand.Uint64())
			times.add(id)
			method, path := http.MethodPost, "/orders/x"
			if rand.Float64() < lookShare {
				method, path = http.MethodGet, fmt.Sprintf("/looks/%d", n)
			}
			w.sendPlain(id, method, path, w.instances[n%len(w.instances)])
		})
	}
}

// sendPlain sends an order or a read.
func (w *world) sendPlain(id, method, path string, i *instance) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("release " + id)
	}
	r, err := http.NewRequest(method, "http://"+i.address(frontPort)+path, body)
	if err != nil {
		return
	}
	r.Host = standin.Host
	r.Header.Set("Ragwortwall-Request-Id", id)
	r.Header.Set("Ragwortwall-Request-Deadline", "4000")
	r.Header.Set("Authorization", "Bearer "+standin.Key)
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		w.log("%s %s %s at %s: no answer (%v)", method, path, id, i.name, err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		w.log("%s %s %s at %s: status %d", method, path, id, i.name, response.StatusCode)
	}
}

// reachedOrders returns what reached the order servers.
func (o *orders) reachedOrders(bad string) []reached {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make([]reached, 0, len(o.arrivals))
	for _, a := range o.arrivals {
		all = append(all, reached{at: a.at, answered: a.at.Add(sheetWork), id: a.id, badVersion: a.version == bad, badAnswer: a.bad})
	}
	return all
}

// startSheet starts the old version, the instances and the load.
func (w *world) startSheet(o *orders, zones []string) (old []*orderServer, sent *sentTimes, end func(), err error) {
	w.store.Configure(standin.Configuration{Version: 1, Keys: []string{standin.Key}})
	if old, err = o.startGroup(zones, "v1", goodVersion); err != nil {
		return nil, nil, nil, err
	}
	if err := w.startInstances(zones...); err != nil {
		return nil, nil, nil, err
	}
	time.Sleep(2 * time.Second)
	sent = &sentTimes{at: map[string]time.Time{}}
	done := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { w.sendSheet(done, sent) })
	time.Sleep(3 * time.Second)
	return old, sent, func() {
		close(done)
		load.Wait()
	}, nil
}

// Figures of the case "laterbad".
const (
	laterMove  = 90 * time.Second
	laterAfter = 0.8 // of laterMove, from the order
	laterShare = 0.1 // of the orders fail then
)

// runLaterBad rolls out a version of the order servers that turns bad late: one order in ten fails.
// Once it has given 50 bad answers it must soon get no more requests.
func runLaterBad(w *world) (bool, error) {
	o := &orders{world: w}
	defer o.close()
	zones := []string{"amman-a", "amman-b", "amman-c"}
	old, sent, end, err := w.startSheet(o, zones)
	if err != nil {
		return false, err
	}
	ordered := w.orderRollout(standin.OrderService, "v2", laterMove)
	turnsBad := ordered.Add(time.Duration(laterAfter * float64(laterMove)))
	fresh, err := o.startGroup(zones, "v2", func(r *http.Request) orderBehaviour {
		b := goodVersion(r)
		if w.trouble && r.Method == http.MethodPost && time.Now().After(turnsBad) && rand.Float64() < laterShare {
			b.failed, b.bad = true, true
		}
		return b
	})
	if err != nil {
		return false, err
	}
	switch w.awaitOutcome(standin.OrderService, ordered.Add(laterMove+2*time.Second)) {
	case "completed":
		stopNow(old)
	case "rolled_back":
		time.Sleep(3 * time.Second)
		for _, s := range fresh {
			s.register("draining")
		}
	}
	sleepUntil(ordered.Add(laterMove + 10*time.Second))
	end()
	var counts [2]int
	all := o.reachedOrders("v2")
	for _, a := range all {
		if a.badVersion && a.at.Before(turnsBad) {
			counts[0]++
		} else if a.badVersion {
			counts[1]++
		}
	}
	w.log("v2 got %d requests before it turned bad %.1f s after the order, and %d later", counts[0], turnsBad.Sub(ordered).Seconds(), counts[1])
	w.judgeRollout(ordered, laterMove, all, sent)
	return w.lateRequests(all, sent) > 0, nil
}

// lateRequests returns how many requests the bad version got that were sent later than rollback_ms
// after its 50th bad answer.
func (w *world) lateRequests(all []reached, sent *sentTimes) int {
	var answers []time.Time
	for _, a := range all {
		if a.badVersion && a.badAnswer {
			answers = append(answers, a.answered)
		}
	}
	if len(answers) < badAnswers {
		return 0
	}
	bound := nthTime(answers, badAnswers).Add(rollbackBound)
	late := 0
	for _, a := range all {
		if at, ok := sent.get(a.id); ok && a.badVersion && at.After(bound) {
			late++
		}
	}
	return late
}

// Figures of the case "forgotten".
const (
	forgottenMove = 12 * time.Second // as in the example of the wire
	nextOrder     = time.Second      // after the status "rolled_back"
	newDrain      = 8 * time.Second  // the new servers drain some seconds later
	fourTimes     = 4
)

// runForgotten rolls out a version of the order servers that is several times slower. It is rolled back, and the
// operator orders the next version. The bad one must not get more than its share of the requests.
func runForgotten(w *world) (bool, error) {
	o := &orders{world: w}
	defer o.close()
	zones := []string{"amman-a", "amman-b", "amman-c"}
	_, sent, end, err := w.startSheet(o, zones)
	if err != nil {
		return false, err
	}
	ordered := w.orderRollout(standin.OrderService, "v2", forgottenMove)
	bad, err := o.startGroup(zones, "v2", func(r *http.Request) orderBehaviour {
		b := goodVersion(r)
		b.work, b.bad = b.work*fourTimes, true
		return b
	})
	if err != nil {
		return false, err
	}
	if w.awaitOutcome(standin.OrderService, ordered.Add(forgottenMove)) != "rolled_back" {
		return false, fmt.Errorf("the bad version was not rolled back")
	}
	rolledBack := time.Now()
	time.AfterFunc(newDrain, func() {
		for _, s := range bad {
			s.register("draining")
		}
	})
	sleepUntil(rolledBack.Add(nextOrder))
	if w.trouble {
		w.orderRollout(standin.OrderService, "v3", forgottenMove)
		if _, err := o.startGroup(zones, "v3", goodVersion); err != nil {
			return false, err
		}
	}
	sleepUntil(ordered.Add(forgottenMove + rollbackBound))
	end()
	return w.judgeRollout(ordered, forgottenMove, o.reachedOrders("v2"), sent), nil
}

// Figures of the case "emptied".
const (
	emptiedMove  = 12 * time.Second        // as in the example of the wire
	emptiedAfter = 4500 * time.Millisecond // of the order
	newLeave     = 5 * time.Second         // the emptied servers exit, after their last answers
	dayLength    = 75 * time.Second
)

// runEmptied rolls out a good version of the model servers. An autoscaler empties its servers and takes
// them away. Both kinds of streams must still be served, by whatever servers there are.
func runEmptied(w *world) (bool, error) {
	w.models.events, w.models.eventInterval, w.models.prefill = draftEvents, draftInterval, draftPrefill
	o := &orders{world: w}
	defer o.close()
	zones := []string{"amman-a", "amman-b", "amman-c"}
	old, err := w.startModels(0, 3*modelsOfEach, zones, "v1", 0)
	if err != nil {
		return false, err
	}
	_, sent, endOrders, err := w.startSheet(o, zones)
	if err != nil {
		return false, err
	}
	begun := time.Now()
	c := &streamCounts{times: &sentTimes{at: map[string]time.Time{}}}
	end := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { w.sendKeptDrafts(end, c) })
	time.Sleep(4 * time.Second)
	ordered := w.orderRollout(standin.ModelService, "v2", emptiedMove)
	fresh, err := w.startModels(100, modelsOfEach, zones, "v2", 0)
	if err != nil {
		return false, err
	}
	w.log("%d servers of v2 have started, beside %d of v1", len(fresh), len(old))
	sleepUntil(ordered.Add(emptiedAfter))
	if w.trouble {
		w.log("the %d servers of v2, of %d of the service, are emptied and taken away", len(fresh), len(fresh)+len(old))
		for _, s := range fresh {
			s.register("draining")
		}
		time.AfterFunc(newLeave, func() { w.stopModels(fresh) })
	}
	outcome := w.awaitOutcome(standin.ModelService, ordered.Add(emptiedMove+5*time.Second))
	if outcome == "completed" { // "At `completed`, the old servers stop immediately, without draining."
		w.log("the order is completed: the platform stops the %d servers of v1", len(old))
		w.stopModels(old)
	}
	sleepUntil(begun.Add(dayLength))
	close(end)
	load.Wait()
	endOrders()
	served, all := o.servedShare(sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	w.log("streams: %d of %d served; %d refused, %d broken off in the middle of the answer; orders and reads: %d of %d reached a server", c.served, c.sent, c.refused, c.cut, served, all)
	ofAll := float64(c.served+served) / float64(c.sent+all)
	w.log("streams are served %.3f as often as sent, all requests %.3f", float64(c.served)/float64(c.sent), ofAll)
	return 4*float64(c.served)/float64(c.sent) < ofAll, nil
}

// startModels starts model servers of a version, with the time between their events; the usual one if
// zero.
func (w *world) startModels(first, count int, zones []string, version string, interval time.Duration) ([]*modelServer, error) {
	var all []*modelServer
	for n := range count {
		s, err := w.models.startVersion(first+n, zones[n%len(zones)], "127.0.0.1:0", version, interval)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// stopModels ends servers without draining.
func (w *world) stopModels(servers []*modelServer) {
	for _, s := range servers {
		w.store.Delete("servers", s.id)
		_ = s.http.Close()
	}
}

// servedShare returns how many orders and reads reached a server, of all that were sent.
func (o *orders) servedShare(sent *sentTimes) (served, all int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := map[string]bool{}
	for _, a := range o.arrivals {
		ids[a.id] = true
	}
	sent.mu.Lock()
	defer sent.mu.Unlock()
	return len(ids), len(sent.at)
}

// streamCounts counts the ends of streams.
type streamCounts struct {
	times *sentTimes // of each attempt

	mu                         sync.Mutex
	sent, served, refused, cut int
}

// sendKeptDrafts sends streams to the instances in turn until the channel is closed, on kept
// channels.
func (w *world) sendKeptDrafts(end <-chan struct{}, c *streamCounts) {
	client := &http.Client{Timeout: draftBudget, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(draftGap)
	defer ticker.Stop()
	var sent sync.WaitGroup
	defer sent.Wait()
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		sent.Go(func() { w.sendKeptDraft(client, n, c) })
	}
}

// sendKeptDraft sends a stream. After a refusal or a broken channel it is sent once more, to another
// instance, as the sheet tells of requesters.
func (w *world) sendKeptDraft(client *http.Client, n int, c *streamCounts) {
	begun, last := time.Now(), 0
	c.mu.Lock()
	c.sent++
	c.mu.Unlock()
	for attempt := range 2 {
		i := w.instances[(n+attempt)%len(w.instances)]
		left := draftBudget - time.Since(begun)
		id := fmt.Sprintf("%016x", rand.Uint64())
		c.times.add(id)
		status, events, retry, err := w.draftAttempt(client, id, n, i, last, left)
		last += events
		c.mu.Lock()
		switch {
		case status == http.StatusOK && err == nil && last == draftEvents:
			c.served++
		case status == http.StatusOK:
			c.cut++
		default:
			c.refused++
		}
		c.mu.Unlock()
		if last == draftEvents {
			return
		}
		time.Sleep(min(retry, left/3))
	}
}

// draftAttempt is one attempt of sendKeptDraft. It returns how many events came.
func (w *world) draftAttempt(client *http.Client, id string, n int, i *instance, last int, left time.Duration) (status, events int, retry time.Duration, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+i.address(frontPort)+w.draftPath(n), strings.NewReader(fmt.Sprintf("letter aisle %d", n)))
	if err != nil {
		return 0, 0, 0, err
	}
	r.Host = standin.Host
	for name, value := range map[string]string{
		"Ragwortwall-Request-Id": id, "Ragwortwall-Request-Deadline": strconv.FormatInt(left.Milliseconds(), 10),
		"Authorization": "Bearer " + standin.Key, "Ragwortwall-Model": standin.ModelName, "Ragwortwall-Token-Usage": "1200,1040",
		"Ragwortwall-Prompt-Prefix": "5c1e07a2:200," + fmt.Sprintf("%08x", 0xe0000000+n) + ":1000",
	} {
		r.Header.Set(name, value)
	}
	if last > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	response, err := client.Do(r)
	if err != nil {
		w.log("stream %s at %s: no answer (%v)", id, i.name, err)
		return 0, 0, 100 * time.Millisecond, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	events = strings.Count(string(answer), "id: ")
	retry = 100 * time.Millisecond
	if after, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
		retry = time.Duration(after * float64(time.Second))
	}
	if last+events != draftEvents {
		w.log("stream %s at %s: status %d, %d events after event %d, end: %v, Retry-After %s: %.160s", id, i.name, response.StatusCode, events, last, err, retry, strings.TrimSpace(string(answer)))
	}
	return response.StatusCode, events, retry, err
}

// Figures of the case "oneroute".
const (
	layoutsEvery = 10 // of so many streams one is on the other route: 0.965 of 9.4 a second
	slowerOnPath = 3
	layoutsPath  = "/layouts/"
)

// draftPath returns the path of the n-th stream.
func (w *world) draftPath(n int) string {
	if w.twoRoutes && n%layoutsEvery == 0 {
		return layoutsPath + "2f"
	}
	return "/drafts/2f"
}

// configureTwoRoutes writes a desired state with two routes to the model servers.
func (w *world) configureTwoRoutes() {
	w.twoRoutes = true
	route := func(name string) map[string]any {
		return map[string]any{
			"name": name, "host": standin.Host, "path_prefix": "/" + name + "/", "kind": "stream", "timeout_ms": 25000, "target_latency_ms": 4500,
			"priority": 1, "service": standin.ModelService, "max_attempts": 5, "allow_anonymous": false, "sticky": true,
			"resume_streams": true, "target_gap_ms": 700,
		}
	}
	w.store.Put("config", "main", map[string]any{
		"version": 1, "routes": []any{route("drafts"), route("layouts")},
		"services": []any{map[string]any{"name": standin.ModelService, "health_check_path": "/healthz", "max_connections": 150, "engine": map[string]any{
			"slots": 12, "kv_tokens": 55000, "backups": true, "moves": true, "handle_ttl_s": 4.0, "models": []any{map[string]any{"name": standin.ModelName}},
		}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": standin.Tenant, "api_keys": []string{standin.Key}}},
	})
}

// runOneRoute rolls out a version of the model servers that is three times slower on one of its two routes.
// It is bad, and must not get more than its share of the requests.
func runOneRoute(w *world) (bool, error) {
	w.configureTwoRoutes()
	slowPath := ""
	if w.trouble {
		slowPath = layoutsPath
	}
	return w.rollOutModels(0, slowPath)
}
