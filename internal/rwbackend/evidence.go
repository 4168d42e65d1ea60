package rwbackend

import (
	"time"
)

// Began notes that a plain request is on its way to a server. The returned
// function is called once, when the server no longer holds it.
func (d *Directory) Began(id string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return func() {}
	}
	s.plain++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		s.plain--
	}
}

// Answered notes an answer, the time that it took, and the load told with it.
func (d *Directory) Answered(id string, failed bool, took time.Duration, load Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return
	}
	s.strikes, s.refusals = 0, 0
	s.suspect, s.heardAt = time.Time{}, time.Now()
	s.observeLocked(failed)
	if took > 0 {
		if s.latency == 0 {
			s.latency = took.Seconds()
		}
		s.latency += averageWeight * (took.Seconds() - s.latency)
	}
	if load.Slots > 0 {
		s.load, s.loadAt = load, time.Now()
	}
}

// Heard notes that a server sent the first event of a stream.
func (d *Directory) Heard(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.servers[id]; ok {
		s.heardAt = time.Now()
	}
}

func (s *Server) observeLocked(failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	s.failures += averageWeight * (x - s.failures)
}

// Lost notes that a server could not be reached, was silent or broke off. It is
// avoided for a while, longer with each loss in a row. It reports whether that
// is news.
func (d *Directory) Lost(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return false
	}
	s.observeLocked(true)
	now := time.Now()
	news := now.Sub(s.lostAt) > alarmTime
	s.lostAt = now
	if now.Before(s.suspect) {
		return news
	}
	s.strikes++
	s.suspect = now.Add(min(suspectMost, suspectTime<<min(3, s.strikes-1)))
	return news
}

// Keeps reports whether a server can still hold what was sent to it at a time:
// it is listed in the same life and was not lost since.
func (d *Directory) Keeps(id string, incarnation int64, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	return ok && s.Incarnation == incarnation && s.lostAt.Before(since)
}

// Alarmed returns the servers of a lost server's zone and service that hold
// something of this instance and were not lost with it, when so many of them were lost at about the same time that the
// others may be too.
func (d *Directory) Alarmed(id string) []Entry {
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
		case time.Since(o.lostAt) < alarmTime:
			lost++
		case time.Since(o.alarmedAt) > alarmTime && d.ownLocked(o):
			others = append(others, o.Entry)
		}
	}
	if lost < alarmLosses {
		return nil
	}
	for _, e := range others {
		d.servers[e.ID].alarmedAt = time.Now()
	}
	return others
}

// LostTogether reports whether other servers of a server's zone and service were
// lost at about the same time as it, or it is listed no more.
func (d *Directory) LostTogether(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return true
	}
	for _, o := range d.services[s.Service] {
		if o != s && o.Zone == s.Zone && s.lostAt.Sub(o.lostAt).Abs() < alarmTime {
			return true
		}
	}
	return false
}

// ownLocked reports whether a server holds a run or a copy of this instance.
func (d *Directory) ownLocked(s *Server) bool {
	for _, held := range []map[string]*Run{s.loads, s.copies} {
		for _, r := range held {
			if r.Owner == d.Self && !r.Ended {
				return true
			}
		}
	}
	return false
}

const (
	// alarmLosses is how many servers of a zone must be lost within alarmTime for
	// the others to be looked at: single servers are lost more often than zones.
	alarmLosses = 2
	// alarmTime is within which a zone's servers are found lost, one by one.
	alarmTime = 500 * time.Millisecond
)

// Refused notes that a server said that it did not run a request, as if it were
// full. It is avoided for a moment, longer with each refusal in a row: a server
// that turns away what others would take looks idle.
func (d *Directory) Refused(id string, load Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return
	}
	s.observeLocked(true)
	s.refusals++
	until := time.Now().Add(min(refusalMost, refusalTime<<min(refusalShift, s.refusals-1)))
	if s.suspect.Before(until) {
		s.suspect = until
	}
	if load.Slots > 0 {
		s.load, s.loadAt = load, time.Now()
	}
}

const (
	// refusalTime is about the work of one plain request, refusalMost that of a
	// server's start.
	refusalTime  = 50 * time.Millisecond
	refusalMost  = 2 * time.Second
	refusalShift = 6
)

// Misdirected notes that another server answered at a server's address: it has
// ended, or its entry is of an earlier life.
func (d *Directory) Misdirected(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return
	}
	now := time.Now()
	s.lostAt = now
	if s.suspect.Before(now.Add(misdirectedTime)) {
		s.suspect = now.Add(misdirectedTime)
	}
}

// misdirectedTime is how long a server at whose address another one answers is
// avoided: what the store takes to list what has changed.
const misdirectedTime = 3 * time.Second

// Suspect reports whether a server is avoided now.
func (d *Directory) Suspect(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	return !ok || time.Now().Before(s.suspect)
}

// Place takes in a run, the own or a peer's, as it is now.
func (d *Directory) Place(r Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	old, known := d.runs[r.ID]
	if known {
		r.placed = old.placed
		if old.Ended {
			return
		}
		d.unplaceLocked(old)
	}
	if !known || old.Server != r.Server {
		r.placed = now
	}
	if r.Ended {
		r.ended = now
	}
	run := &r
	d.runs[r.ID] = run
	if r.Part != "" {
		d.parts[r.Part] = run
	}
	if s, ok := d.servers[r.Server]; ok && !r.Ended {
		s.loads[r.ID] = run
	}
	if s, ok := d.servers[r.Copy]; ok && r.Copy != "" && (!r.Ended || r.Lost) {
		s.copies[r.ID] = run
	}
	d.forgetLocked(now)
}

func (d *Directory) unplaceLocked(r *Run) {
	if s, ok := d.servers[r.Server]; ok {
		delete(s.loads, r.ID)
	}
	if s, ok := d.servers[r.Copy]; ok {
		delete(s.copies, r.ID)
	}
}

// forgetLocked drops runs of which nothing can be left, a few at each call: maps
// are walked in random order.
func (d *Directory) forgetLocked(now time.Time) {
	const looks = 4
	left := looks
	for id, r := range d.runs {
		if now.Sub(r.placed) > runLife || r.Ended && now.Sub(r.ended) > runLife/3 {
			d.unplaceLocked(r)
			delete(d.runs, id)
			if d.parts[r.Part] == r {
				delete(d.parts, r.Part)
			}
		}
		if left--; left == 0 {
			return
		}
	}
}

// Latest returns the newest run of a prompt's last part.
func (d *Directory) Latest(part string) (Run, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.parts[part]
	if !ok || part == "" {
		return Run{}, false
	}
	run := *r
	run.Begun = r.hasBegun(time.Now(), d.readRate)
	return run, true
}

// Forget ends all runs of an instance that is gone: its copies stay.
func (d *Directory) Forget(owner string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, r := range d.runs {
		if r.Owner == owner && !r.Ended {
			r.Ended, r.Lost, r.ended = true, true, now
		}
	}
}

// MeasureRead takes in how long a server that had nothing else to read took for
// a prompt. The average moves slowly, so that one slow server weighs little.
func (d *Directory) MeasureRead(tokens int, took time.Duration) {
	if tokens < 500 || took <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	rate := min(4*d.readRate, max(d.readRate/4, float64(tokens)/took.Seconds()))
	d.readRate += averageWeight / 2 * (rate - d.readRate)
}

// ReadRate is the prompt tokens that a server reads a second.
func (d *Directory) ReadRate() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.readRate
}

// MeasureToken takes in how long a number of tokens took.
func (d *Directory) MeasureToken(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.token += averageWeight / 2 * (took.Seconds()/float64(tokens) - d.token)
}

// TokenTime is the time between two tokens of a stream.
func (d *Directory) TokenTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.token * float64(time.Second))
}
