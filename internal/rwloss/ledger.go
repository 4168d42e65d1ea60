package rwloss

import (
	"slices"
	"sync"
	"time"

	"ragwortwall/internal/rwbackend"
)

// Directory is what a Ledger needs to know of servers.
type Directory interface {
	// Fate returns what is known of a server's process since a time.
	Fate(e rwbackend.Entry, since time.Time) rwbackend.Fate
	// Neighbours returns up to limit other servers of the same service and availability zone.
	Neighbours(e rwbackend.Entry, limit int) []rwbackend.Entry
}

// Loss is the loss of a server that ran a request.
type Loss struct {
	Server  rwbackend.Entry
	At      time.Time
	Request uint64               // identity of the request across retries
	Ran     func(id string) bool // reports whether a server is known to have run the request
	Judged  func(Verdict)        // called once with the verdict, which is not Open; not called for a loss that is dropped
}

// Ledger holds open losses. Set the exported fields before first use. A nil Ledger holds none.
type Ledger struct {
	Rule      Rule
	Directory Directory
	ListAge   func() (time.Duration, bool) // time since which the list of servers may lack changes; false if there is none yet

	mu     sync.Mutex  // held while no function of others is called
	losses []*openLoss // the oldest first; the slice is never changed in place
	timer  *time.Timer // of the next check; nil while no loss is open
}

// openLoss is a loss that isn't judged yet.
type openLoss struct {
	Loss
	neighbours []rwbackend.Entry
	unlistedAt time.Time // when the entry was found removed; zero if it wasn't
}

const (
	// checkInterval is the time between two checks of the open losses. A server that is back
	// may get the request again that soon.
	checkInterval = 150 * time.Millisecond
	// maxOpenLosses bounds the open losses. The oldest give way.
	maxOpenLosses = 512
	// maxNeighbours bounds the servers by which the loss of an availability zone is recognised.
	maxNeighbours = 4
)

// Add opens a loss. If too many are open, the oldest one is undecided.
func (l *Ledger) Add(loss Loss) {
	if l == nil {
		loss.Judged(Undecided)
		return
	}
	o := &openLoss{Loss: loss, neighbours: l.Directory.Neighbours(loss.Server, maxNeighbours)}
	l.mu.Lock()
	var evicted *openLoss
	if len(l.losses) >= maxOpenLosses {
		evicted, l.losses = l.losses[0], l.losses[1:]
	}
	l.losses = append(slices.Clone(l.losses), o)
	if l.timer == nil {
		l.timer = time.AfterFunc(checkInterval, l.check)
	}
	l.mu.Unlock()
	if evicted != nil {
		evicted.Judged(Undecided)
	}
}

// Drop forgets the open losses of a request, as a server has completed it. It returns their
// number.
func (l *Ledger) Drop(request uint64) int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.losses[:0:0]
	for _, o := range l.losses {
		if o.Request != request {
			kept = append(kept, o)
		}
	}
	dropped := len(l.losses) - len(kept)
	l.losses = kept
	return dropped
}

// Count returns the number of open losses.
func (l *Ledger) Count() int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.losses)
}

// check judges the open losses and calls Judged of those that are no longer open.
func (l *Ledger) check() {
	l.mu.Lock()
	open := l.losses
	l.mu.Unlock()
	verdicts := l.judge(open)
	var judged []*openLoss
	l.mu.Lock()
	kept := l.losses[:0:0]
	for _, o := range l.losses {
		if _, closed := verdicts[o]; closed {
			judged = append(judged, o)
			continue
		}
		kept = append(kept, o)
	}
	l.losses, l.timer = kept, nil
	if len(kept) > 0 {
		l.timer = time.AfterFunc(checkInterval, l.check)
	}
	l.mu.Unlock()
	for _, o := range judged {
		o.Judged(verdicts[o])
	}
}

// judge returns the verdicts on those losses that are no longer open.
func (l *Ledger) judge(losses []*openLoss) map[*openLoss]Verdict {
	now := time.Now()
	listAge, listed := l.ListAge()
	verdicts := map[*openLoss]Verdict{}
	for _, o := range losses {
		signs := o.signs(l.Directory, now)
		signs.ListedAt = -1
		if listed {
			signs.ListedAt = now.Add(-listAge).Sub(o.At)
		}
		if verdict := l.Rule.Judge(signs); verdict != Open {
			verdicts[o] = verdict
		}
	}
	return verdicts
}

func (o *openLoss) signs(directory Directory, now time.Time) Signs {
	s := Signs{Fate: directory.Fate(o.Server, o.At), Age: now.Sub(o.At)}
	if s.Fate == rwbackend.FateUnlisted {
		if o.unlistedAt.IsZero() {
			o.unlistedAt = now
		}
		s.UnlistedAt = o.unlistedAt.Sub(o.At)
	}
	if s.Fate == rwbackend.FateReplaced || s.Fate == rwbackend.FateUnlisted {
		s.Neighbours = o.neighbourState(directory)
	}
	return s
}

// neighbourState returns what is known of the neighbours that didn't run the request.
func (o *openLoss) neighbourState(directory Directory) Neighbours {
	state := NeighboursRun
	for _, e := range o.neighbours {
		if o.Ran(e.ID) {
			continue
		}
		switch directory.Fate(e, o.At) {
		case rwbackend.FateReplaced, rwbackend.FateUnlisted:
			return NeighboursEnded
		case rwbackend.FateUnknown:
			state = NeighboursUnknown
		case rwbackend.FateResponds, rwbackend.FateLeaving:
		}
	}
	return state
}
