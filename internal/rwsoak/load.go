package rwsoak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ragwortwall/internal/rwload"
	"ragwortwall/internal/rwtime"
	"ragwortwall/platform/standin"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// PhaseResult is what was measured in one phase of an experiment. The first phase is
// the baseline.
type PhaseResult struct {
	Name     string  `json:"phase"`
	Streams  int     `json:"streams"`
	Finished int     `json:"finished"`
	Pause50  float64 `json:"pause50"` // percentiles of the streams' longest pauses, in seconds
	Pause95  float64 `json:"pause95"`
	Pause99  float64 `json:"pause99"`
	Prefills float64 `json:"reads"` // prompts prefilled from their start, per stream
	Orders   int     `json:"orders"`
	Done     int     `json:"done"`
	Refused  int     `json:"refused"` // answered with 503: they did not run

	pauses *hdrhistogram.Histogram // microseconds
}

// Parameters of an experiment.
const (
	maxPauseMicros = int64(60 * time.Second / time.Microsecond)
	pauseDigits    = 3 // significant digits of a recorded pause
	faultPeriod    = 2500 * time.Millisecond
	faultDuration  = 1200 * time.Millisecond // downtime of the users' servers
	burstFactor    = 4                       // callers for each caller of the baseline
)

// phaseSpec describes a phase: its load and its fault.
type phaseSpec struct {
	name         string
	callerFactor int    // callers for each caller of the baseline
	fault        string // name of a fault in faults; empty for none
}

// phaseSpecs lists the phases of an experiment in their order.
var phaseSpecs = []phaseSpec{
	{"calm", 1, ""},
	{"burst", burstFactor, ""},
	{"servers lost", 1, "crash"},
	{"zones lost", 1, "zone-crash"},
	{"instances killed", 1, "kill"},
	{"all instances killed", 1, "kill-all"},
	{"store away", 1, "store-down"},
	{"zones lost in a burst", burstFactor, "zone-crash"},
}

// Measure runs each phase for Duration and returns the results. It draws the
// distributions of pauses to pauses.svg in the directory Logs.
func (s *Soak) Measure(ctx context.Context) ([]PhaseResult, error) {
	s.reportedNotRun = map[string]bool{}
	if err := os.MkdirAll(s.Logs, 0o750); err != nil {
		return nil, err
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return nil, err
	}
	var phases []PhaseResult
	var curves []rwload.Curve
	for n, spec := range phaseSpecs {
		if ctx.Err() != nil {
			break
		}
		p := s.runPhase(ctx, n, spec)
		phases = append(phases, p)
		curves = append(curves, rwload.Curve{Name: spec.name, Times: p.pauses})
		s.checkRecovery(ctx)
	}
	return phases, rwload.Draw(filepath.Join(s.Logs, "pauses.svg"), "Longest pause of a stream", "streams", curves...)
}

// runPhase runs the callers of a phase for Duration and repeats its fault, if
// any, meanwhile. number makes the names of the phase's streams unique.
func (s *Soak) runPhase(ctx context.Context, number int, spec phaseSpec) PhaseResult {
	p := PhaseResult{Name: spec.name, pauses: hdrhistogram.New(1, maxPauseMicros, pauseDigits)}
	prefillsBefore := s.fleet.Prefills()
	ctx, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	var mu sync.Mutex
	var running sync.WaitGroup
	for caller := range streamCallers * spec.callerFactor {
		running.Go(func() { p.runStreams(ctx, s, &mu, fmt.Sprintf("%x%02x", number+1, caller)) })
	}
	for range orderCallers * spec.callerFactor {
		running.Go(func() { p.runOrders(ctx, s, &mu) })
	}
	if spec.fault != "" {
		s.repeatFault(ctx, spec.fault)
	}
	running.Wait()
	p.Pause50, p.Pause95, p.Pause99 = p.pausePercentile(50), p.pausePercentile(95), p.pausePercentile(99)
	p.Prefills = float64(s.fleet.Prefills()-prefillsBefore) / float64(max(1, p.Streams))
	return p
}

// runStreams reads one stream after another until ctx ends; the last one is read to
// its end or timeout.
func (p *PhaseResult) runStreams(ctx context.Context, s *Soak, mu *sync.Mutex, prefix string) {
	c := standin.NewCaller(standin.Key, s.nextAddress)
	for n := 0; ctx.Err() == nil; n++ {
		streamCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), streamTimeout)
		pause, err := c.Stream(streamCtx, fmt.Sprintf("%s%04x", prefix, n))
		cancel()
		mu.Lock()
		p.Streams++
		if err == nil {
			p.Finished++
		}
		// RecordValue fails only for values above maxPauseMicros.
		_ = p.pauses.RecordValue(min(maxPauseMicros, pause.Microseconds()))
		mu.Unlock()
	}
}

// runOrders sends one order after another until ctx ends and counts their outcomes in p,
// which mu guards.
func (p *PhaseResult) runOrders(ctx context.Context, s *Soak, mu *sync.Mutex) {
	c := standin.NewCaller(standin.Key, s.nextAddress)
	for ctx.Err() == nil {
		_, status, err := c.Order(context.WithoutCancel(ctx))
		mu.Lock()
		p.Orders++
		switch {
		case err == nil && status == http.StatusOK:
			p.Done++
		case status == http.StatusServiceUnavailable:
			p.Refused++
		}
		mu.Unlock()
		time.Sleep(standin.RetryInterval / 2)
	}
}

func (p *PhaseResult) pausePercentile(percentile float64) float64 {
	return (time.Duration(p.pauses.ValueAtQuantile(percentile)) * time.Microsecond).Seconds()
}

// repeatFault injects a fault periodically until ctx ends, each time at the next
// target.
func (s *Soak) repeatFault(ctx context.Context, name string) {
	for index := int(s.Seed % zones); ctx.Err() == nil; index++ {
		for _, f := range faults {
			if f.name == name {
				end := f.inject(s, index)
				rwtime.Sleep(ctx, faultDuration)
				end()
			}
		}
		rwtime.Sleep(ctx, faultPeriod-faultDuration)
	}
	for _, i := range s.instances {
		i.signal(syscall.SIGCONT)
	}
}
