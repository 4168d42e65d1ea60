package rwsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"ragwortwall/internal/rwtime"
	"ragwortwall/platform/standin"
)

// Terms of the runs with series of stops.
const (
	stopsStream = 11 // number of the random source of the events
	// noticeTime is how long after the signal callers may still come to an instance, and lateCut
	// from when on it may cut their streams then: the last sixth of its grace period.
	noticeTime = 3 * time.Second
	lateCut    = 8 * time.Second * 5 / 6
	// stopsEventInterval makes streams take about half of the grace period.
	stopsEventInterval = 160 * time.Millisecond
	signalInterval     = 300 * time.Millisecond
	rollingInterval    = 500 * time.Millisecond
	maxKeptStreamPause = 800 * time.Millisecond
)

// stopEvents lists series of signals. The series of several instances overlap, and so do those of
// one instance with its other stops.
var stopEvents = []fault{
	{name: "stop-again", maxDuration: time.Second, inject: func(s *Soak, index int) func() {
		i := s.instances[index%len(s.instances)]
		return func() { s.stopWith(i, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM) }
	}},
	{name: "stop-rolling", target: "rolling", maxDuration: time.Second, inject: func(s *Soak, index int) func() {
		ended := make(chan struct{}, len(s.instances))
		half := max(1, len(s.instances)/2)
		for n := range half {
			i := s.instances[(index+n)%len(s.instances)]
			time.AfterFunc(time.Duration(n)*rollingInterval, func() {
				s.stopWith(i)
				ended <- struct{}{}
			})
		}
		return func() {
			for range half {
				<-ended
			}
		}
	}},
	{name: "reload", target: "reload", maxDuration: time.Second, inject: func(s *Soak, index int) func() {
		for n := range 2 * len(s.instances) {
			s.instances[(index+n)%len(s.instances)].signal(syscall.SIGHUP)
			time.Sleep(signalInterval / 10)
		}
		return func() {}
	}},
}

// stopWith stops an instance with SIGTERM, sends it more signals while it stops, and starts it
// again.
func (s *Soak) stopWith(i *instance, more ...syscall.Signal) {
	s.recordStop(i)
	i.signal(syscall.SIGTERM)
	for _, next := range more {
		time.Sleep(signalInterval)
		i.signal(next)
	}
	i.terminate(syscall.SIGTERM, stopTimeout)
	s.restartInstance(i)
}

// stopSignal is a SIGTERM to an instance.
type stopSignal struct {
	instance string
	at       time.Time
}

func (s *Soak) recordStop(i *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopSignals = append(s.stopSignals, stopSignal{i.Name, time.Now()})
}

// cutByStop reports whether a stream was cut at the end of the grace period of its instance, and
// sent before callers could know of the stop.
func (s *Soak) cutByStop(c cutRequest) bool {
	for _, stop := range s.stopSignals {
		if c.stream && stop.instance == c.instance && !c.Sent.After(stop.at.Add(noticeTime)) && c.Ended.After(stop.at.Add(lateCut)) {
			return true
		}
	}
	return false
}

// runKeptStreams reads streams over connections to each instance, which are kept and used until
// they end, also while the instance stops, until ctx ends.
func (s *Soak) runKeptStreams(ctx context.Context, i *instance, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; {
		conn, err := standin.NewCaller(standin.Key, func() string { return i.CallerAddress }).Dial(ctx)
		if err != nil {
			rwtime.Sleep(ctx, standin.RetryInterval)
			continue
		}
		for last := false; !last && ctx.Err() == nil; n++ {
			rwtime.Sleep(ctx, time.Duration(random.Int64N(int64(maxKeptStreamPause))))
			result, err := conn.SendStream(ctx, fmt.Sprintf("%s-%x-%d", i.Name, random.Uint32(), n), streamTimeout)
			if ctx.Err() == nil {
				s.recordKeptStream(i.Name, result, err)
			}
			last = result.Last
		}
		conn.Close()
	}
}

func (s *Soak) recordKeptStream(instance string, result standin.Result, err error) {
	if err != nil {
		s.addViolation("%v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.KeptStreams++
	if result.Status == 0 {
		s.report.CutStreams++
		s.cutRequests = append(s.cutRequests, cutRequest{result, instance, true})
	}
}
