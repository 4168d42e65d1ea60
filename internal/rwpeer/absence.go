package rwpeer

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"ragwortwall/internal/rwfeed"
)

// Absence decides which entries of the list of instances are those of instances that left.
// Nothing else takes them out: an instance that is killed can't, and one that stops mostly
// comes back under its name.
//
// An entry is removed once its instance has been silent and, after that, not there at several
// probes. That can be wrong, as for an instance that is suspended or cut off, so removal must be
// cheap to undo: an instance that finds its entry missing writes it again, and the silence
// that counts then doubles. It is conditional on the entry's revision, so that it never takes out
// one that was written again, and idempotent, so that nobody must be chosen for it.
type Absence struct {
	Silence  time.Duration // that counts; zero for a minute
	Interval time.Duration // between probes; zero for 5 s

	mu        sync.Mutex
	entries   map[string]*absentee
	returned  map[string]int // how often an entry that was removed here has come back
	reachedAt time.Time      // of the last probe of any instance that was there
}

// Listed is an entry of the list of instances.
type Listed struct {
	Member
	Position rwfeed.Position // of the entry
}

// absentee is what is known of an instance that is listed.
type absentee struct {
	position rwfeed.Position
	aliveAt  time.Time // when its entry was first seen, or it was last there at a probe
	missed   int       // probes in a row at which it was not there
	removed  bool
}

const (
	defaultSilence  = time.Minute
	defaultInterval = 5 * time.Second
	// doubtFactor lengthens the silence that counts where it says less: an instance of a former
	// build doesn't write a missing entry again, and one that reaches nobody may be cut off itself.
	doubtFactor = 10
	// maxDoublings limits how long an instance that keeps coming back is left alone.
	maxDoublings = 6
	// missedProbes is how many probes must miss an instance.
	missedProbes = 3
	// maxProbed limits the instances that are probed at a time, and maxRemoved the entries that one
	// instance removes at a time: the store's writes are limited for all together.
	maxProbed  = 16
	maxRemoved = 4
	// reachTime is how recently another instance must have been heard from or reached.
	reachTime = 15 * time.Second
)

// ProbeInterval returns the interval at which silent instances are probed.
func (a *Absence) ProbeInterval() time.Duration { return cmp.Or(a.Interval, defaultInterval) }

// Update takes the list over and returns the entries whose instances are to be probed now.
// heard returns when an instance was last heard from, or the zero time.
func (a *Absence) Update(list []Listed, heard func(name string) time.Time, now time.Time) []Listed {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := map[string]*absentee{}
	connected := now.Sub(a.reachedAt) <= reachTime
	for _, l := range list {
		e := a.entries[l.Name]
		if e == nil || e.position != l.Position {
			if e != nil && e.removed {
				a.countReturnLocked(l.Name)
			}
			e = &absentee{position: l.Position, aliveAt: now}
		}
		known[l.Name] = e
		at := heard(l.Name)
		connected = connected || now.Sub(at) <= reachTime
		if at.After(e.aliveAt) {
			e.aliveAt, e.missed = at, 0
		}
	}
	for name, e := range a.entries {
		if known[name] == nil && e.removed {
			known[name] = e // to see it come back
		}
	}
	a.entries = known
	var silent []Listed
	for _, l := range list {
		if e := known[l.Name]; l.PeerAddress != "" && !e.removed && now.Sub(e.aliveAt) >= a.silenceLocked(l, connected) {
			silent = append(silent, l)
		}
	}
	return a.chooseLocked(silent)
}

func (a *Absence) countReturnLocked(name string) {
	if a.returned == nil {
		a.returned = map[string]int{}
	}
	a.returned[name] = min(maxDoublings, a.returned[name]+1)
}

// silenceLocked returns the silence that counts for an entry.
func (a *Absence) silenceLocked(l Listed, connected bool) time.Duration {
	silence := cmp.Or(a.Silence, defaultSilence) << a.returned[l.Name]
	if !l.Renews || !connected {
		silence *= doubtFactor
	}
	return silence
}

// chooseLocked returns those that are being probed, and random others up to maxProbed.
func (a *Absence) chooseLocked(silent []Listed) []Listed {
	rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	var chosen, others []Listed
	for _, l := range silent {
		if a.entries[l.Name].missed > 0 {
			chosen = append(chosen, l)
		} else {
			others = append(others, l)
		}
	}
	return append(chosen, others[:max(0, min(len(others), maxProbed-len(chosen)))]...)
}

// Probed records whether an instance was there at a probe.
func (a *Absence) Probed(name string, there bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.entries[name]
	if there {
		a.reachedAt = now
	}
	switch {
	case e == nil:
	case there:
		e.aliveAt, e.missed = now, 0
	default:
		e.missed++
	}
}

// Gone returns those of the probed entries that are to be removed, a few at a time.
func (a *Absence) Gone(probed []Listed) []Listed {
	a.mu.Lock()
	defer a.mu.Unlock()
	var gone []Listed
	for _, l := range probed {
		if e := a.entries[l.Name]; e != nil && e.position == l.Position && e.missed >= missedProbes && len(gone) < maxRemoved {
			gone = append(gone, l)
		}
	}
	return gone
}

// Removed records that an entry was removed.
func (a *Absence) Removed(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.entries[name]; e != nil {
		e.removed = true
	}
}
