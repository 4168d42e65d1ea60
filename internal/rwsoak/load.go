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

// Phase is one load of an experiment and what it brought. The first phase is the
// baseline.
type Phase struct {
	Name     string  `json:"phase"`
	Streams  int     `json:"streams"`
	Finished int     `json:"finished"`
	Pause50  float64 `json:"pause50"` // longest pause of a stream, in seconds
	Pause95  float64 `json:"pause95"`
	Pause99  float64 `json:"pause99"`
	Reads    float64 `json:"reads"` // prompts read for each stream
	Orders   int     `json:"orders"`
	Done     int     `json:"done"`
	Refused  int     `json:"refused"` // told truly that they did not run

	pauses *hdrhistogram.Histogram // microseconds
}

// Settings of an experiment.
const (
	pauseMost  = int64(60 * time.Second / time.Microsecond)
	pauseDigit = 3 // figures that a time keeps
	blowEvery  = 2500 * time.Millisecond
	blowTime   = 1200 * time.Millisecond // as long as the users' servers are away
	burst      = 4                       // callers for each one of the baseline
)

// load is a phase: how many callers for each of the baseline, and what is hurt.
type load struct {
	name    string
	callers int
	hurt    string // a fault of the soak; empty for none
}

// loads are the phases of an experiment.
var loads = []load{
	{"calm", 1, ""},
	{"burst", burst, ""},
	{"servers lost", 1, "crash"},
	{"zones lost", 1, "zone-crash"},
	{"instances killed", 1, "kill"},
	{"all instances killed", 1, "kill-all"},
	{"store away", 1, "store-down"},
	{"zones lost in a burst", burst, "zone-crash"},
}

// Measure plays each load for the run's length and returns what it brought. The
// distributions of pauses are drawn into pauses.svg in the folder for logs.
func (s *Soak) Measure(ctx context.Context) ([]Phase, error) {
	s.notRun = map[string]bool{}
	if err := os.MkdirAll(s.Logs, 0o750); err != nil {
		return nil, err
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return nil, err
	}
	var phases []Phase
	var curves []rwload.Curve
	for n, l := range loads {
		if ctx.Err() != nil {
			break
		}
		p := s.phase(ctx, n, l)
		phases = append(phases, p)
		curves = append(curves, rwload.Curve{Name: l.name, Times: p.pauses})
		s.recover(ctx)
	}
	return phases, rwload.Draw(filepath.Join(s.Logs, "pauses.svg"), "Longest pause of a stream", "streams", curves...)
}

func (s *Soak) phase(ctx context.Context, n int, l load) Phase {
	p := Phase{Name: l.name, pauses: hdrhistogram.New(1, pauseMost, pauseDigit)}
	before := s.fleet.Prefills()
	ctx, done := context.WithTimeout(ctx, s.Length)
	defer done()
	var mu sync.Mutex
	var work sync.WaitGroup
	for at := range streamers * l.callers {
		work.Go(func() { p.streams(ctx, s, &mu, fmt.Sprintf("%x%02x", n+1, at)) })
	}
	for range orderers * l.callers {
		work.Go(func() { p.orders(ctx, s, &mu) })
	}
	if l.hurt != "" {
		s.blows(ctx, l.hurt)
	}
	work.Wait()
	p.Pause50, p.Pause95, p.Pause99 = p.quantile(50), p.quantile(95), p.quantile(99)
	p.Reads = float64(s.fleet.Prefills()-before) / float64(max(1, p.Streams))
	return p
}

// streams asks for one stream after the other; each is read to its end.
func (p *Phase) streams(ctx context.Context, s *Soak, mu *sync.Mutex, name string) {
	c := standin.NewCaller(standin.Key, s.address)
	for n := 0; ctx.Err() == nil; n++ {
		own, cancel := context.WithTimeout(context.WithoutCancel(ctx), streamTime)
		pause, err := c.Stream(own, fmt.Sprintf("%s%04x", name, n))
		cancel()
		mu.Lock()
		p.Streams++
		if err == nil {
			p.Finished++
		}
		// Times beyond the most that is kept are the streams that did not finish.
		_ = p.pauses.RecordValue(min(pauseMost, pause.Microseconds()))
		mu.Unlock()
	}
}

func (p *Phase) orders(ctx context.Context, s *Soak, mu *sync.Mutex) {
	c := standin.NewCaller(standin.Key, s.address)
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

func (p *Phase) quantile(q float64) float64 {
	return (time.Duration(p.pauses.ValueAtQuantile(q)) * time.Microsecond).Seconds()
}

// blows plays one fault again and again, each time elsewhere.
func (s *Soak) blows(ctx context.Context, name string) {
	for n := int(s.Seed % zones); ctx.Err() == nil; n++ {
		for _, f := range faults {
			if f.name == name {
				end := f.begin(s, n)
				rwtime.Sleep(ctx, blowTime)
				end()
			}
		}
		rwtime.Sleep(ctx, blowEvery-blowTime)
	}
	for _, i := range s.instances {
		i.signal(syscall.SIGCONT)
	}
}
