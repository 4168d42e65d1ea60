package rwduty

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwtime"

	"github.com/stretchr/testify/require"
)

const (
	testBound = 3 * time.Second
	tick      = 10 * time.Millisecond
	// callInterval is how often a holder calls.
	callInterval = 100 * time.Millisecond
	// maxTravel is how long a call may be on its way after its sender has stopped to wait.
	maxTravel = 400 * time.Millisecond
)

// world is a store, a platform and instances without clocks, threads or a network: events
// happen at the times that a seed draws.
type world struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration // true time
	events map[time.Duration][]func()

	object    Reading // of the store
	copied    Reading
	down      bool
	slow      time.Duration // added to each answer of the store
	lost      float64       // share of answers that are lost
	late      float64       // share of writes without answer that are done seconds later
	callsLate float64       // the same of calls
	farCalls  float64       // share of calls that may take as long as the lease allows

	fenced  bool
	calls   []sentCall       // that were accepted
	highest int64            // number of a call that arrived
	users   map[int64]string // holder that used a number
	nodes   []*node
}

type sentCall struct {
	at     time.Duration
	holder string
	fence  int64
	late   bool // it was carried out late
}

// node is an instance. Its clock differs from the true time and is never stepped.
type node struct {
	world  *world
	name   string
	offset time.Duration
	m      machine

	busy      bool // a call to the store is on its way
	process   int  // counts its restarts; what was under way for a former one is lost
	paused    bool
	dead      bool
	cut       bool // from the store and the others
	nextCall  time.Duration
	running   int           // calls that it waits for
	quietAt   time.Duration // when those that had no answer have ended
	told      Announcement
	refusedAt map[int64]time.Duration // own numbers that were refused
}

func newWorld(t *testing.T, seed uint64, nodes int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 48)), now: time.Hour, events: map[time.Duration][]func(){}, users: map[int64]string{}}
	w.object.Position.Era = 1
	for n := range nodes {
		w.nodes = append(w.nodes, &node{world: w, name: fmt.Sprint("n", n), offset: time.Duration(n+1) * time.Hour})
		w.nodes[n].start()
	}
	return w
}

func (n *node) start() {
	n.process++
	n.dead, n.paused, n.busy, n.running = false, false, false, 0
	n.m = machine{rules: NewRules(testBound), self: n.name, life: n.world.random.Int64()}
	n.refusedAt = map[int64]time.Duration{}
}

func (n *node) clock() rwtime.BootTime { return rwtime.BootTime(n.world.now + n.offset) }

// between draws a duration.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1)).Truncate(time.Millisecond)
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) at(delay time.Duration, do func()) {
	at := (w.now + delay).Truncate(time.Millisecond)
	w.events[at] = append(w.events[at], do)
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += time.Millisecond {
		due := w.events[w.now]
		delete(w.events, w.now)
		for _, do := range due {
			do()
		}
		if w.now%tick == 0 {
			for _, n := range w.random.Perm(len(w.nodes)) {
				w.nodes[n].step()
			}
		}
	}
}

func (n *node) step() {
	if n.dead || n.paused {
		return
	}
	n.tell()
	n.call()
	if n.busy {
		return
	}
	rank := 0
	for _, other := range n.world.nodes {
		if other.name < n.name && other.name != n.m.other {
			rank++
		}
	}
	now := n.clock()
	switch a := n.m.next(now, candidate{eligible: true, rank: rank}, n.running == 0 && n.world.now >= n.quietAt); a.deed {
	case deedRead:
		n.ask(false, func() (Reading, bool) { return n.world.object, true }, func(r Reading, _ bool) { n.m.read(n.clock(), r) })
	case deedWrite:
		n.ask(true, func() (Reading, bool) { return n.world.write(a) }, func(r Reading, ok bool) {
			if ok {
				n.m.written(n.clock(), r.Position)
			} else {
				n.m.conflict(n.clock())
			}
		})
	case deedWait:
	}
}

// write replaces the store's object.
func (w *world) write(a action) (Reading, bool) {
	if a.at != w.object.Position {
		return Reading{}, false
	}
	w.object = Reading{Position: rwfeed.Position{Era: a.at.Era, Revision: a.at.Revision + 1 + int64(w.random.IntN(2))}, Record: a.record}
	return w.object, true
}

// ask sends a call to the store. Its answer may be late or lost, and a write may be done late.
func (n *node) ask(write bool, do func() (Reading, bool), answer func(Reading, bool)) {
	w, process := n.world, n.process
	n.busy = true
	var finish func(deliver func())
	finish = func(deliver func()) {
		switch {
		case n.process != process || n.dead || !n.busy:
		case n.paused:
			w.at(tick, func() { finish(deliver) })
		default:
			n.busy = false
			deliver()
		}
	}
	answered := false
	w.at(n.m.timeout(), func() {
		if !answered {
			answered = true
			finish(func() { n.m.failed(n.clock(), write, 0) })
		}
	})
	if n.cut || w.down {
		return
	}
	toStore := w.between(time.Millisecond, 20*time.Millisecond) + w.slow/2
	if write && w.chance(w.late) {
		w.at(toStore+w.between(time.Second, 5*time.Second), func() { do() })
		return
	}
	w.at(toStore, func() {
		r, ok := do()
		if w.chance(w.lost) || n.cut {
			return
		}
		w.at(w.between(time.Millisecond, 20*time.Millisecond)+w.slow/2, func() {
			if !answered {
				answered = true
				finish(func() { answer(r, ok) })
			}
		})
	})
}

func (n *node) tell() {
	a, ok := n.m.announcement()
	if !ok || a == n.told || n.cut {
		return
	}
	n.told = a
	for _, other := range n.world.nodes {
		if other != n && n.world.chance(0.9) {
			n.world.at(n.world.between(time.Millisecond, 30*time.Millisecond), func() {
				if !other.dead && !other.paused && !other.cut {
					other.m.heard(other.clock(), a)
				}
			})
		}
	}
}

// call calls the platform, if this instance may.
func (n *node) call() {
	w := n.world
	g, until, ok := n.m.grant(n.clock())
	if !ok || w.now < n.nextCall || n.cut {
		return
	}
	n.nextCall = w.now + callInterval
	travel := w.between(time.Millisecond, 30*time.Millisecond)
	if w.chance(w.farCalls) { // up to the longest way that the margin of the lease allows
		travel = w.between(0, time.Duration(until-n.clock())+maxTravel)
	}
	late := w.fenced && w.chance(w.callsLate)
	if late {
		travel += w.between(time.Second, 4*time.Second)
	}
	n.running++
	ended := false
	end := func(process int, do func()) {
		if n.process == process && !n.dead && !ended {
			ended = true
			n.running--
			do()
		}
	}
	process := n.process
	w.at(time.Duration(until-n.clock()), func() {
		end(process, func() { n.quietAt = max(n.quietAt, w.now+n.m.rules.Length-n.m.rules.Hold) })
	})
	w.at(travel, func() {
		accepted := w.arrive(sentCall{w.now, g.Holder, g.Fence, late})
		w.at(w.between(time.Millisecond, 30*time.Millisecond), func() {
			if n.paused || late {
				return
			}
			end(process, func() {
				if !accepted {
					n.refusedAt[g.Fence] = w.now
					n.m.refuse(g.Fence)
				}
			})
		})
	})
	_, refused := n.refusedAt[g.Fence]
	require.False(w.t, refused, "%s calls with the refused number %d", n.name, g.Fence)
}

// arrive checks a call by the rules for holders, and reports whether it is accepted.
func (w *world) arrive(c sentCall) bool {
	if user, ok := w.users[c.fence]; ok && user != c.holder {
		require.Fail(w.t, "two holders", "%s and %s use the number %d", user, c.holder, c.fence)
	}
	w.users[c.fence] = c.holder
	if c.fence < w.highest {
		require.True(w.t, w.fenced, "%s calls with an outdated number at %s", c.holder, w.now)
		return false
	}
	w.highest = c.fence
	w.calls = append(w.calls, c)
	other := ""
	for k := len(w.calls) - 1; k >= 0 && w.now-w.calls[k].at < testBound && !c.late; k-- {
		earlier := w.calls[k]
		if earlier.late {
			continue
		}
		if earlier.holder != c.holder {
			other = earlier.holder
			continue
		}
		require.Empty(w.t, other, "%s, %s, %s within %s at %s", c.holder, other, c.holder, w.now-earlier.at, w.now)
	}
	return true
}

// longestPause returns the longest time without a call since a time.
func (w *world) longestPause(since time.Duration) time.Duration {
	longest, last := time.Duration(0), since
	for _, c := range w.calls {
		if c.at >= since {
			longest, last = max(longest, c.at-last), c.at
		}
	}
	return max(longest, w.now-last)
}

// holder returns the instance that may call now, nil if there is none.
func (w *world) holder() *node {
	for _, n := range w.nodes {
		if _, _, ok := n.m.grant(n.clock()); ok && !n.dead && !n.paused {
			return n
		}
	}
	return nil
}
