package rwgateway

import "time"

// suspectDuration is how long a relay avoids an instance after it lost the connection
// to it: about as long as the membership view needs to detect the failure.
const suspectDuration = 2 * time.Second

// suspects holds the instances to which a relay lost its connection, with the time of
// the loss.
type suspects map[string]time.Time

func (s suspects) add(name string) { s[name] = time.Now() }

func (s suspects) has(name string) bool {
	at, ok := s[name]
	return ok && time.Since(at) < suspectDuration
}
