package rwduty

import (
	"context"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwtime"
)

// clockCheck is how often the deadline of a call is compared with the boot-time clock: timers
// stand still while the machine is suspended.
const clockCheck = 100 * time.Millisecond

// call is one that runs under the lease.
type call struct {
	fence  int64
	until  rwtime.BootTime
	cancel context.CancelFunc
	timer  *time.Timer
}

// Current returns the grant under which calls may begin now. ok is false if they may not.
func (l *Lease) Current() (g Grant, ok bool) {
	l.prepare()
	l.mu.Lock()
	defer l.mu.Unlock()
	g, _, ok = l.machine.grant(l.clock())
	return g, ok
}

// Until returns until when calls of the current grant may run, by the boot-time clock. A renewal
// extends it.
func (l *Lease) Until() (rwtime.BootTime, bool) {
	l.prepare()
	l.mu.Lock()
	defer l.mu.Unlock()
	_, until, ok := l.machine.grant(l.clock())
	return until, ok
}

// Call makes a call under the lease. do gets a context that ends before the right to call does,
// also when the grant is refused or lost, and the grant that the call must bear. An error of
// rwerror.KindConflict from do counts as Refused. Call returns what do returns, or an error of
// rwerror.KindUnavailable without calling do if no call may begin now.
func (l *Lease) Call(ctx context.Context, do func(ctx context.Context, g Grant) error) error {
	callCtx, g, done, ok := l.Context(ctx)
	if !ok {
		return rwerror.New(rwerror.KindUnavailable, "leave the duties to their holder", "this instance doesn't hold the lease of the duties now")
	}
	err := do(callCtx, g)
	done(err)
	return err
}

// Context returns a context for a call under the lease, and the grant for it, as Call does. Call
// done with the call's error, nil for none, when it has ended: the lease isn't given up before.
// ok is false if no call may begin now; the other results are then nil.
func (l *Lease) Context(ctx context.Context) (callCtx context.Context, g Grant, done func(err error), ok bool) {
	l.prepare()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	g, until, ok := l.machine.grant(now)
	if !ok {
		return nil, Grant{}, nil, false
	}
	callCtx, cancel := context.WithCancel(ctx)
	c := &call{fence: g.Fence, until: until, cancel: cancel}
	l.calls[c] = true
	c.timer = time.AfterFunc(c.nextCheck(now), func() { l.check(c) })
	return callCtx, g, func(err error) { l.end(c, err) }, true
}

func (c *call) nextCheck(now rwtime.BootTime) time.Duration {
	return min(clockCheck, max(0, time.Duration(c.until-now)))
}

// check ends a call whose time is over.
func (l *Lease) check(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if !l.calls[c] {
		return
	}
	if now >= c.until {
		c.cancel()
		return
	}
	c.timer.Reset(c.nextCheck(now))
}

// end records that a call has ended. One without an answer may still be on its way.
func (l *Lease) end(c *call, err error) {
	c.cancel()
	c.timer.Stop()
	answered := err == nil || rwerror.As(err).Ran == rwerror.RanNo
	l.mu.Lock()
	delete(l.calls, c)
	if !answered {
		l.quietAt = max(l.quietAt, after(l.clock(), l.Rules.Length-l.Rules.Hold))
	}
	idle := len(l.calls) == 0
	l.mu.Unlock()
	if rwerror.Is(err, rwerror.KindConflict) {
		l.Refused(Grant{Holder: l.Self, Fence: c.fence})
	}
	if idle {
		l.notify()
	}
}

// endCallsLocked cancels the calls that may not go on.
func (l *Lease) endCallsLocked(now rwtime.BootTime) {
	m := &l.machine
	for c := range l.calls {
		if c.fence != m.fence || c.fence <= m.refused || now >= m.until {
			c.cancel()
		}
	}
}

// Refused tells that a call was refused as another instance has used a higher number. Calls
// with that number end at once. If this instance still holds the lease, it raises its number.
func (l *Lease) Refused(g Grant) {
	l.prepare()
	l.Count("duty_refused")
	l.Log.Info("a call under the lease of the duties was refused as outdated", "fence", g.Fence)
	l.change(func(_ rwtime.BootTime, m *machine) { m.refuse(g.Fence) })
	l.notify()
}
