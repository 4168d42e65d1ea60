// Package rwtime provides waiting that contexts can cancel, and a clock that
// includes the time for which the machine is suspended.
package rwtime

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done. It reports whether d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
