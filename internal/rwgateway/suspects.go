package rwgateway

import "time"

// suspectTime is how long a relay passes over an instance that it lost: about as
// long as the view needs to notice for itself.
const suspectTime = 2 * time.Second

// suspects are the instances that a relay lost lately.
type suspects map[string]time.Time

func (s suspects) add(name string) { s[name] = time.Now() }

func (s suspects) has(name string) bool {
	at, ok := s[name]
	return ok && time.Since(at) < suspectTime
}
