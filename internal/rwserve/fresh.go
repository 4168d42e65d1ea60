package rwserve

import (
	"sync"
	"time"

	"ragwortwall/internal/rwslot"
	"ragwortwall/internal/rwwire"
)

// The thrift of digests: most of what an instance knows has not changed since it
// was last told.
const (
	freshTime   = 900 * time.Millisecond // a changed load is told for this long
	fullEvery   = 3 * time.Second        // all loads are told again
	fullWindow  = 450 * time.Millisecond // for one round
	heardEvery  = 800 * time.Millisecond
	heardWindow = 410 * time.Millisecond
)

// fresh knows which loads have changed lately.
type fresh struct {
	mu      sync.Mutex
	told    map[string]rwslot.Load
	changed map[string]time.Time
}

// loads returns the loads that peers may not know yet, and all of them once in a
// while.
func (f *fresh) loads(all map[string]rwslot.Load, now time.Time) []*rwwire.ServerLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.told == nil {
		f.told = map[string]rwslot.Load{}
		f.changed = map[string]time.Time{}
	}
	full := inWindow(now, fullEvery, fullWindow)
	var out []*rwwire.ServerLoad
	for server, load := range all {
		if differ(f.told[server], load) {
			f.told[server] = load
			f.changed[server] = now
		}
		if full || now.Sub(f.changed[server]) < freshTime {
			out = append(out, rwslot.ToWire(server, load))
		}
	}
	return out
}

// inWindow reports whether a time is in the first part of a period.
func inWindow(now time.Time, period, part time.Duration) bool {
	return time.Duration(now.UnixNano())%period < part
}

func differ(a, b rwslot.Load) bool {
	return a.Held != b.Held || a.Limit != b.Limit || a.Waiting != b.Waiting || a.Down != b.Down ||
		a.Leaving != b.Leaving || a.Incarnation != b.Incarnation || len(a.Versions) != len(b.Versions)
}
