package rwloss

import (
	"time"

	"ragwortwall/internal/rwbackend"
)

// Verdict is what became of a lost server.
type Verdict int

// The verdicts on a lost server.
const (
	Open            Verdict = iota // nothing tells yet
	Survived                       // its process ran on, so that the path to it was lost
	Left                           // it shut down in order
	Ended                          // its process ended, and others of its availability zone ran on
	EndedWithOthers                // its process ended, and so did others that didn't run the request
	Undecided                      // nothing told in time
)

// Neighbours is what is known of other servers of the same service and availability zone that
// didn't run the request.
type Neighbours int

// The states of the neighbours of a lost server.
const (
	NeighboursRun     Neighbours = iota // all run, or there are none
	NeighboursUnknown                   // nothing is known of some of them since the loss
	NeighboursEnded                     // some ended
)

// Signs is what is known of a lost server.
type Signs struct {
	Fate       rwbackend.Fate
	Age        time.Duration // since the loss
	UnlistedAt time.Duration // from the loss until the entry was found removed, with FateUnlisted
	ListedAt   time.Duration // from the loss until when the list of servers is complete; negative if that was before
	Neighbours Neighbours
}

// Rule judges losses by signs.
type Rule struct {
	Expiry time.Duration // silence of a server after which the store removes its entry; zero if it never does
}

const (
	// removalDelay covers the time from the removal of an entry until it is known here.
	removalDelay = time.Second
	// returnDelay is how long an entry that was removed may still be kept, as an outage of the
	// store may be the cause.
	returnDelay = 3 * time.Second
	// maxOpenTime limits how long a loss stays open while the store doesn't confirm the list.
	maxOpenTime = time.Minute
)

// Judge returns the verdict on a loss.
func (r Rule) Judge(s Signs) Verdict {
	switch s.Fate {
	case rwbackend.FateResponds:
		return Survived
	case rwbackend.FateLeaving:
		return Left
	case rwbackend.FateUnlisted:
		// A server that ended has written its entry before the loss, at most one heartbeat
		// interval ago: silence removes the entry later than this.
		if r.Expiry <= 0 || s.UnlistedAt < r.Expiry/2 {
			return Left
		}
		return r.judgeEnd(s)
	case rwbackend.FateReplaced:
		return r.judgeEnd(s)
	case rwbackend.FateUnknown:
	}
	switch {
	case r.Expiry > 0 && s.ListedAt > r.Expiry+returnDelay:
		return Survived
	case s.Age > maxOpenTime:
		return Undecided
	}
	return Open
}

// judgeEnd returns the verdict on a server that has ended. Until the entries of others that
// ended with it would have been removed, it isn't known whether there are any.
func (r Rule) judgeEnd(s Signs) Verdict {
	switch {
	case s.Neighbours == NeighboursEnded:
		return EndedWithOthers
	case s.Neighbours == NeighboursUnknown && s.Age < r.Expiry+removalDelay:
		return Open
	}
	return Ended
}
