package rwforward

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"ragwortwall/internal/rwerror"
)

// statusByKind are the answers to callers by kind of error. 408, 429 and 503 say
// that the request has not run and never will; where that is not sure, the
// answer is 502 or 504.
var statusByKind = map[rwerror.Kind]int{
	rwerror.KindQuarantined: http.StatusServiceUnavailable,
	rwerror.KindTimeout:     http.StatusGatewayTimeout,
	rwerror.KindUnavailable: http.StatusServiceUnavailable,
	rwerror.KindOverloaded:  http.StatusServiceUnavailable,
	rwerror.KindUnknown:     http.StatusBadGateway,
	rwerror.KindFailed:      http.StatusBadGateway,
}

func status(e *rwerror.Error) int {
	s, ok := statusByKind[e.Kind]
	if !ok {
		s = e.Status()
	}
	if e.Ran == rwerror.RanNo {
		if e.Kind == rwerror.KindTimeout {
			return http.StatusServiceUnavailable
		}
		return s
	}
	switch s {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return http.StatusBadGateway
	}
	return s
}

// writeError gives the caller its final answer.
func (c *call) writeError(err error) {
	e := rwerror.As(err)
	s := status(e)
	c.f.Count.countRefused(c.route.Kind, e.Kind)
	c.f.Log.Info("refused", "request", c.info.ID, "route", c.route.Name, "status", s, "code", string(e.Kind), "cause", e.Message,
		"ran", string(e.Ran), "sent", c.attempts, "back", e.RetryAfter.Seconds(), "version", c.settingsVersion(), "age", c.state.Age.Seconds(),
		"took", time.Since(c.startedAt).Seconds())
	header := c.w.Header()
	header.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 && (s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests) {
		header.Set("Retry-After", formatRetryAfter(e.RetryAfter))
	}
	body, jsonErr := json.Marshal(map[string]any{"error": map[string]any{
		"code": e.Kind, "message": e.Message, "remedy": e.Remedy, "ran": e.Ran,
	}})
	if jsonErr != nil {
		body = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(s)
	_, _ = c.w.Write(body)
}

func (c *call) settingsVersion() int64 {
	if c.state.Table == nil {
		return 0
	}
	return c.state.Table.Version
}

// formatRetryAfter writes a time for Retry-After, spread upwards by a third so that those
// who were refused together do not come back together.
func formatRetryAfter(d time.Duration) string {
	spread := d.Seconds() * (1 + rand.Float64()/3)
	return strconv.FormatFloat(spread, 'f', 3, 64)
}
