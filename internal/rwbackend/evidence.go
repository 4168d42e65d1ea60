package rwbackend

import (
	"time"
)

// TrackRequest counts a non-streaming request as in flight on a server. The caller must
// call the returned function once, when the request is no longer in flight.
func (d *Directory) TrackRequest(id string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return func() {}
	}
	s.ownRequests++
	s.sentSince++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		s.ownRequests--
	}
}

// RecordResponse records a response, its latency and the load reported with it. It
// ends the server's back-off. A latency of zero or a load without slots is
// ignored.
func (d *Directory) RecordResponse(id string, failed bool, took time.Duration, load Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return
	}
	s.consecutiveLosses, s.consecutiveRefusals = 0, 0
	s.suspectUntil, s.receivedAt = time.Time{}, time.Now()
	s.recordAliveLocked(took)
	s.recordResultLocked(failed)
	s.recordReturn()
	if took > 0 {
		if s.latency == 0 {
			s.latency = took.Seconds()
		}
		s.latency += averageSampleWeight * (took.Seconds() - s.latency)
	}
	if !failed {
		d.recordWorkLocked(s, took, load, time.Now())
	}
	s.recordLoadLocked(load, time.Now())
}

// RecordFirstEvent records that a server sent the first event of a stream.
func (d *Directory) RecordFirstEvent(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.servers[id]; ok {
		s.receivedAt = time.Now()
		s.recordAliveLocked(0)
		s.recordReturn()
	}
}

// MaxBufferTime is how long what a server sent may wait in the buffers of this machine until
// it is read.
const MaxBufferTime = 200 * time.Millisecond

// recordAliveLocked records that the server's process ran when it got a request that took
// this long, or MaxBufferTime ago if that is not known. The caller must hold the lock of the
// directory.
func (s *Server) recordAliveLocked(took time.Duration) {
	if took <= 0 {
		took = MaxBufferTime
	}
	if at := time.Now().Add(-took); at.After(s.aliveAt) {
		s.aliveAt = at
	}
}

// recordResultLocked adds a result to the moving average of the failure rate. The caller
// must hold the lock of the directory.
func (s *Server) recordResultLocked(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failureRate += averageSampleWeight * (sample - s.failureRate)
}

// RecordLoss records that a server was unreachable, timed out or closed the connection
// early, and backs off from it, longer after each consecutive loss. It reports
// whether no other loss of the server was recorded in the preceding
// zoneLossWindow, and false if the server is not listed.
func (d *Directory) RecordLoss(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return false
	}
	s.recordResultLocked(true)
	now := time.Now()
	first := now.Sub(s.lostAt) > zoneLossWindow
	s.lostAt = now
	if now.Before(s.suspectUntil) {
		return first
	}
	s.consecutiveLosses++
	s.suspectUntil = now.Add(min(maxLossBackoff, baseLossBackoff<<min(3, s.consecutiveLosses-1)))
	return first
}

// WithdrawLosses forgets the losses of a service's servers since a time: they were losses of
// the path to them.
func (d *Directory) WithdrawLosses(service string, since time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services[service] {
		if s.lostAt.Before(since) {
			continue
		}
		s.lostAt, s.suspectUntil, s.consecutiveLosses = time.Time{}, time.Time{}, 0
	}
}

// MayStillHold reports whether a server may still hold data that was sent to it at the
// given time: it is listed with the same incarnation and was not lost since.
func (d *Directory) MayStillHold(id string, incarnation int64, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	return ok && s.Incarnation == incarnation && s.lostAt.Before(since)
}

// ServersToProbe returns the servers to probe after the loss of a server: if at least
// minZoneLosses servers of its zone and service were lost within zoneLossWindow,
// those of the same zone and service that hold a run or copy of this instance and
// were not lost themselves. A server is returned at most once per zoneLossWindow.
func (d *Directory) ServersToProbe(id string) []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return nil
	}
	lost, others := 0, []Entry(nil)
	for _, o := range d.services[s.Service] {
		switch {
		case o.Zone != s.Zone:
		case time.Since(o.lostAt) < zoneLossWindow:
			lost++
		case time.Since(o.probedAt) > zoneLossWindow && d.holdsOwnRunLocked(o):
			others = append(others, o.Entry)
		}
	}
	if lost < minZoneLosses {
		return nil
	}
	for _, e := range others {
		d.servers[e.ID].probedAt = time.Now()
	}
	return others
}

// IsCorrelatedLoss reports whether another server of the zone and service of e was lost
// within zoneLossWindow of a time. Servers that isExcluded accepts are left out.
func (d *Directory) IsCorrelatedLoss(e Entry, at time.Time, isExcluded func(id string) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.services[e.Service] {
		if o.ID != e.ID && o.Zone == e.Zone && !o.lostAt.IsZero() && at.Sub(o.lostAt).Abs() < zoneLossWindow && !isExcluded(o.ID) {
			return true
		}
	}
	return false
}

// Neighbours returns the entries of up to limit other servers of the same service and
// availability zone that are not leaving.
func (d *Directory) Neighbours(e Entry, limit int) []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var neighbours []Entry
	for _, o := range d.services[e.Service] {
		if len(neighbours) == limit {
			break
		}
		if o.ID != e.ID && o.Zone == e.Zone && o.Address != e.Address && !o.isLeaving() {
			neighbours = append(neighbours, o.Entry)
		}
	}
	return neighbours
}

// Fate is what the directory knows of a server's process since an event.
type Fate int

// The fates of a server's process.
const (
	FateUnknown  Fate = iota
	FateResponds      // it has sent something since that was not yet on its way
	FateReplaced      // it has ended: a newer process runs under its id or at its address
	FateLeaving       // it shuts down in order
	FateUnlisted      // its entry was removed
)

// Fate returns what is known of a server's process since a time. e is its entry of
// that time.
func (d *Directory) Fate(e Entry, since time.Time) Fate {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.services[e.Service] {
		if o.Address == e.Address && o.Incarnation > e.Incarnation {
			return FateReplaced
		}
	}
	s, ok := d.servers[e.ID]
	switch {
	case !ok:
		return FateUnlisted
	case s.Incarnation > e.Incarnation:
		return FateReplaced
	case s.isLeaving():
		return FateLeaving
	case s.aliveAt.After(since):
		return FateResponds
	}
	return FateUnknown
}

// holdsOwnRunLocked reports whether a server holds an active run of this instance
// or a copy of one.
func (d *Directory) holdsOwnRunLocked(s *Server) bool {
	for _, held := range []map[runKey]*Run{s.activeRuns, s.copies} {
		for _, r := range held {
			if r.Owner == d.Self && !r.Ended {
				return true
			}
		}
	}
	return false
}

const (
	// minZoneLosses is how many servers of a zone must be lost within zoneLossWindow
	// before the others are probed. One loss is not enough, as single servers fail
	// more often than zones.
	minZoneLosses = 2
	// zoneLossWindow is the time within which losses in one zone count as
	// correlated. The servers of a failed zone are detected one by one.
	zoneLossWindow = 500 * time.Millisecond
)

// RecordRefusal records that a server rejected a request without running it, and backs
// off from the server, longer after each consecutive refusal. Without the
// back-off, a faulty server that rejects everything would look idle and attract
// more requests.
func (d *Directory) RecordRefusal(id string, load Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return
	}
	s.recordResultLocked(true)
	s.consecutiveRefusals++
	until := time.Now().Add(min(maxRefusalBackoff, baseRefusalBackoff<<min(maxRefusalShift, s.consecutiveRefusals-1)))
	if s.suspectUntil.Before(until) {
		s.suspectUntil = until
	}
	s.recordLoadLocked(load, time.Now())
}

const (
	// The first back-off after a refusal is about the duration of a non-streaming
	// request, the longest about the start-up time of a server.
	baseRefusalBackoff = 50 * time.Millisecond
	maxRefusalBackoff  = 2 * time.Second
	maxRefusalShift    = 6 // limits the doublings; the last one exceeds maxRefusalBackoff
)

// RecordMisdirected records that a different server answered at a server's address:
// the server has ended, or its entry belongs to an earlier incarnation.
func (d *Directory) RecordMisdirected(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return
	}
	now := time.Now()
	s.lostAt = now
	if s.suspectUntil.Before(now.Add(misdirectedBackoff)) {
		s.suspectUntil = now.Add(misdirectedBackoff)
	}
}

// misdirectedBackoff is how long a server is avoided after a different one
// answered at its address: long enough for the store to list the change.
const misdirectedBackoff = 3 * time.Second

// Suspect reports whether a server is in back-off or not listed.
func (d *Directory) Suspect(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	return !ok || time.Now().Before(s.suspectUntil)
}

// RecordPrefill updates the average prefill rate with the prefill time of one
// prompt, measured on a server that had no other prompts to process. Prompts
// below 500 tokens are ignored. A sample is limited to between a quarter and four
// times the average and has a low weight, so that one slow server changes the
// average little. It returns the measured rate in prompt tokens per second, or zero if the
// sample is ignored.
func (d *Directory) RecordPrefill(tokens int, took time.Duration) int {
	if tokens < 500 || took <= 0 {
		return 0
	}
	measured := float64(tokens) / took.Seconds()
	d.mu.Lock()
	defer d.mu.Unlock()
	rate := min(4*d.prefillRate, max(d.prefillRate/4, measured))
	d.prefillRate += averageSampleWeight / 2 * (rate - d.prefillRate)
	return int(measured)
}

// PrefillRate returns the average prefill rate of a server, in prompt tokens per
// second.
func (d *Directory) PrefillRate() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.prefillRate
}

// RecordTokenTime updates the average token interval with the time that a server
// took to generate a number of tokens.
func (d *Directory) RecordTokenTime(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tokenInterval += averageSampleWeight / 2 * (took.Seconds()/float64(tokens) - d.tokenInterval)
}

// RecordEvents updates the average number of tokens in an event of a stream.
func (d *Directory) RecordEvents(tokens, events int) {
	if tokens <= 0 || events <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.eventTokens += averageSampleWeight / 2 * (float64(tokens)/float64(events) - d.eventTokens)
}

// EventTokens returns the average number of tokens in an event of a stream.
func (d *Directory) EventTokens() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.eventTokens
}

// TokenTime returns the average time between two tokens of a stream.
func (d *Directory) TokenTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.tokenInterval * float64(time.Second))
}
