package rwversion

import "time"

// Room is what servers hold or can hold.
type Room struct {
	Servers  int
	Requests int
	Tokens   int // of KV caches; zero if the servers have none
}

// Plus returns the sum of two rooms.
func (r Room) Plus(o Room) Room {
	return Room{Servers: r.Servers + o.Servers, Requests: r.Requests + o.Requests, Tokens: r.Tokens + o.Tokens}
}

// holds reports whether servers can hold what others hold.
func (r Room) holds(o Room) bool {
	return r.Servers > 0 && r.Requests >= o.Requests && r.Tokens >= o.Tokens
}

// Capacity is what an instance knows of the servers of a service with a move.
type Capacity struct {
	New  Room // of the servers of the new version that accept requests and are in reach
	Old  Room // of the other servers that accept requests
	Load Room // that all servers of the service hold now
}

// Enough reports whether the new version can take all requests: it can hold what all servers
// hold, or as much as the old ones can.
func (c Capacity) Enough() bool { return c.New.holds(c.Load) || c.New.holds(c.Old) }

// maxShare returns the share of requests that the new version can take.
func (c Capacity) maxShare() float64 {
	switch {
	case c.Enough():
		return 1
	case c.New.Servers == 0:
		return 0
	}
	share := 1.0
	if c.Load.Requests > 0 {
		share = min(share, float64(c.New.Requests)/float64(c.Load.Requests))
	}
	if c.Load.Tokens > 0 {
		share = min(share, float64(c.New.Tokens)/float64(c.Load.Tokens))
	}
	return share
}

const (
	// settleTime is how long the new version must have been able to take all requests before
	// a move completes, which can't be undone.
	settleTime = time.Second
	// shortageTimeout is how long a move waits at its deadline for servers of the new version
	// that are away for a moment, as after a crash.
	shortageTimeout = 5 * time.Second
	// minShortShare is the share of instances that must lack servers of the new version to hold
	// a completion up, so that one of many with a fault of its own doesn't.
	minShortShare = 0.1
	// missedRepeats is after how many missing notices a peer's word no longer counts.
	missedRepeats = 3
)

// supply is what an instance knows of the servers for a move over time.
type supply struct {
	Capacity

	known       bool
	enoughSince time.Time // zero while the new version can't take all requests
	shortSince  time.Time // zero while it can
	newSince    time.Time // since when there are servers of the new version; zero if there are none
}

func (s *supply) update(c Capacity) {
	now := time.Now()
	s.Capacity, s.known = c, true
	switch {
	case c.New.Servers == 0:
		s.newSince = time.Time{}
	case s.newSince.IsZero():
		s.newSince = now
	}
	switch {
	case !c.Enough():
		s.enoughSince = time.Time{}
		if s.shortSince.IsZero() {
			s.shortSince = now
		}
	case s.enoughSince.IsZero():
		s.enoughSince, s.shortSince = now, time.Time{}
	}
}

// settled reports whether the new version has been able to take all requests for settleTime.
func (s *supply) settled() bool {
	return !s.enoughSince.IsZero() && time.Since(s.enoughSince) >= settleTime
}

// SetCapacity records what this instance knows of the servers of a service. It reports whether
// the new version can take all requests from now on, or no longer. It returns false if the
// service has no move.
func (m *Moves) SetCapacity(service string, c Capacity) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.moves[service]
	if !ok {
		return false
	}
	changed = !p.supply.known || p.supply.Enough() != c.Enough()
	p.supply.update(c)
	// Without old servers either, the fault isn't the new version's.
	p.own.Short = !c.Enough() && c.Old.Servers > 0
	return changed
}

// Running returns the moves that have not ended.
func (m *Moves) Running() []Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	var running []Move
	for _, p := range m.moves {
		if p.State < StateCompleted {
			running = append(running, p.Move)
		}
	}
	return running
}

// peersShort reports whether so many other instances lack servers of the new version, while
// they reach old ones, that their callers would not be served after the move.
func (p *progress) peersShort() bool {
	short := 0
	timeout := missedRepeats * repeatInterval(len(p.peers))
	for name, t := range p.peers {
		if t.Short && time.Since(p.heard[name]) < timeout {
			short++
		}
	}
	return short > 0 && float64(short) >= minShortShare*float64(len(p.peers)+1)
}

// updateShortage records whether other instances lack servers of the new version.
func (p *progress) updateShortage() {
	switch {
	case !p.peersShort():
		p.peersShortSince = time.Time{}
	case p.peersShortSince.IsZero():
		p.peersShortSince = time.Now()
	}
}

// canComplete reports whether the old servers may stop: the new version can take all requests,
// as this instance and the others see it.
func (p *progress) canComplete() bool { return p.supply.settled() && p.peersShortSince.IsZero() }

// canTakeBack reports whether the new servers may stop though nothing speaks against their
// version: old ones accept requests.
func (p *progress) canTakeBack() bool { return p.supply.known && p.supply.Old.Servers > 0 }

// shortFor returns for how long the new version has not been able to take all requests, as this
// instance or others see it.
func (p *progress) shortFor() time.Duration {
	longest := time.Duration(0)
	for _, since := range []time.Time{p.supply.shortSince, p.peersShortSince} {
		if !since.IsZero() {
			longest = max(longest, time.Since(since))
		}
	}
	return longest
}
