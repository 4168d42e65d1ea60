package rwfeed

import "time"

// Recency derives from one bound when an instance asks the store itself, by nothing but how
// long ago the store last confirmed what it knows: neither other instances nor a search for
// them can put that off. From the acknowledgement of a change until it is in force:
//
//	a watch is open, and confirms the contents at its end   WatchWait
//	its response is overdue                                 OverdueMargin
//	instances that lack it spread their calls               up to Spread
//	the call to the store                                   callReserve
//
// The sum is Bound, whatever the number of instances, and however many of them are gone.
type Recency struct {
	Bound time.Duration // within which acknowledged changes must be in force; zero for no bound
}

const (
	// maxWatchWait limits how long a watch waits. It adds to the age by which API keys are
	// refused, so it must stay well below the bound for revoked keys.
	maxWatchWait = 1200 * time.Millisecond
	// minWatchWait keeps short bounds from making each watch a poll. Bounds below the sum of
	// this, OverdueMargin, minSpread and callReserve are not met.
	minWatchWait = 200 * time.Millisecond
	// callReserve is kept of the bound for the call to the store.
	callReserve = 250 * time.Millisecond
	// minSpread is the shortest time over which instances spread their calls.
	minSpread = 100 * time.Millisecond
	// wantedSpread is what is left for it where the bound allows.
	wantedSpread = 250 * time.Millisecond
	// silenceMargin covers the call that finds out that the store answers, after a watch whose
	// connection fell silent.
	silenceMargin = 500 * time.Millisecond
	// pollMargin is added to the wait of a poll, so that a peer's response carries its next
	// confirmation.
	pollMargin = 50 * time.Millisecond
	// minConfirmation is how much newer a peer's contents must be confirmed to end the wait
	// of a poll. It exceeds the variation of the time that a request takes.
	minConfirmation = 100 * time.Millisecond
)

// WatchWait returns how long a watch waits for a change.
func (r Recency) WatchWait() time.Duration {
	if r.Bound <= 0 {
		return maxWatchWait
	}
	return min(maxWatchWait, max(minWatchWait, r.Bound-OverdueMargin-wantedSpread-callReserve))
}

// Overdue returns the lag from which contents are old: their next confirmation is overdue.
func (r Recency) Overdue() time.Duration { return r.WatchWait() + OverdueMargin }

// Spread returns the time over which instances spread their calls to the store.
func (r Recency) Spread() time.Duration {
	return max(minSpread, r.Bound-r.Overdue()-callReserve)
}

// Deadline returns the lag at which an instance calls the store itself. The draw is from 0
// to below 1.
func (r Recency) Deadline(draw float64) time.Duration {
	return r.Overdue() + time.Duration(draw*float64(r.Spread()))
}

// MaxPause returns the longest pause between two answers of a store that was not away: the
// connections of all watches may fall silent at once. An outage as short as that removes hardly
// any entry, since the store waits for three heartbeats of a server.
func (r Recency) MaxPause() time.Duration { return r.Overdue() + silenceMargin }

// PollWait returns how long a peer waits for a change before it responds to a poll.
func (r Recency) PollWait() time.Duration { return r.WatchWait() + pollMargin }
