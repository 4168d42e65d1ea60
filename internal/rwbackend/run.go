package rwbackend

import (
	"time"
)

// Run describes where a stream runs and which server holds the copy of its KV
// cache. Instances exchange their runs.
type Run struct {
	ID            string `json:"id"`              // request id by which the server knows the run
	Owner         string `json:"owner,omitempty"` // instance that relays the stream
	Server        string `json:"server"`          // id of the server that executes the run
	Copy          string `json:"copy,omitempty"`  // id of the server that holds the copy of the KV cache
	Part          string `json:"part"`            // id of the last part of the prompt, which other requests may have too
	Prompt        int    `json:"prompt"`          // length of the prompt, in tokens
	Output        int    `json:"output"`          // maximum length of the output, in tokens
	PrefillTokens int    `json:"read"`            // prompt tokens to prefill before the first output token
	Started       bool   `json:"begun,omitempty"` // the prefill is done and output has started
	Ended         bool   `json:"ended,omitempty"`
	Lost          bool   `json:"lost,omitempty"` // the stream did not complete; its copy may serve to resume it

	// Revision orders the news of a run: it rises with each. It is zero in runs of builds that don't
	// send it.
	Revision int `json:"revision,omitempty"`

	// Request is a digest of all that decides the output. Requests of different callers may have
	// the same one: it counts what is asked for and says nothing about whose run it is. It is empty in
	// runs of builds that don't send it.
	Request string `json:"request,omitempty"`
	// Generation differs for each request. The former release reads it: it resumes a stream from the
	// KV cache of the only generation that it knows for a Request.
	Generation string `json:"generation,omitempty"`

	// PrefillRate is set when a run has ended: how fast its server read the prompt, in prompt tokens
	// per second, if it had no other prompts to read. Zero if unknown, as in runs of builds that don't
	// send it.
	PrefillRate int `json:"rate,omitempty"`

	// Organisation is a short digest of the one that the request belongs to. It is empty in runs
	// of builds that don't send it, and of services whose streams are equally urgent.
	Organisation string `json:"group,omitempty"`

	placedAt time.Time
	endedAt  time.Time
}

// runKey identifies a run: only the instance that relays it has news of it.
type runKey struct{ owner, id string }

func (r *Run) key() runKey { return runKey{r.Owner, r.ID} }

// isSupersededBy reports whether later news of the same run replaces what is known of it. News may
// come late, twice, in another order or not at all: what has come last in the owner's order counts. A run
// that a server refused has ended, and runs again once another server takes it.
func (r *Run) isSupersededBy(news *Run) bool {
	if r.Revision == 0 && news.Revision == 0 {
		return !r.Ended
	}
	return news.Revision > r.Revision
}

// hasStarted reports whether output has started, so that a copy of the KV cache can be
// expected: either the owner reported the start, or enough time has passed for the
// prefill. prefillRate is in tokens per second.
func (r *Run) hasStarted(now time.Time, prefillRate float64) bool {
	prefill := time.Duration(float64(r.PrefillTokens) / max(1, prefillRate) * float64(time.Second))
	return r.Started || !r.placedAt.IsZero() && now.Sub(r.placedAt) > prefill+startAllowance
}

// startAllowance is the time that a run takes to start in addition to the prefill:
// for sending the request to the server and making the first copy of the KV cache.
const startAllowance = 300 * time.Millisecond

// maxTokens returns the maximum size of the run's KV cache, in tokens.
func (r *Run) maxTokens() int { return r.Prompt + r.Output }

// pendingPrefill estimates how many prompt tokens remain to be prefilled.
func (r *Run) pendingPrefill(now time.Time, prefillRate float64) int {
	if r.Started || r.Ended {
		return 0
	}
	return max(0, r.PrefillTokens-int(now.Sub(r.placedAt).Seconds()*prefillRate))
}
