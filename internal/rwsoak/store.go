package rwsoak

import "time"

const (
	// storeAwayTime is how long the store is away before it comes back from its copy.
	storeAwayTime = 300 * time.Millisecond
	// writeAgainDelay is how long operators and servers take to repeat their lost writes.
	writeAgainDelay = time.Second
)

// restoreStore brings the store back from its last copy, as in a drill.
func (s *Soak) restoreStore() {
	s.store.SetDown(true)
	time.Sleep(storeAwayTime)
	s.store.Restore()
	s.store.SetDown(false)
	time.Sleep(writeAgainDelay)
	s.store.WriteAgain()
}
