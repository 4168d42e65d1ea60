package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds of the rule EXPOSURE, as the settings have them.
const (
	exposureShare = 0.1
	exposureSlack = 50
)

// load is the requests that are sent to a route.
type load struct {
	route  string
	method string
	rate   float64 // requests a second
}

// send sends requests until ctx ends, to all instances in turn, each on a new channel.
func (w *world) send(ctx context.Context, loads []load) *sync.WaitGroup {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	var answers sync.WaitGroup
	for _, l := range loads {
		answers.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / l.rate))
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				node := w.instances[n%len(w.instances)]
				answers.Go(func() { sendOne(client, node.front, l) })
			}
		})
	}
	return &answers
}

func sendOne(client *http.Client, address string, l load) {
	var body io.Reader
	if l.method == http.MethodPost {
		body = strings.NewReader(fmt.Sprintf("job %x", rand.Uint64()))
	}
	r, err := http.NewRequest(l.method, fmt.Sprintf("http://%s/%s/%x", address, l.route, rand.Uint32()), body)
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set("Ragwortwall-Request-Id", fmt.Sprintf("%016x", rand.Uint64()))
	r.Header.Set("Ragwortwall-Request-Deadline", "4000")
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
}

// rollout is a deployment with an order service whose version is moved.
type rollout struct {
	*world
	zones    []string
	servers  *orderServers
	duration time.Duration
}

// prepare starts the deployment and the traffic, which ends with the context.
func (o *rollout) prepare(ctx context.Context, routes []route, loads []load) (*sync.WaitGroup, error) {
	if err := o.addInstances(map[string]int{"amman-a": 3, "amman-b": 2, "amman-c": 1}, o.zones); err != nil {
		return nil, err
	}
	configure(o.store, routes)
	if err := o.servers.start(o.zones, "v1"); err != nil {
		return nil, err
	}
	if err := o.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second) // the instances find each other
	answers := o.send(ctx, loads)
	time.Sleep(4 * time.Second)
	return answers, nil
}

// order orders the new version, starts its servers and returns when its time budget is over. It
// reports whether the version got more requests than the rule allows.
func (o *rollout) order() (bool, error) {
	orderedAt := time.Now()
	o.store.Put("rollouts", orderService, map[string]any{"service": orderService, "target": "v2", "duration_s": o.duration.Seconds()})
	o.record("ordered version v2 within %s", o.duration)
	time.Sleep(500 * time.Millisecond)
	if err := o.servers.start(o.zones, "v2"); err != nil {
		return false, err
	}
	for second := 1; time.Since(orderedAt) < o.duration; second++ {
		time.Sleep(time.Until(orderedAt.Add(time.Duration(second) * time.Second)))
		o.report(fmt.Sprintf("second %d", second), time.Now().Add(-time.Second), time.Now())
	}
	all, exposed, failed := o.report("the whole time", orderedAt, orderedAt.Add(o.duration))
	limit := exposureShare*float64(all) + exposureSlack
	o.record("version v2 got %d of %d requests, and failed %d; the rule allows a bad one %.1f", exposed, all, failed, limit)
	return float64(exposed) > limit, nil
}

// report records what the servers ran in a time.
func (o *rollout) report(text string, from, to time.Time) (all, exposed, failed int) {
	for _, r := range o.servers.between(from, to) {
		all++
		if r.version == "v2" {
			exposed++
			if r.failed {
				failed++
			}
		}
	}
	o.record("%s: %d requests ran, %d of them on v2, which failed %d; status %s", text, all, exposed, failed, o.store.Status("rollouts", orderService))
	return all, exposed, failed
}

// sheet is the traffic of the order service by the site's sheet.
var (
	sheetRoutes = []route{
		{name: "pule252", kind: "non_idempotent", service: orderService, timeoutMS: 2000, aimMS: 300, attempts: 1},
		{name: "rapu33", kind: "idempotent", service: orderService, timeoutMS: 2000, aimMS: 300, attempts: 2},
	}
	sheetLoads = []load{{"pule252", http.MethodPost, 60.3}, {"rapu33", http.MethodGet, 24.1}}
)

// playRoute moves the order service to a version that fails each request of one route, which has
// few, and none of the others.
func playRoute(w *world) (bool, error) {
	const small = "tavu718"
	o := &rollout{world: w, zones: []string{"amman-a", "amman-b", "amman-c"}, duration: 40 * time.Second, servers: &orderServers{
		world: w, fails: func(version, path string, _ int) bool {
			return w.trouble && version == "v2" && strings.HasPrefix(path, "/"+small+"/")
		},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	routes := append([]route{{name: small, kind: "non_idempotent", service: orderService, timeoutMS: 2000, aimMS: 300, attempts: 1}}, sheetRoutes...)
	answers, err := o.prepare(ctx, routes, append([]load{{small, http.MethodPost, 0.6}}, sheetLoads...))
	if err != nil {
		return false, err
	}
	exposed, err := o.order()
	cancel()
	answers.Wait()
	return exposed && w.trouble, err
}

// playReplaced orders a version that fails a tenth of its requests and, a second later, another
// one instead. The servers of both are started.
func playReplaced(w *world) (bool, error) {
	o := &rollout{world: w, zones: []string{"amman-a", "amman-b", "amman-c"}, duration: 12 * time.Second, servers: &orderServers{world: w}}
	o.servers.fails = func(version, _ string, _ int) bool { return version == "v2" && rand.IntN(10) == 0 }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers, err := o.prepare(ctx, sheetRoutes, sheetLoads)
	if err != nil {
		return false, err
	}
	if w.trouble {
		time.AfterFunc(time.Second, func() {
			o.store.Put("rollouts", orderService, map[string]any{"service": orderService, "target": "v3", "duration_s": o.duration.Seconds()})
			o.record("ordered version v3 instead")
			time.Sleep(500 * time.Millisecond)
			_ = o.servers.start(o.zones, "v3")
		})
	}
	broken, err := o.order()
	cancel()
	answers.Wait()
	return broken, err
}
