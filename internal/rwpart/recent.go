package rwpart

import "time"

// maxRecent bounds what a recent holds, in each of two generations.
const maxRecent = 8192

// soundPart is a part and a version of the server software.
type soundPart struct {
	part    Key
	version Version
}

// recent holds the latest time of events, for lossTTL. When the newer generation is full, the
// older one is dropped, so that what comes again stays known and memory is bounded. The zero
// value is empty and ready for use.
type recent[K comparable] struct {
	newer, older map[K]time.Time
}

func (s *recent[K]) lookup(key K, now time.Time) (at time.Time, ok bool) {
	at, ok = s.newer[key]
	if !ok {
		at, ok = s.older[key]
	}
	if ok && now.Sub(at) > lossTTL {
		return time.Time{}, false
	}
	return at, ok
}

func (s *recent[K]) add(key K, at time.Time) {
	if known, ok := s.newer[key]; ok {
		if at.After(known) {
			s.newer[key] = at
		}
		return
	}
	if s.newer == nil || len(s.newer) >= maxRecent {
		s.newer, s.older = map[K]time.Time{}, s.newer
	}
	if known, ok := s.older[key]; ok && known.After(at) {
		at = known
	}
	s.newer[key] = at
}
