package rwtime

import (
	"context"
	"time"
)

// Every calls do once per interval, first after one interval, until ctx is done.
func Every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
