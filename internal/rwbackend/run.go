package rwbackend

import (
	"time"
)

// Run is a stream as placed: where it runs and where its copy is. Instances
// tell each other of their runs.
type Run struct {
	ID     string `json:"id"`              // request id under which the server knows it
	Owner  string `json:"owner,omitempty"` // instance that relays it
	Server string `json:"server"`          // id of the server that runs it
	Copy   string `json:"copy,omitempty"`  // id of the server that holds its copy
	Part   string `json:"part"`            // last part of the prompt: whose stream this is
	Prompt int    `json:"prompt"`          // tokens of the prompt
	Output int    `json:"output"`          // most tokens of the output
	Read   int    `json:"read"`            // prompt tokens to be read first
	Begun  bool   `json:"begun,omitempty"`
	Ended  bool   `json:"ended,omitempty"`
	Lost   bool   `json:"lost,omitempty"` // the relaying instance lost the server

	placed time.Time
	ended  time.Time
}

// hasBegun reports whether the prompt is read and a copy of the run exists: it is
// known, or so much time has passed.
func (r *Run) hasBegun(now time.Time, rate float64) bool {
	reading := time.Duration(float64(r.Read) / max(1, rate) * float64(time.Second))
	return r.Begun || !r.placed.IsZero() && now.Sub(r.placed) > reading+beginSlack
}

// beginSlack is what a run needs to begin besides the reading of its prompt: the
// way to the server and the first copy of its memory.
const beginSlack = 300 * time.Millisecond

// tokens is the memory that the run takes at most.
func (r *Run) tokens() int { return r.Prompt + r.Output }

// unread estimates the prompt tokens that are still to be read.
func (r *Run) unread(now time.Time, rate float64) int {
	if r.Begun || r.Ended {
		return 0
	}
	return max(0, r.Read-int(now.Sub(r.placed).Seconds()*rate))
}
