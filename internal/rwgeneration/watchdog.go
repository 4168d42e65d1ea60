package rwgeneration

import (
	"context"
	"sync/atomic"
	"time"

	"ragwortwall/internal/rwslot"
)

// The stall bounds. They leave time to find a new slot and to read the prefix
// again within the 4 s after which output has to go on.
const (
	watchInterval  = 200 * time.Millisecond
	probeAfter     = 800 * time.Millisecond
	probeTimeout   = 600 * time.Millisecond
	probePause     = 50 * time.Millisecond
	firstTokenMost = 15 * time.Second
	betweenMost    = 2500 * time.Millisecond
)

// watchdog ends a stream that has stalled. A server that gives no token for a
// moment is asked for its load: one that does not answer is frozen or gone; one
// that answers may still be reading a long prompt.
type watchdog struct {
	last  atomic.Int64 // nanoseconds since start
	fed   atomic.Bool
	start time.Time
}

func (p *Primary) watch(ctx context.Context, cancel context.CancelCauseFunc, a *attempt) *watchdog {
	d := &watchdog{start: time.Now()}
	go p.guard(ctx, cancel, a, d)
	return d
}

func (d *watchdog) feed() {
	d.last.Store(int64(time.Since(d.start)))
	d.fed.Store(true)
}

func (d *watchdog) idle() time.Duration {
	return time.Since(d.start) - time.Duration(d.last.Load())
}

func (d *watchdog) most() time.Duration {
	if d.fed.Load() {
		return betweenMost
	}
	return firstTokenMost
}

func (p *Primary) guard(ctx context.Context, cancel context.CancelCauseFunc, a *attempt, d *watchdog) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		idle := d.idle()
		if idle < probeAfter {
			continue
		}
		if idle > d.most() {
			cancel(errStalled)
			return
		}
		if err := p.probe(ctx, a.server.Address); err != nil && d.idle() >= probeAfter {
			if rwslot.Refused(err) {
				err = errGone
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
