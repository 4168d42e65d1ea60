package rwload

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ragwortwall/internal/rwtime"
)

// Load offers a load and gathers the report. Set Options before Run.
type Load struct {
	Options  Options
	Progress func(Report) // called each second, if set

	client *http.Client
	ready  readiness
	mu     sync.Mutex
	tally  tally
}

// Run offers the whole load, open loop, and returns the report.
func (l *Load) Run(ctx context.Context) Report {
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: l.Options.Requests, DisableCompression: true}}
	l.tally = newTally(l.Options.Break)
	started := time.Now()
	stop := l.progress(started)
	l.ready.watch(ctx, l.Options)
	var wait sync.WaitGroup
	pauses := l.Options.pauses()
	next := started
	for i, r := range l.Options.requests() {
		next = next.Add(pauses[i])
		sleepUntil(ctx, next)
		if ctx.Err() != nil {
			break
		}
		wait.Go(func() { l.one(ctx, r) })
	}
	wait.Wait()
	stop()
	return l.report(started)
}

func sleepUntil(ctx context.Context, at time.Time) {
	if d := time.Until(at); d > 0 {
		rwtime.Sleep(ctx, d)
	}
}

func (l *Load) progress(started time.Time) (stop func()) {
	if l.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				l.Progress(l.report(started))
			}
		}
	}()
	return func() { close(done) }
}

func (l *Load) one(ctx context.Context, r Request) {
	if r.Order {
		outcome := l.order(ctx, r)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.tally.order(outcome)
		return
	}
	res := l.generate(ctx, r)
	err := l.check(r, res)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.answer(res, err)
}

// tally gathers results.
type tally struct {
	report Report
	first  *hdrhistogram.Histogram // microseconds
	gap    *hdrhistogram.Histogram
	stall  *hdrhistogram.Histogram // the longest gap of each answer
	resume *hdrhistogram.Histogram // gaps longer than most
	most   time.Duration
}

const (
	histogramMost   = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	errorsKept      = 20
)

func newTally(most time.Duration) tally {
	return tally{
		most:   most,
		resume: hdrhistogram.New(1, histogramMost, histogramDigits),
		report: Report{Orders: map[string]int{}, Reasons: map[string]int{}},
		first:  hdrhistogram.New(1, histogramMost, histogramDigits),
		gap:    hdrhistogram.New(1, histogramMost, histogramDigits),
		stall:  hdrhistogram.New(1, histogramMost, histogramDigits),
	}
}

func (t *tally) answer(res *result, err error) {
	t.report.Refusals += res.refusals
	t.report.Reconnects += res.reconnects
	if err != nil {
		if res.finish != "" {
			t.report.Wrong++
		} else {
			t.report.Unfinished++
		}
		if len(t.report.Errors) < errorsKept {
			t.report.Errors = append(t.report.Errors, err.Error())
		}
		return
	}
	t.report.Whole++
	t.report.Tokens += res.tokens
	if gap := res.longest.Seconds(); gap > t.report.Worst.Gap {
		t.report.Worst = Worst{Generation: res.generation, Gap: gap, Ended: res.longestAt}
	}
	_ = t.first.RecordValue(res.first.Microseconds())
	for _, g := range res.gaps {
		_ = t.gap.RecordValue(g.Microseconds())
		if t.most > 0 && g > t.most {
			t.report.Breaks++
			_ = t.resume.RecordValue(g.Microseconds())
		}
	}
	_ = t.stall.RecordValue(res.longest.Microseconds())
}

func (t *tally) order(outcome string) { t.report.Orders[outcome]++ }

func (l *Load) report(started time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.tally.report
	r.Seconds = time.Since(started).Seconds()
	r.First = quantiles(l.tally.first)
	r.Gap = quantiles(l.tally.gap)
	r.Stall = quantiles(l.tally.stall)
	r.Resume = quantiles(l.tally.resume)
	return r
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const perSecond = 1e6
	return Quantiles{
		P50:  float64(h.ValueAtQuantile(50)) / perSecond,
		P95:  float64(h.ValueAtQuantile(95)) / perSecond,
		P99:  float64(h.ValueAtQuantile(99)) / perSecond,
		Most: float64(h.Max()) / perSecond,
	}
}
