package rwusage

import (
	"context"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwduty"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
)

// Lease tells who holds the duties.
type Lease interface {
	// Holder returns the name and the fencing number of the holder as far as this instance knows.
	Holder() (name string, fence int64, ok bool)
	// Current returns the grant of this instance while it may carry out the duties.
	Current() (rwduty.Grant, bool)
	// Call makes a call under the lease, see rwduty.Lease.
	Call(ctx context.Context, do func(ctx context.Context, g rwduty.Grant) error) error
}

// WindowStore keeps reports in the store, one object a window. Its errors are those of
// rwerror.
type WindowStore interface {
	// Create fails with KindConflict if the window has an object.
	Create(ctx context.Context, r Report) error
	// Get fails with KindNotFound if the window has no object.
	Get(ctx context.Context, window int64) (Report, error)
	List(ctx context.Context) ([]Report, error)
	// Delete deletes the object of a window; it is no error if there is none.
	Delete(ctx context.Context, window int64) error
	// Era is the highest era of the store that was seen; 0 if it isn't known.
	Era() int64
}

// Receiver gets the reports.
type Receiver interface {
	// ReportUsage fails with KindConflict if a higher fencing number was seen.
	ReportUsage(ctx context.Context, g rwduty.Grant, window int64, counts map[string]int64) error
}

const (
	// reportInterval is how often the holder looks whether there is something to do.
	reportInterval = 250 * time.Millisecond
	// callTimeout limits a call, well within a lease.
	callTimeout = 800 * time.Millisecond
	// minPause and maxPause are the pauses after calls that failed: each is twice the one before.
	minPause = reportInterval
	maxPause = 2 * time.Second
)

// reporter freezes and sends the reports while this instance holds the duties. It is used by
// one goroutine.
type reporter struct {
	duty     *Duty
	grant    rwduty.Grant // the latest with which the reporter acted
	refused  int64        // highest fencing number that was refused
	heldFrom atomic.Int64 // a rwtime.BootTime; when grant began
	listed   bool         // the objects of the store were read under grant
	pause    time.Duration
}

// run acts until ctx ends.
func (r *reporter) run(ctx context.Context) {
	wait := reportInterval
	for rwtime.Sleep(ctx, wait) {
		wait = reportInterval
		if err := r.round(ctx); err != nil {
			r.duty.count("usage_calls_failed")
			r.duty.Log.Info("usage report delayed", "cause", err.Error(), "fence", r.grant.Fence, "pause", r.pause.Seconds())
			r.pause = min(maxPause, max(minPause, 2*r.pause))
			wait = r.pause
			continue
		}
		r.pause = 0
	}
}

// holds reports whether this instance still holds the duties under the reporter's grant.
func (r *reporter) holds() bool {
	g, ok := r.duty.Lease.Current()
	return ok && g == r.grant && g.Fence > r.refused
}

// since returns when this instance became the holder.
func (r *reporter) since() rwtime.BootTime { return rwtime.BootTime(r.heldFrom.Load()) }

// round does what is to be done now. It returns the error of the call after which the others
// have to wait.
func (r *reporter) round(ctx context.Context) error {
	g, ok := r.duty.Lease.Current()
	if !ok || g.Fence <= r.refused {
		return nil
	}
	if g != r.grant {
		r.grant, r.listed = g, false
		r.heldFrom.Store(int64(r.duty.now()))
	}
	for _, step := range []func(context.Context) error{r.list, r.restore, r.close, r.send, r.delete} {
		if !r.holds() {
			return nil
		}
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// call makes one call with its timeout.
func call(ctx context.Context, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return do(ctx)
}

// list reads the objects that former holders have frozen, once under each grant.
func (r *reporter) list(ctx context.Context) error {
	if r.listed {
		return nil
	}
	var stored []Report
	era := r.duty.Store.Era()
	err := call(ctx, func(ctx context.Context) (err error) {
		stored, err = r.duty.Store.List(ctx)
		return err
	})
	if err != nil {
		return err
	}
	r.listed = true
	d := r.duty
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, report := range stored {
		d.ledger.adopt(report, era)
	}
	d.Log.Info("usage reports taken over", "fence", r.grant.Fence, "stored", len(stored), "closed", d.ledger.closed)
	return nil
}

// restore writes the objects again that the store lost when it came back older.
func (r *reporter) restore(ctx context.Context) error {
	for _, report := range r.pending(r.duty.ledger.toRestore) {
		if !r.holds() {
			return nil
		}
		if err := r.freeze(ctx, report, logr.Discard()); err != nil {
			return err
		}
		r.duty.Log.Info("usage window restored", "window", report.Window, "era", r.duty.Store.Era())
	}
	return nil
}

// pending returns the reports that the ledger names in the present era.
func (r *reporter) pending(of func(era int64, now Time) []Report) []Report {
	d := r.duty
	d.mu.Lock()
	defer d.mu.Unlock()
	return of(d.Store.Era(), d.fleetTime())
}

// close freezes the windows that have ended and settled. A new holder first waits until the other
// instances have sent it their sums.
func (r *reporter) close(ctx context.Context) error {
	d := r.duty
	for r.holds() {
		if time.Duration(d.now()-r.since()) < d.gatherTime() {
			return nil
		}
		report, ok := r.nextReport()
		if !ok {
			return nil
		}
		if err := r.freeze(ctx, report, d.Log); err != nil {
			return err
		}
	}
	return nil
}

// nextReport returns the next window to be frozen, with its counts.
func (r *reporter) nextReport() (Report, bool) {
	d := r.duty
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeEra()
	d.collect()
	now := d.fleetTime()
	if d.ledger.closed == 0 {
		d.ledger.closed = windowAt(now, d.Window) - 1
		if earliest, known := d.sums.Earliest(); known {
			d.ledger.closed = min(d.ledger.closed, earliest-1)
		}
	}
	window, skipped, ok := d.ledger.nextToClose(now)
	if skipped > 0 {
		d.count("usage_windows_skipped")
		d.Log.Info("usage windows given up", "through", d.ledger.closed, "count", skipped, "fence", r.grant.Fence, "cause", "too old, or they may have been reported before the store lost them")
	}
	if !ok {
		return Report{}, false
	}
	return Report{window, d.sums.Total(window)}, true
}

// freeze creates the object of a window. If there is one, what it says counts. A store that came
// back older after the answer keeps the report unsent until it is written again.
func (r *reporter) freeze(ctx context.Context, report Report, log logr.Logger) error {
	d := r.duty
	era := d.Store.Era()
	err := call(ctx, func(ctx context.Context) error { return d.Store.Create(ctx, report) })
	found := rwerror.Is(err, rwerror.KindConflict)
	if found {
		err = call(ctx, func(ctx context.Context) (err error) {
			report, err = d.Store.Get(ctx, report.Window)
			return err
		})
	}
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.adopt(report, era)
	log.Info("usage window closed", "window", report.Window, "organisations", len(report.Counts), "requests", total(report.Counts),
		"found", found, "fence", r.grant.Fence, "instances", len(d.clocks.heard)+1, "late", d.ledger.sinceEnd(report.Window, d.fleetTime()).Seconds())
	return nil
}

func total(counts map[string]int64) int64 {
	var sum int64
	for _, n := range counts {
		sum += n
	}
	return sum
}

// send sends what is frozen until it is accepted. Under an outdated fencing number it stops.
func (r *reporter) send(ctx context.Context) error {
	d := r.duty
	for _, report := range r.pending(d.ledger.toSend) {
		if !r.holds() {
			return nil
		}
		err := r.sendOne(ctx, report)
		if rwerror.Is(err, rwerror.KindConflict) {
			r.refused = max(r.refused, r.grant.Fence)
			d.count("usage_refused")
			d.Log.Info("usage report refused: a higher fencing number was seen", "window", report.Window, "fence", r.grant.Fence)
			return nil
		}
		if err != nil {
			return err
		}
		r.markReported(report)
	}
	return nil
}

// sendOne makes one call under the reporter's grant. The lease learns of a refusal by its error.
func (r *reporter) sendOne(ctx context.Context, report Report) error {
	return r.duty.Lease.Call(ctx, func(ctx context.Context, g rwduty.Grant) error {
		if g != r.grant {
			return rwerror.New(rwerror.KindUnavailable, "read the objects of the store again", "the grant of the duties has changed")
		}
		r.markSent(report.Window)
		return call(ctx, func(ctx context.Context) error {
			return r.duty.Platform.ReportUsage(ctx, g, report.Window, report.Counts)
		})
	})
}

// markSent records that the platform may have got a report.
func (r *reporter) markSent(window int64) {
	d := r.duty
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.ledger.reports[window]
	if f.sent {
		d.count("usage_retried")
	}
	f.sent = true
	f.calls++
}

// markReported records that the platform has accepted a report.
func (r *reporter) markReported(report Report) {
	d := r.duty
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.reports[report.Window].reported = true
	after := d.ledger.sinceEnd(report.Window, d.fleetTime())
	d.count("usage_reported")
	if after > d.Due {
		d.count("usage_late")
	}
	d.Log.Info("usage reported", "window", report.Window, "requests", total(report.Counts), "fence", r.grant.Fence, "after", after.Seconds())
}

// delete deletes the objects that are no longer needed.
func (r *reporter) delete(ctx context.Context) error {
	d := r.duty
	d.mu.Lock()
	windows := d.ledger.toDelete(d.fleetTime())
	d.mu.Unlock()
	for _, window := range windows {
		if !r.holds() {
			return nil
		}
		if err := call(ctx, func(ctx context.Context) error { return d.Store.Delete(ctx, window) }); err != nil {
			return err
		}
		d.mu.Lock()
		delete(d.ledger.reports, window)
		d.mu.Unlock()
	}
	return nil
}
