package rwgeneration

import (
	"context"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwslot"
)

// Stall timeouts. Output must continue within 4 s of a stall if another server has a free
// slot; the timeouts leave time to acquire it and to repeat the prefill there.
const (
	watchdogInterval    = 200 * time.Millisecond
	probeAfterIdle      = 800 * time.Millisecond
	probeTimeout        = 600 * time.Millisecond
	probeRetryInterval  = 50 * time.Millisecond
	maxTimeToFirstToken = 15 * time.Second
	maxTokenGap         = 2500 * time.Millisecond
)

// watchdog ends a stream that has stalled. If a server sends no token for
// probeAfterIdle, its load is requested: a server that does not respond is hung, silent
// for a while or gone; one that responds may still be in prefill.
type watchdog struct {
	lastToken atomic.Int64 // nanoseconds since start
	gotToken  atomic.Bool
	start     time.Time
	ended     chan struct{} // closed when the watchdog has ended
}

// startWatchdog watches the attempt's stream until ctx ends. It calls cancel with
// errServerGone if the server is gone, and with errStalled if the stream stalls and r holds
// a slot for the next attempt: while there is none, the stream may still go on.
func (p *Primary) startWatchdog(ctx context.Context, cancel context.CancelCauseFunc, a *attempt, r *reservation) *watchdog {
	d := &watchdog{start: time.Now(), ended: make(chan struct{})}
	go func() {
		defer close(d.ended)
		p.runWatchdog(ctx, cancel, a, r, d)
	}()
	return d
}

func (d *watchdog) recordToken() {
	d.lastToken.Store(int64(time.Since(d.start)))
	d.gotToken.Store(true)
}

func (d *watchdog) idle() time.Duration {
	return time.Since(d.start) - time.Duration(d.lastToken.Load())
}

func (d *watchdog) idleTimeout() time.Duration {
	if d.gotToken.Load() {
		return maxTokenGap
	}
	return maxTimeToFirstToken
}

func (p *Primary) runWatchdog(ctx context.Context, cancel context.CancelCauseFunc, a *attempt, r *reservation, d *watchdog) {
	ticker := time.NewTicker(watchdogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if d.idle() < probeAfterIdle {
			continue
		}
		err := p.probe(ctx, a.server.Address)
		idle := d.idle()
		switch {
		case idle < probeAfterIdle:
			continue
		case rwslot.IsConnectionRefused(err):
			cancel(errServerGone)
			return
		case err == nil && idle <= d.idleTimeout(), !r.acquire(ctx):
			continue
		}
		if d.idle() >= probeAfterIdle {
			cancel(errStalled)
			return
		}
		r.release()
	}
}

func (p *Primary) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := p.Engines.Load(ctx, address)
	return err
}
