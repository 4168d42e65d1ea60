package rwusage

import (
	"slices"
	"sync"
	"time"

	"ragwortwall/internal/rwtime"
)

// Time is a point in time, since the beginning of 1970.
type Time time.Duration

// Add returns the time after a duration.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the time that has passed since an earlier time.
func (t Time) Sub(earlier Time) time.Duration { return time.Duration(t - earlier) }

// windowAt returns the number of the window that a time is in.
func windowAt(t Time, length time.Duration) int64 { return int64(t) / int64(length) }

// windowEnd returns when a window ends.
func windowEnd(window int64, length time.Duration) Time { return Time(window+1) * Time(length) }

const (
	// maxRoundTrip is the longest round trip after which an answer still tells the time.
	maxRoundTrip = time.Second
	// sampleLife is how long an answer that came fast keeps slower ones from being used.
	sampleLife = 30 * time.Second
	// clockLife is how long the clock of an instance counts after it was last heard: three times
	// as long as an instance without requests is silent.
	clockLife = 3 * contactInterval
	// minClocks is how many other instances the holder must have heard to correct its
	// time; fewer if there aren't as many, or if it didn't hear more for clockWait.
	minClocks = 3
	clockWait = 10 * time.Second
)

// Clock tells the fleet's time. It reads the time of day only once, at the start of the process:
// from then on it counts by the boot-time clock, so that a step of the time of day changes
// nothing. It is corrected by what the holder of the duty tells.
type Clock struct {
	mu        sync.Mutex
	own       time.Duration // the time of day at the start, less the boot-time clock
	shift     time.Duration // the fleet's time less the own one
	roundTrip time.Duration // of the answer that gave shift
	sampledAt rwtime.BootTime
	sampled   bool
	known     bool // the clock has been compared with others
}

// NewClock returns a clock that shows the given time of day at a reading of the boot-time clock.
func NewClock(wall time.Time, at rwtime.BootTime) *Clock {
	return &Clock{own: time.Duration(wall.UnixNano()) - time.Duration(at)}
}

// Own returns the time of this instance without corrections.
func (c *Clock) Own(at rwtime.BootTime) Time { return Time(at) + Time(c.own) }

// Fleet returns the fleet's time as far as it is known.
func (c *Clock) Fleet(at rwtime.BootTime) Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Own(at) + Time(c.shift)
}

// Learn corrects the clock by an answer of the holder: when the message was sent, by Own, what
// the holder told then, and when the answer arrived. Answers that took long are ignored.
func (c *Clock) Learn(sent Time, told Time, arrived rwtime.BootTime) {
	roundTrip := c.Own(arrived).Sub(sent)
	if roundTrip < 0 || roundTrip > maxRoundTrip {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sampled && roundTrip > 2*c.roundTrip && time.Duration(arrived-c.sampledAt) < sampleLife {
		return
	}
	c.shift = told.Add(roundTrip / 2).Sub(c.Own(arrived))
	c.roundTrip, c.sampledAt, c.sampled, c.known = roundTrip, arrived, true, true
}

// Set sets the fleet's time to the own one and a shift, on the holder.
func (c *Clock) Set(shift time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shift, c.sampled, c.known = shift, false, true
}

// Known reports whether the clock has been compared with those of others.
func (c *Clock) Known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

// heardClock is the clock of another instance.
type heardClock struct {
	ahead time.Duration // of the own one, less the time that its message took
	at    rwtime.BootTime
}

// Clocks are the clocks of the other instances as this one heard them. The zero value is empty.
type Clocks struct {
	heard map[string]heardClock
}

// Hear records the clock of an instance: its own time in a message, and that of this instance
// at the arrival. Of several, the message that took the shortest time counts.
func (c *Clocks) Hear(name string, theirs, own Time, at rwtime.BootTime) {
	if c.heard == nil {
		c.heard = map[string]heardClock{}
	}
	ahead := theirs.Sub(own)
	old, known := c.heard[name]
	if known && old.ahead > ahead && time.Duration(at-old.at) < clockLife && old.ahead-ahead < maxRoundTrip {
		ahead = old.ahead
	}
	c.heard[name] = heardClock{ahead, at}
}

// Forget forgets an instance that may be gone, until it is heard again.
func (c *Clocks) Forget(name string) { delete(c.heard, name) }

// Alive reports whether an instance was heard lately.
func (c *Clocks) Alive(name string, at rwtime.BootTime) bool {
	h, ok := c.heard[name]
	return ok && time.Duration(at-h.at) < clockLife
}

// Median returns how far the median of the clocks, this instance's included, is ahead of this
// one's. It is false while fewer others than the given number were heard lately.
func (c *Clocks) Median(least int, at rwtime.BootTime) (time.Duration, bool) {
	all := []time.Duration{0}
	for name, h := range c.heard {
		if c.Alive(name, at) {
			all = append(all, h.ahead)
		} else {
			delete(c.heard, name)
		}
	}
	if len(all)-1 < least {
		return 0, false
	}
	slices.Sort(all)
	return (all[(len(all)-1)/2] + all[len(all)/2]) / 2, true
}
