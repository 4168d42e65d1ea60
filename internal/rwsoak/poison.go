package rwsoak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"ragwortwall/platform/standin"
)

// Terms of the users' rule on requests that crash servers: after the third crash and
// contactTime for it to become known, at most maxLateRetries may reach a server. Only
// instances count that ran without a fault for contactTime before; here all faults
// count against them, so poisonGrace is added for those that were in one.
const (
	contactTime    = 3 * time.Second
	poisonGrace    = maxFaultDuration + contactTime
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
				_, _ = c.Send(sendCtx, method, s.fleet.CrashPath, "5a1c")
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

// checkPoison checks that the request was kept from the servers once it was known.
func (s *Soak) checkPoison() {
	crashes := s.fleet.CrashTimes()
	s.report.Crashes = len(crashes)
	if len(crashes) < 3 {
		return
	}
	late := 0
	for _, at := range crashes {
		if at.Sub(crashes[2]) > contactTime+poisonGrace {
			late++
		}
	}
	if late > maxLateRetries {
		s.addViolation("a request that crashes servers reached %d of them later than %s after the third crash, %d in all", late, contactTime+poisonGrace, len(crashes))
	}
}
