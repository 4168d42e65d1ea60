package rwsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"ragwortwall/platform/standin"
)

// Terms of the users' rule on requests that crash servers: after the third crash and
// contactTime for it to become known, at most maxLateRetries may reach a server. A silent
// server may crash long after the request has reached it. Only
// retries by instances in touch count: that had no fault, and no start, for contactTime
// before, while the store had none either.
const (
	contactTime    = 3 * time.Second
	maxLateRetries = 3

	poisonPath      = "/looks/poison"
	poisonDraftPath = "/drafts/poison"
	poisonInterval  = 300 * time.Millisecond
	poisonDownTime  = 1500 * time.Millisecond
	poisonTimeout   = 5 * time.Second
)

// sendPoison sends the request that crashes servers to the instances in turn, over open
// connections as long as these last, until ctx ends. By the seed it is a stream or an
// idempotent request.
func (s *Soak) sendPoison(ctx context.Context) {
	method := http.MethodGet
	if s.fleet.CrashPath == poisonDraftPath {
		method = http.MethodPost
	}
	var running sync.WaitGroup
	for _, i := range s.instances {
		c := standin.NewCaller(standin.Key, func() string { return i.CallerAddress })
		c.HTTP = &http.Client{Transport: &http.Transport{DisableCompression: true}}
		running.Go(func() {
			defer c.HTTP.CloseIdleConnections()
			for ctx.Err() == nil {
				sendCtx, cancel := context.WithTimeout(ctx, poisonTimeout)
				s.sendPoisonTo(sendCtx, c, method, i.Name)
				cancel()
				select {
				case <-ctx.Done():
				case <-time.After(poisonInterval):
				}
			}
		})
	}
	running.Wait()
}

// sendPoisonTo sends the request once, to the instance of the given name.
func (s *Soak) sendPoisonTo(ctx context.Context, c *standin.Caller, method, instance string) {
	record := func(id string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.poisonSentTo[id] = instance
	}
	if s.Reads {
		_, _ = c.SendPlain(ctx, method, fmt.Sprintf("%s?at=%d", s.fleet.CrashPath, time.Now().UnixNano()), record)
		return
	}
	_, _ = c.Send(ctx, method, s.fleet.CrashPath, "5a1c", record)
}

// checkPoison checks that the request was kept from the servers once it was known.
func (s *Soak) checkPoison() {
	s.report.Crashes = len(s.fleet.Crashes())
	crashes := slices.DeleteFunc(s.fleet.Crashes(), func(c standin.Crash) bool { return s.poisonSentTo[c.Request] == "" })
	if len(crashes) < 3 {
		return
	}
	late := 0
	for id, instance := range s.poisonSentTo {
		for _, arrival := range s.fleet.Record(id).Arrivals {
			if arrival.At.Sub(crashes[2].At) > contactTime && s.inTouch(instance, arrival.At) {
				late++
			}
		}
	}
	if late > maxLateRetries {
		s.addViolation("instances in touch sent a request that crashes servers to them %d times later than %s after the third crash; %d crashed in all", late, contactTime, len(crashes))
	}
}

// disturbance is the time of a fault that puts an instance out of touch, or all instances
// if it has no name.
type disturbance struct {
	instance   string
	start, end time.Time // end is zero while it lasts
}

// disturb records that a fault begins, and returns the function that records its end.
// Faults of servers are none of an instance.
func (s *Soak) disturb(target string) func() {
	kind, name, _ := strings.Cut(target, " ")
	switch kind {
	case "process", "peers", "link":
		if !strings.HasPrefix(name, instancePrefix) {
			return func() {} // the link to a server
		}
	case "processes", "store":
		name = ""
	default:
		return func() {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.disturbances)
	s.disturbances = append(s.disturbances, disturbance{instance: name, start: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disturbances[n].end = time.Now()
	}
}

// inTouch reports whether an instance was in touch at a time.
func (s *Soak) inTouch(instance string, at time.Time) bool {
	for _, d := range s.disturbances {
		over := !d.end.IsZero() && at.Sub(d.end) > contactTime
		if (d.instance == "" || d.instance == instance) && !at.Before(d.start) && !over {
			return false
		}
	}
	return true
}
