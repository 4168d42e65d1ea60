package rwgeneration

import (
	"context"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwslot"
)

// Stall timeouts. Output must continue within 4 s of a stall; the timeouts leave
// time to acquire a new slot and to repeat the prefill there.
const (
	watchdogInterval    = 200 * time.Millisecond
	probeAfterIdle      = 800 * time.Millisecond
	probeTimeout        = 600 * time.Millisecond
	probeRetryInterval  = 50 * time.Millisecond
	maxTimeToFirstToken = 15 * time.Second
	maxTokenGap         = 2500 * time.Millisecond
)

// watchdog ends a stream that has stalled. If a server sends no token for
// probeAfterIdle, its load is requested: a server that does not respond is hung or
// gone; one that responds may still be in prefill.
type watchdog struct {
	lastToken atomic.Int64 // nanoseconds since start
	gotToken  atomic.Bool
	start     time.Time
}

// startWatchdog watches the attempt's stream until ctx ends. It calls cancel with
// errStalled or errServerGone if the stream stalls or the server
// is gone.
func (p *Primary) startWatchdog(ctx context.Context, cancel context.CancelCauseFunc, a *attempt) *watchdog {
	d := &watchdog{start: time.Now()}
	go p.runWatchdog(ctx, cancel, a, d)
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

func (p *Primary) runWatchdog(ctx context.Context, cancel context.CancelCauseFunc, a *attempt, d *watchdog) {
	ticker := time.NewTicker(watchdogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		idle := d.idle()
		if idle < probeAfterIdle {
			continue
		}
		if idle > d.idleTimeout() {
			cancel(errStalled)
			return
		}
		if err := p.probe(ctx, a.server.Address); err != nil && d.idle() >= probeAfterIdle {
			if rwslot.IsConnectionRefused(err) {
				err = errServerGone
			} else {
				err = errStalled
			}
			cancel(err)
			return
		}
	}
}

func (p *Primary) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := p.Engines.Load(ctx, address)
	return err
}
