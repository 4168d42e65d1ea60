package rwduty

import (
	"time"

	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwtime"
)

const (
	// firstSilence is how long an instance without knowledge of a holder listens before it
	// reads the object. It covers two announcements.
	firstSilence = 2*announceInterval + announceInterval/5
	// rankDelay is what each of the first closeRanks claimants waits longer than the one before
	// it, and farRankDelay what each of the others does, up to maxRankDelay. The first one that
	// lives has then mostly read and written before the next one reads.
	rankDelay    = 100 * time.Millisecond
	closeRanks   = 20
	farRankDelay = 25 * time.Millisecond
	maxRankDelay = 4 * time.Second
	// earlyReaders is the number of claimants that read when an announcement is overdue.
	earlyReaders = 3
	// eligiblePoll is how often an instance checks whether it has become a claimant.
	eligiblePoll = 200 * time.Millisecond
	// holderPause and claimantPause are the first pauses after a failed call to the store;
	// they double up to Rules.Renew and to maxClaimantPause.
	holderPause      = 50 * time.Millisecond
	claimantPause    = 200 * time.Millisecond
	maxClaimantPause = 2 * time.Second
	// maxAttempts bounds the writes without a known outcome that are remembered.
	maxAttempts = 16
	// maxStep bounds the step by which a refused holder raises its number.
	maxStep = 1 << 20
	// forever is a wait that only news end.
	forever = time.Minute
)

// deed is what is to be done next.
type deed int

const (
	deedWait  deed = iota // until action.until, or until there are news
	deedRead              // read the object
	deedWrite             // write action.record on the condition that the object is at action.at
)

type action struct {
	deed   deed
	until  rwtime.BootTime
	at     rwfeed.Position // of the object that the write replaces; revision zero to create it
	record Record

	timeout time.Duration // for the answer of the store
}

// attempt is a write whose outcome isn't known yet.
type attempt struct {
	record Record
	at     rwtime.BootTime // before it was sent
}

// candidate is what decides whether and when an instance claims the lease.
type candidate struct {
	eligible bool
	rank     int // number of claimants that go first
}

// machine decides for one instance. It has no clock and does no calls: it is told the time,
// what was read and heard, and how writes ended. Times that it is told never fall.
type machine struct {
	rules Rules
	self  string
	life  int64

	startedAt  rwtime.BootTime // when the machine was first asked
	eligibleAt rwtime.BootTime // since when this instance could claim; zero while it can't
	position   rwfeed.Position // newest known of the object
	positionAt rwtime.BootTime // when it was first known; zero while none is
	reading    *Reading        // the object at position, if it was read or written
	free       bool            // the object at position says that it was given up
	highest    int64           // highest fencing number known

	other   string // the other holder known last
	fenceOf int64  // its fencing number

	fence    int64           // own fencing number; zero while this instance isn't the holder
	last     int64           // own fencing number as long as the process lives
	until    rwtime.BootTime // until when it may call
	calledTo rwtime.BootTime // latest end of any call that it was allowed
	renewAt  rwtime.BootTime
	attempts []attempt
	count    int64
	unsure   bool  // what the object says must be read before anything else is done
	refused  int64 // highest own number that was refused
	step     int64 // by which the number was raised last
	leaving  bool

	failures int
	pausedTo rwtime.BootTime
	askedAt  rwtime.BootTime // when the last call to the store was begun
	slowness int             // how often the timeout of such calls was doubled
}

// timeout returns how long to wait for an answer of the store. A slow store is given more time,
// up to that for which a renewal is worth something.
func (m *machine) timeout() time.Duration { return min(m.rules.Hold, m.rules.Renew/2<<m.slowness) }

// answered adapts the timeout to an answer of the store.
func (m *machine) answered(now rwtime.BootTime) {
	if m.slowness > 0 && time.Duration(now-m.askedAt) < m.timeout()/4 {
		m.slowness--
	}
}

func after(t rwtime.BootTime, d time.Duration) rwtime.BootTime { return t + rwtime.BootTime(d) }

// grant returns the right to call, and until when it lasts.
func (m *machine) grant(now rwtime.BootTime) (Grant, rwtime.BootTime, bool) {
	ok := m.fence > m.refused && !m.leaving && now < m.until
	return Grant{Holder: m.self, Fence: m.fence}, m.until, ok
}

// next returns what is to be done now. idle reports that no call runs
// or is on its way under the lease.
func (m *machine) next(now rwtime.BootTime, c candidate, idle bool) action {
	if m.startedAt == 0 {
		m.startedAt = now
	}
	switch {
	case !c.eligible:
		m.eligibleAt = 0
	case m.eligibleAt == 0:
		m.eligibleAt = now
	}
	if now < m.pausedTo {
		return action{until: m.pausedTo}
	}
	if m.unsure && (m.fence != 0 || !m.leaving) {
		return m.ask(now, action{deed: deedRead})
	}
	if m.fence != 0 {
		return m.nextOfHolder(now, idle)
	}
	if m.leaving {
		return action{until: after(now, forever)}
	}
	if !c.eligible {
		return action{until: after(now, eligiblePoll)}
	}
	return m.nextOfClaimant(now, c.rank)
}

func (m *machine) nextOfHolder(now rwtime.BootTime, idle bool) action {
	record := m.reading.Record
	switch {
	case m.leaving && !idle:
		return action{until: after(now, eligiblePoll)}
	case m.leaving:
		record.Free = true
	case m.refused >= m.fence:
		m.step = min(maxStep, max(1, 2*m.step))
		record.Fence = max(m.highest, m.refused) + m.step
	case now < m.renewAt:
		return action{until: m.renewAt}
	}
	return m.write(now, record)
}

// nextOfClaimant reads the object, and takes the lease if the object was given up or hasn't
// changed for as long as the lease lasts.
func (m *machine) nextOfClaimant(now rwtime.BootTime, rank int) action {
	if m.reading == nil {
		if due := after(m.readAt(rank), delayOfRank(rank)); now < due {
			return action{until: due}
		}
		return m.ask(now, action{deed: deedRead})
	}
	due := m.positionAt
	if !m.free {
		due = after(due, m.rules.Length)
	}
	if due = max(after(due, delayOfRank(rank)), m.returnAt()); now < due {
		return action{until: due}
	}
	return m.write(now, Record{Holder: m.self, Life: m.life, Fence: m.nextFence()})
}

// readAt returns when the first claimant reads the object, unless it hears of it before. The
// first few do so when an announcement is overdue: the holder may have ended after a write that it
// didn't announce.
func (m *machine) readAt(rank int) rwtime.BootTime {
	switch {
	case m.positionAt == 0:
		return after(m.eligibleAt, firstSilence)
	case m.free:
		return m.positionAt
	case rank < earlyReaders:
		return after(m.positionAt, m.rules.Renew*3/2)
	default:
		return after(m.positionAt, m.rules.Length)
	}
}

// returnAt returns when this instance, if it was a holder or may have been before its restart, may
// be one again. Whether others were holders meanwhile need not be known: a store that came back
// older can't tell.
func (m *machine) returnAt() rwtime.BootTime {
	return after(max(m.startedAt, m.calledTo), m.rules.Return)
}

func delayOfRank(rank int) time.Duration {
	rank = max(0, rank)
	near := min(rank, closeRanks)
	return min(maxRankDelay, time.Duration(near)*rankDelay+time.Duration(rank-near)*farRankDelay)
}

// nextFence returns a number that no holder has had.
func (m *machine) nextFence() int64 {
	return max(m.highest, m.refused, firstFence(m.position.Era)) + 1
}

// write names the write by its count and remembers when it was begun.
func (m *machine) write(now rwtime.BootTime, record Record) action {
	m.count++
	record.Count = m.count
	m.attempts = append(m.attempts, attempt{record, now})
	if len(m.attempts) > maxAttempts {
		m.attempts = m.attempts[1:]
	}
	m.highest = max(m.highest, record.fence())
	return m.ask(now, action{deed: deedWrite, at: m.position, record: record})
}

func (m *machine) ask(now rwtime.BootTime, a action) action {
	m.askedAt, a.timeout = now, m.timeout()
	return a
}

// written records that the last write succeeded.
func (m *machine) written(now rwtime.BootTime, p rwfeed.Position) {
	m.answered(now)
	if p.Revision == 0 {
		m.unsure = true // the store didn't tell the object's new revision
		return
	}
	m.failures = 0
	m.observe(now, p)
	m.apply(Reading{Position: p, Record: m.attempts[len(m.attempts)-1].record})
}

// conflict records that the last write was not done, as the object had changed.
func (m *machine) conflict(now rwtime.BootTime) {
	m.attempts = m.attempts[:len(m.attempts)-1]
	m.reading = nil
	if m.fence != 0 || len(m.attempts) > 0 {
		m.until = min(m.until, now)
		m.unsure = true
		return
	}
	// Another claimant was faster, and its announcement is on its way.
	m.pause(now, claimantPause, m.rules.Renew)
}

// failed records that a call to the store had no answer. A write may have been done, or may
// be later.
func (m *machine) failed(now rwtime.BootTime, wrote bool, rank int) {
	m.unsure = m.unsure || wrote
	if time.Duration(now-m.askedAt) >= m.timeout() && m.timeout() < m.rules.Hold {
		m.slowness++
	}
	if m.fence != 0 {
		m.pause(now, holderPause, m.rules.Renew)
		return
	}
	m.pause(now, claimantPause, max(maxClaimantPause, 2*delayOfRank(rank)))
}

func (m *machine) pause(now rwtime.BootTime, first, most time.Duration) {
	d := min(most, first<<min(m.failures, 10))
	m.failures++
	m.pausedTo = after(now, d)
}

// read records what the object says.
func (m *machine) read(now rwtime.BootTime, r Reading) {
	m.answered(now)
	m.unsure, m.failures = false, 0
	if m.positionAt == 0 || r.Position != m.position {
		m.observe(now, r.Position)
	}
	m.apply(r)
}

// observe records that the object is at a position.
func (m *machine) observe(now rwtime.BootTime, p rwfeed.Position) {
	m.position, m.positionAt, m.reading, m.free = p, now, nil, false
}

// apply records the object at the position that was observed last.
func (m *machine) apply(r Reading) {
	m.reading = &r
	m.highest = max(m.highest, r.Record.fence())
	first := firstFence(r.Position.Era)
	// A copy may say that the lease is free which was taken again before the store came back.
	m.free = r.Record.Free && r.Record.fence() >= first
	if r.Record.Life != m.life || r.Record.Holder != m.self {
		m.fence = 0
		m.noteOther(r.Record.Holder, r.Record.fence())
		return
	}
	m.other = ""
	if r.Record.Free || r.Record.fence() < first {
		// In a new era a number of its own is needed, and calls with the one before may be
		// on their way: like any claimant, this instance waits until the lease is over.
		m.fence = 0
		return
	}
	m.fence, m.last = r.Record.fence(), r.Record.fence()
	for n, a := range m.attempts {
		if a.record.Count == r.Record.Count {
			m.until = max(m.until, after(a.at, m.rules.Hold))
			m.calledTo = max(m.calledTo, m.until)
			m.renewAt = after(a.at, m.rules.Renew)
			m.attempts = m.attempts[n+1:]
			break
		}
	}
}

func (m *machine) noteOther(name string, fence int64) {
	if name == "" || name == m.self {
		return
	}
	m.other, m.fenceOf = name, fence
}

// heard records an announcement. One that is older than what is known changes nothing.
func (m *machine) heard(now rwtime.BootTime, a Announcement) {
	if a.Holder == m.self || a.Fence <= 0 || a.Fence > maxFence || a.Revision <= 0 {
		return
	}
	if a.Fence <= m.last || a.position().Before(m.position) {
		return
	}
	m.highest = max(m.highest, a.Fence)
	m.noteOther(a.Holder, a.Fence)
	if m.fence != 0 {
		// By the lease another holder can't be yet: look before anything else is called.
		m.until, m.unsure = min(m.until, now), true
		return
	}
	if m.positionAt == 0 || m.position.Before(a.position()) {
		m.observe(now, a.position())
		m.free = a.Free
		m.failures, m.pausedTo = 0, 0
	}
}

// refuse records that a call with an own number was refused as outdated.
func (m *machine) refuse(fence int64) {
	if fence <= m.refused || fence > m.last {
		return
	}
	m.refused = fence
	if m.fence != 0 && m.fence <= fence {
		m.unsure = true
	}
}

// announcement returns what the holder tells the others, if this instance is the holder or
// has just given the lease up.
func (m *machine) announcement() (Announcement, bool) {
	if m.reading == nil || m.reading.Record.Life != m.life || m.reading.Record.Holder != m.self || !m.reading.Exists() {
		return Announcement{}, false
	}
	r := m.reading.Record
	return Announcement{Holder: r.Holder, Fence: r.Fence, Era: m.position.Era, Revision: m.position.Revision, Free: r.Free}, true
}

// holder returns the holder as last heard of or known.
func (m *machine) holder() (name string, fence int64, ok bool) {
	if m.fence != 0 {
		return m.self, m.fence, true
	}
	return m.other, m.fenceOf, m.other != "" && !m.free
}
