package rwduty

import "time"

const (
	// defaultBound is the bound if the settings name none.
	defaultBound = 3 * time.Second
	// maxLength bounds the time for which nobody calls after the holder was lost.
	maxLength = 2 * time.Second
)

// Rules are the times of a lease. All are measured by the boot-time clock of one instance.
type Rules struct {
	Length time.Duration // others wait this long after they learned of the holder's last write
	Hold   time.Duration // the holder may call this long after it began to send its last write
	Renew  time.Duration // the holder writes again this long after it began to send its last write
	Return time.Duration // a former holder takes the lease no sooner than this after its right to call ended
}

// NewRules returns the times for the bound within which two holders must not take turns, or for
// a default if it is zero. The difference of Length and Hold is what a call may need to arrive
// after its sender has stopped to wait for it. Return covers that too.
func NewRules(bound time.Duration) Rules {
	if bound <= 0 {
		bound = defaultBound
	}
	length := min(maxLength, bound*2/3)
	return Rules{Length: length, Hold: length * 3 / 4, Renew: length / 3, Return: bound + length - length*3/4}
}
