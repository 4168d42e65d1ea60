package rwbackend

import (
	"math/rand/v2"
	"time"
)

// Statement is what a server says of itself in a response.
type Statement struct {
	Leaving    bool          // it is shutting down
	RetryAfter time.Duration // for which it wants no more requests from this instance; zero if it says nothing

	Invalid string // text of a statement that can't be used and is ignored; empty if there is none
}

// MaxRetryAfter is the longest time for which a server is left alone at its word.
const MaxRetryAfter = time.Hour

const (
	// statementTTL is how long a statement of a process is kept after it left. It is many
	// times the time that leaving servers go on.
	statementTTL = 10 * time.Minute
	// returnSpread is the part of a pause by which it is extended at random, up to
	// maxReturnSpread, so that instances don't return at the same moment.
	returnSpread    = 0.25
	maxReturnSpread = 2 * time.Second
)

// process identifies a process of a server. A new one starts without the statements of the
// former, whatever name or address it has.
type process struct {
	id, address string
	incarnation int64
}

func (e Entry) process() process {
	return process{id: e.ID, address: e.Address, incarnation: e.Incarnation}
}

// statements is what a process has said of itself. It outlives the entry in the directory,
// which the store may lose or list again in an older state.
type statements struct {
	leavingAt   time.Time // when it first said that it is leaving; it can't take that back
	pausedUntil time.Time // end of the latest pause
	returning   bool      // it has not completed a request since
	invalid     bool      // it has said something that can't be used
}

// News is what a statement adds to what is known of its server.
type News struct {
	Leaving bool          // the server is leaving
	Pause   time.Duration // for which no more requests go to it; zero if it asked for none
	Invalid bool          // the first statement that can't be used
}

// RecordStatement records what a server said of itself in a response to a request that was
// sent to the entry e.
func (d *Directory) RecordStatement(e Entry, statement Statement) News {
	var news News
	if !statement.Leaving && statement.RetryAfter <= 0 && statement.Invalid == "" {
		return news
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	key := e.process()
	known, ok := d.statements[key]
	if !ok {
		d.expireStatementsLocked(now)
		known = &statements{}
		d.statements[key] = known
		if s, listed := d.servers[e.ID]; listed && s.process() == key {
			s.said = known
		}
	}
	if statement.Leaving && known.leavingAt.IsZero() {
		known.leavingAt, news.Leaving = now, true
	}
	if statement.Invalid != "" && !known.invalid {
		known.invalid, news.Invalid = true, true
	}
	if statement.RetryAfter > 0 {
		spread := min(maxReturnSpread, time.Duration(returnSpread*float64(statement.RetryAfter)))
		news.Pause = statement.RetryAfter + time.Duration(rand.Int64N(int64(spread)+1))
		known.pausedUntil, known.returning = later(known.pausedUntil, now.Add(news.Pause)), true
	}
	return news
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expireStatementsLocked forgets the statements of processes that are no longer listed, some
// time after their last effect. The caller must hold the lock of the directory.
func (d *Directory) expireStatementsLocked(now time.Time) {
	for key, s := range d.statements {
		listed, ok := d.servers[key.id]
		if ok && listed.process() == key {
			continue
		}
		if now.Sub(later(s.leavingAt, s.pausedUntil)) > statementTTL {
			delete(d.statements, key)
		}
	}
}

// Paused returns how many servers of a service want no requests for now, and the time until
// the first of them accepts one again.
func (d *Directory) Paused(service string) (count int, soonest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, s := range d.services[service] {
		if s.said == nil || s.isLeaving() || d.acceptsLocked(s, now) {
			continue
		}
		if wait := max(0, s.said.pausedUntil.Sub(now)); count == 0 || wait < soonest {
			soonest = wait
		}
		count++
	}
	return count, soonest
}

// isLeaving reports whether a server is leaving, by its entry or its own word.
func (s *Server) isLeaving() bool {
	return s.Leaving || s.said != nil && !s.said.leavingAt.IsZero()
}

// acceptsLocked reports whether a server accepts new requests. After a pause it gets one at a
// time until it has answered one. The caller must hold the lock of the directory.
func (d *Directory) acceptsLocked(s *Server, now time.Time) bool {
	switch {
	case s.isLeaving():
		return false
	case s.said == nil:
		return true
	case now.Before(s.said.pausedUntil):
		return false
	}
	return !s.said.returning || s.ownRequests == 0 && !d.hasOwnRunLocked(s, s.said.pausedUntil)
}

// hasOwnRunLocked reports whether a server has an active run that this instance placed after
// a time. The caller must hold the lock of the directory.
func (d *Directory) hasOwnRunLocked(s *Server, since time.Time) bool {
	for _, r := range s.activeRuns {
		if r.Owner == d.Self && !r.Ended && r.placedAt.After(since) {
			return true
		}
	}
	return false
}

// IsPaused reports whether a server wants no requests for now.
func (d *Directory) IsPaused(e Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.statements[e.process()]
	return known != nil && time.Now().Before(known.pausedUntil)
}

// recordReturn records that a server has answered a request.
func (s *Server) recordReturn() {
	if s.said != nil && !time.Now().Before(s.said.pausedUntil) {
		s.said.returning = false
	}
}
