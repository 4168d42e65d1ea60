package rwforward

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"ragwortwall/internal/rwerror"
)

// statusByKind maps error kinds to HTTP status codes, where they differ from the
// default. 408, 429 and 503 promise that the request did not and will not run; a request
// that may have run gets 502 or 504 instead.
var statusByKind = map[rwerror.Kind]int{
	rwerror.KindQuarantined:    http.StatusServiceUnavailable,
	rwerror.KindTimeout:        http.StatusGatewayTimeout,
	rwerror.KindUnavailable:    http.StatusServiceUnavailable,
	rwerror.KindOverloaded:     http.StatusServiceUnavailable,
	rwerror.KindOutcomeUnknown: http.StatusBadGateway,
	rwerror.KindFailed:         http.StatusBadGateway,
}

// status returns the HTTP status code of an error.
func status(e *rwerror.Error) int {
	code, ok := statusByKind[e.Kind]
	if !ok {
		code = e.Status()
	}
	if e.Ran == rwerror.RanNo {
		if e.Kind == rwerror.KindTimeout {
			return http.StatusServiceUnavailable
		}
		return code
	}
	switch code {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return http.StatusBadGateway
	}
	return code
}

// writeError logs an error and sends it to the caller as the final response.
func (c *call) writeError(err error) {
	e := rwerror.As(err)
	code := status(e)
	c.f.Counters.countRefused(c.route.Kind, e.Kind)
	c.f.Log.Info("refused", "request", c.info.ID, "route", c.route.Name, "status", code, "code", string(e.Kind), "cause", e.Message,
		"ran", string(e.Ran), "sent", c.attempts, "back", e.RetryAfter.Seconds(), "version", c.settingsVersion(), "age", c.state.Age.Seconds(),
		"took", time.Since(c.startedAt).Seconds())
	header := c.w.Header()
	header.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 && (code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests) {
		header.Set("Retry-After", formatRetryAfter(e.RetryAfter))
	}
	body, jsonErr := json.Marshal(map[string]any{"error": map[string]any{
		"code": e.Kind, "message": e.Message, "remedy": e.Remedy, "ran": e.Ran,
	}})
	if jsonErr != nil {
		body = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(code)
	_, _ = c.w.Write(body)
}

// settingsVersion returns the version of the settings, 0 if there are none.
func (c *call) settingsVersion() int64 {
	if c.state.Table == nil {
		return 0
	}
	return c.state.Table.Version
}

// formatRetryAfter formats a duration for Retry-After, in seconds. It adds up to a
// third of random jitter, so that callers rejected together do not retry together.
func formatRetryAfter(d time.Duration) string {
	jittered := d.Seconds() * (1 + rand.Float64()/3)
	return strconv.FormatFloat(jittered, 'f', 3, 64)
}
