package rwbackend

import (
	"time"
)

// Run is a stream as placed: where it runs and where its copy is. Instances
// tell each other of their runs.
type Run struct {
	ID     string `json:"id"`             // request id under which the server knows it
	Owner  string `json:"owner"`          // instance that relays it
	Server string `json:"server"`         // id of the server that runs it
	Copy   string `json:"copy,omitempty"` // id of the server that holds its copy
	Part   string `json:"part"`           // last part of the prompt: whose stream this is
	Prompt int    `json:"prompt"`         // tokens of the prompt
	Output int    `json:"output"`         // most tokens of the output
	Read   int    `json:"read"`           // prompt tokens to be read first
	Begun  bool   `json:"begun,omitempty"`
	Ended  bool   `json:"ended,omitempty"`
	Lost   bool   `json:"lost,omitempty"` // the relaying instance lost the server

	placed time.Time
	ended  time.Time
}

// tokens is the memory that the run takes at most.
func (r *Run) tokens() int { return r.Prompt + r.Output }

// unread estimates the prompt tokens that are still to be read.
func (r *Run) unread(now time.Time, rate float64) int {
	if r.Begun || r.Ended {
		return 0
	}
	return max(0, r.Read-int(now.Sub(r.placed).Seconds()*rate))
}
