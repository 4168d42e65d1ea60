// Package rwtime has the waiting that several packages share.
package rwtime

import (
	"context"
	"time"
)

// Sleep waits for a time, or until ctx ends. It reports whether the whole time
// has passed.
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
