package rwusage

import (
	"time"

	"ragwortwall/internal/rwtime"
)

// maxEntries limits the sums that an instance keeps, some 100 bytes each.
const maxEntries = 200_000

// unsent is entry.sentAt of a sum that has changed since it was sent.
const unsent = -1

// isRepeat reports whether a sum is sent the given number of rounds after it was sent first:
// datagrams get lost, also several in a row.
func isRepeat(rounds int64) bool { return rounds <= 1 || rounds == 3 || rounds == 5 }

// Origin is one life of an instance.
type Origin struct {
	Name string
	Life int64 // incarnation
}

// entry is a sum of an origin, a window and an organisation.
type entry struct {
	count  int64
	sentAt int64 // round in which it was first sent; unsent if it wasn't
}

// account is what is known of an origin.
type account struct {
	heardAt rwtime.BootTime // when a message last came from it; 0 for never
	windows map[int64]map[string]entry
}

// Sums are the sums of this instance and of those that told theirs. Sums of an origin only
// rise, so that lost, repeated and late messages do no harm. The zero value is empty.
type Sums struct {
	accounts map[Origin]*account
	entries  int
}

// Hear records that an origin was heard.
func (s *Sums) Hear(o Origin, at rwtime.BootTime) { s.account(o).heardAt = at }

func (s *Sums) account(o Origin) *account {
	if s.accounts == nil {
		s.accounts = map[Origin]*account{}
	}
	a := s.accounts[o]
	if a == nil {
		a = &account{windows: map[int64]map[string]entry{}}
		s.accounts[o] = a
	}
	return a
}

// Add adds requests to the sum of an origin.
func (s *Sums) Add(o Origin, window int64, name string, count int64) bool {
	return s.Raise(o, window, name, s.account(o).windows[window][name].count+count)
}

// Raise sets a sum unless a higher one is known. It returns false if there is no room for it.
func (s *Sums) Raise(o Origin, window int64, name string, count int64) bool {
	a := s.account(o)
	old, known := a.windows[window][name]
	if count <= old.count {
		return true
	}
	if !known && s.entries >= maxEntries {
		return false
	}
	if a.windows[window] == nil {
		a.windows[window] = map[string]entry{}
	}
	if !known {
		s.entries++
	}
	a.windows[window][name] = entry{count: count, sentAt: unsent}
	return true
}

// Total returns the requests of all origins in a window by organisation.
func (s *Sums) Total(window int64) map[string]int64 {
	total := map[string]int64{}
	for _, a := range s.accounts {
		for name, e := range a.windows[window] {
			total[name] += e.count
		}
	}
	return total
}

// Earliest returns the earliest window with a sum.
func (s *Sums) Earliest() (window int64, ok bool) {
	for _, a := range s.accounts {
		for w := range a.windows {
			if !ok || w < window {
				window, ok = w, true
			}
		}
	}
	return window, ok
}

// Due returns the sums of an origin that are to be sent in a round: those that changed, and
// repeats.
func (s *Sums) Due(o Origin, round int64) map[int64]map[string]int64 {
	due := map[int64]map[string]int64{}
	for window, names := range s.account(o).windows {
		for name, e := range names {
			if e.sentAt == unsent {
				e.sentAt = round
				names[name] = e
			}
			if !isRepeat(round - e.sentAt) {
				continue
			}
			if due[window] == nil {
				due[window] = map[string]int64{}
			}
			due[window][name] = e.count
		}
	}
	return due
}

// Resend has all sums sent anew.
func (s *Sums) Resend() {
	for _, a := range s.accounts {
		for _, names := range a.windows {
			for name, e := range names {
				e.sentAt = unsent
				names[name] = e
			}
		}
	}
}

// Silent returns the origins with sums, but for one, that weren't heard for a time.
func (s *Sums) Silent(but Origin, at rwtime.BootTime, after time.Duration) []Origin {
	var silent []Origin
	for o, a := range s.accounts {
		if o != but && len(a.windows) > 0 && time.Duration(at-a.heardAt) >= after {
			silent = append(silent, o)
		}
	}
	return silent
}

// DropThrough forgets the sums of a window and of those before it.
func (s *Sums) DropThrough(last int64) {
	for o, a := range s.accounts {
		for window, names := range a.windows {
			if window <= last {
				s.entries -= len(names)
				delete(a.windows, window)
			}
		}
		if len(a.windows) == 0 {
			delete(s.accounts, o)
		}
	}
}
