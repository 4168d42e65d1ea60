package rwduty

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwtime"

	"github.com/go-logr/logr"
)

// Store reads and writes the lease's object.
type Store interface {
	// Read returns the object as it is now, with revision zero if there is none. An object that
	// can't be decoded has an empty record. Errors are of rwerror.KindUnavailable.
	Read(ctx context.Context) (Reading, error)
	// Write replaces the object if it is still at the position, or creates it if the revision is
	// zero. It returns the new position, with revision zero if the store didn't tell it. Errors
	// are of rwerror.KindConflict if nothing was written as the object or the store's era has
	// changed; all others leave open whether the write was done or will be.
	Write(ctx context.Context, at rwfeed.Position, r Record) (rwfeed.Position, error)
}

// Announcer tells the other instances who holds the lease. Announcements may be lost.
type Announcer interface {
	AnnounceDuty(a Announcement)
}

const (
	// announceInterval is the longest time between two announcements of the holder.
	announceInterval = time.Second
	// freeCopies is how often it is announced that the lease was given up, freeCopyInterval
	// apart, as datagrams get lost.
	freeCopies       = 3
	freeCopyInterval = 100 * time.Millisecond
)

// Lease takes and keeps the lease of the duties for one instance. Set the exported fields
// before Run.
type Lease struct {
	Self      string // name of this instance
	Rules     Rules
	Store     Store
	Announcer Announcer
	// Rank returns how many instances claim the lease before this one, not counting the named
	// one, which holds it or held it last.
	Rank func(without string) int
	// Eligible reports whether this instance may claim the lease now.
	Eligible func() bool
	Count    func(name string) // counts an event
	Log      logr.Logger

	once    sync.Once
	mu      sync.Mutex
	machine machine
	wake    chan struct{}   // has an element if there are news for Run
	ended   chan struct{}   // closed when this instance has left and holds nothing
	left    bool            // ended is closed
	calls   map[*call]bool  // that run under the lease
	quietAt rwtime.BootTime // when those without an answer have ended
	told    Announcement    // last announcement
	toldAt  rwtime.BootTime
	clock   func() rwtime.BootTime // replaced in tests
}

func (l *Lease) prepare() {
	l.once.Do(func() {
		l.wake, l.ended, l.calls = make(chan struct{}, 1), make(chan struct{}), map[*call]bool{}
		if l.clock == nil {
			l.clock = rwtime.Now
		}
		l.machine = machine{rules: l.Rules, self: l.Self, life: rand.Int64N(1 << 53)}
	})
}

// Run takes and keeps the lease until ctx ends. It then gives nothing up: see Release.
func (l *Lease) Run(ctx context.Context) {
	l.prepare()
	for ctx.Err() == nil {
		switch a := l.next(); a.deed {
		case deedRead:
			l.read(ctx, a)
		case deedWrite:
			l.write(ctx, a)
		default:
			l.wait(ctx, a.until)
		}
		l.announce()
	}
}

// next returns what is to be done now.
func (l *Lease) next() action {
	l.mu.Lock()
	without := l.machine.other
	l.mu.Unlock()
	c := candidate{eligible: l.Eligible(), rank: l.Rank(without)}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	return l.machine.next(now, c, len(l.calls) == 0 && now >= l.quietAt)
}

// wait waits until the time has come, there are news, or the holder has to announce itself.
func (l *Lease) wait(ctx context.Context, until rwtime.BootTime) {
	d := min(time.Duration(until-l.clock()), announceInterval/2)
	timer := time.NewTimer(max(time.Millisecond, d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.wake:
	}
}

func (l *Lease) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Lease) read(ctx context.Context, a action) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	l.Count("store_read_duties")
	r, err := l.Store.Read(ctx)
	if err != nil {
		l.Log.Info("cannot read the lease of the duties", "cause", err.Error())
		l.change(func(now rwtime.BootTime, m *machine) { m.failed(now, false, l.Rank(m.other)) })
		return
	}
	l.change(func(now rwtime.BootTime, m *machine) { m.read(now, r) })
}

func (l *Lease) write(ctx context.Context, a action) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	l.Count("store_write_duties")
	p, err := l.Store.Write(ctx, a.at, a.record)
	switch {
	case err == nil:
		l.change(func(now rwtime.BootTime, m *machine) { m.written(now, p) })
	case rwerror.Is(err, rwerror.KindConflict):
		l.Log.Info("the lease of the duties has changed", "fence", a.record.Fence, "at", a.at.String())
		l.change(func(now rwtime.BootTime, m *machine) { m.conflict(now) })
	default:
		l.Log.Info("cannot write the lease of the duties", "fence", a.record.Fence, "at", a.at.String(), "cause", err.Error())
		l.change(func(now rwtime.BootTime, m *machine) { m.failed(now, true, l.Rank(m.other)) })
	}
}

// change changes the state of the machine, ends calls whose right has ended and logs and counts
// what has become of the lease.
func (l *Lease) change(do func(now rwtime.BootTime, m *machine)) {
	l.mu.Lock()
	now := l.clock()
	before, former := l.machine.fence, l.machine.other
	do(now, &l.machine)
	m := &l.machine
	l.endCallsLocked(now)
	free := m.reading != nil && m.reading.Record.Free
	if m.leaving && m.fence == 0 && !l.left {
		l.left = true
		close(l.ended)
	}
	fence, other, position := m.fence, m.other, m.position
	l.mu.Unlock()
	switch {
	case fence == before:
	case before == 0:
		l.Count("duty_taken")
		l.Log.Info("took the lease of the duties", "fence", fence, "former", former, "at", position.String())
	case fence != 0:
		l.Count("duty_raised")
		l.Log.Info("raised the fencing number of the duties", "fence", fence, "before", before, "at", position.String())
	case free:
		l.Count("duty_released")
		l.Log.Info("gave the lease of the duties up", "fence", before, "at", position.String())
	default:
		l.Count("duty_lost")
		l.Log.Info("lost the lease of the duties", "fence", before, "holder", other, "at", position.String())
	}
}

// announce tells the other instances of each write of the holder, and that it still holds the
// lease.
func (l *Lease) announce() {
	l.mu.Lock()
	a, ok := l.machine.announcement()
	now := l.clock()
	due := ok && (a != l.told || !a.Free && now-l.toldAt >= rwtime.BootTime(announceInterval))
	if due {
		l.told, l.toldAt = a, now
	}
	l.mu.Unlock()
	if !due {
		return
	}
	l.Announcer.AnnounceDuty(a)
	for n := 1; a.Free && n < freeCopies; n++ {
		time.AfterFunc(time.Duration(n)*freeCopyInterval, func() { l.Announcer.AnnounceDuty(a) })
	}
}

// Heard handles an announcement of another instance.
func (l *Lease) Heard(a Announcement) {
	l.prepare()
	l.change(func(now rwtime.BootTime, m *machine) { m.heard(now, a) })
	l.notify()
}

// Holder returns the name and fencing number of the instance that holds the lease, as last
// heard of or known. ok is false if none is known.
func (l *Lease) Holder() (name string, fence int64, ok bool) {
	l.prepare()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.holder()
}

// Release gives the lease up, if this instance holds it, once the calls under it have ended.
// From the beginning on no new call is allowed, and the lease isn't claimed any more. Run must
// still be running. Release returns when that is done or ctx ends.
func (l *Lease) Release(ctx context.Context) {
	l.prepare()
	l.change(func(_ rwtime.BootTime, m *machine) { m.leaving = true })
	l.notify()
	select {
	case <-l.ended:
	case <-ctx.Done():
	}
}
