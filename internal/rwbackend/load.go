package rwbackend

import "time"

// Report is what a server told of its load with its last response, and its age.
type Report struct {
	Told   bool          // it has told its load; otherwise the rest is zero
	Age    time.Duration // since it was told
	Queued int           // requests running and waiting
	Unseen int           // requests of this instance sent to it since
	Pace   float64       // how long work took there at that moment, 1 as usual
}

// recordLoadLocked records the load that came with a response. One without slots is ignored.
func (s *Server) recordLoadLocked(load Load, now time.Time) {
	if load.Slots <= 0 {
		return
	}
	s.load, s.loadAt, s.sentSince = load, now, 0
}

// reportLocked returns what a server has told of its load.
func (s *Server) reportLocked(now time.Time) Report {
	if s.loadAt.IsZero() {
		return Report{}
	}
	pace := s.load.Pace
	if pace <= 0 {
		pace = 1
	}
	return Report{Told: true, Age: now.Sub(s.loadAt), Queued: s.load.Running + s.load.Waiting, Unseen: s.sentSince, Pace: pace}
}
