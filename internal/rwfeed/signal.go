package rwfeed

import (
	"context"
	"sync"
	"time"
)

// Signal wakes the goroutines that wait for it. The zero value is ready for use; a nil
// Signal is never notified.
type Signal struct {
	mu sync.Mutex
	ch chan struct{} // closed by the next Notify; nil while nobody waits
}

// Wait returns a channel that is closed by the next Notify.
func (s *Signal) Wait() <-chan struct{} {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// Notify wakes all that wait.
func (s *Signal) Notify() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}

// sleepUntil waits for a time, or until the channel is closed or ctx ends. It reports
// whether the whole time has passed.
func sleepUntil(ctx context.Context, d time.Duration, woken <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-woken:
		return false
	case <-timer.C:
		return true
	}
}
