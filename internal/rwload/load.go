package rwload

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ragwortwall/internal/rwtime"
)

// Load sends the requests of a load and collects the report. Set Options before
// Run.
type Load struct {
	Options  Options
	Progress func(Report) // called every second, unless nil

	client    *http.Client
	readiness readiness
	mu        sync.Mutex
	tally     tally
}

// Run sends all requests in an open loop (a request doesn't wait for earlier
// answers) and returns the report when all have ended.
func (l *Load) Run(ctx context.Context) Report {
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: l.Options.Requests, DisableCompression: true}}
	l.tally = newTally(l.Options.MinInterruption)
	started := time.Now()
	stop := l.startProgress(started)
	l.readiness.watch(ctx, l.Options)
	var wait sync.WaitGroup
	interArrivals := l.Options.interArrivalTimes()
	next := started
	for i, r := range l.Options.requests() {
		next = next.Add(interArrivals[i])
		sleepUntil(ctx, next)
		if ctx.Err() != nil {
			break
		}
		wait.Go(func() { l.runRequest(ctx, r) })
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

// startProgress calls Progress every second until stop is called.
func (l *Load) startProgress(started time.Time) (stop func()) {
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

// runRequest runs one request to its end and adds its result to the tally.
func (l *Load) runRequest(ctx context.Context, r Request) {
	if r.Order {
		outcome := l.placeOrder(ctx, r)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.tally.addOrder(outcome)
		return
	}
	res := l.generate(ctx, r)
	err := l.verify(r, res)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.addAnswer(res, err)
}

// tally accumulates the results of requests. All histograms are in microseconds.
type tally struct {
	report          Report
	firstToken      *hdrhistogram.Histogram // time to the first token
	gap             *hdrhistogram.Histogram
	longestGap      *hdrhistogram.Histogram // the longest gap of each answer
	interruption    *hdrhistogram.Histogram // gaps longer than minInterruption
	minInterruption time.Duration
}

const (
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	histogramDigits   = 3
	maxErrors         = 20 // in Report.Errors
)

func newTally(minInterruption time.Duration) tally {
	return tally{
		minInterruption: minInterruption,
		interruption:    hdrhistogram.New(1, maxRecordedMicros, histogramDigits),
		report:          Report{Orders: map[string]int{}, Reasons: map[string]int{}},
		firstToken:      hdrhistogram.New(1, maxRecordedMicros, histogramDigits),
		gap:             hdrhistogram.New(1, maxRecordedMicros, histogramDigits),
		longestGap:      hdrhistogram.New(1, maxRecordedMicros, histogramDigits),
	}
}

// addAnswer adds one answer; err is what verify returned for it.
func (t *tally) addAnswer(res *result, err error) {
	t.report.Refusals += res.refusals
	t.report.Reconnects += res.reconnects
	if err != nil {
		if res.finish != "" {
			t.report.Wrong++
		} else {
			t.report.Unfinished++
		}
		if len(t.report.Errors) < maxErrors {
			t.report.Errors = append(t.report.Errors, err.Error())
		}
		return
	}
	t.report.Correct++
	t.report.Tokens += res.tokens
	if gap := res.longestGap.Seconds(); gap > t.report.WorstGap.Gap {
		t.report.WorstGap = WorstGap{Generation: res.generation, Gap: gap, Ended: res.longestGapEnd}
	}
	_ = t.firstToken.RecordValue(res.firstToken.Microseconds())
	for _, g := range res.gaps {
		_ = t.gap.RecordValue(g.Microseconds())
		if t.minInterruption > 0 && g > t.minInterruption {
			t.report.Interruptions++
			_ = t.interruption.RecordValue(g.Microseconds())
		}
	}
	_ = t.longestGap.RecordValue(res.longestGap.Microseconds())
}

func (t *tally) addOrder(outcome string) { t.report.Orders[outcome]++ }

func (l *Load) report(started time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.tally.report
	r.Seconds = time.Since(started).Seconds()
	r.FirstToken = quantiles(l.tally.firstToken)
	r.Gap = quantiles(l.tally.gap)
	r.LongestGap = quantiles(l.tally.longestGap)
	r.InterruptionTime = quantiles(l.tally.interruption)
	return r
}

// quantiles returns the quantiles, in seconds, of a histogram of microseconds.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const perSecond = 1e6
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)) / perSecond,
		P95: float64(h.ValueAtQuantile(95)) / perSecond,
		P99: float64(h.ValueAtQuantile(99)) / perSecond,
		Max: float64(h.Max()) / perSecond,
	}
}
