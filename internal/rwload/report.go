package rwload

import (
	"fmt"
	"strings"
	"time"
)

// Report is the result of a load.
type Report struct {
	Seconds    float64        `json:"seconds"`
	Whole      int            `json:"whole"`      // answers that were complete and right
	Wrong      int            `json:"wrong"`      // answers with a missing, repeated or other token
	Unfinished int            `json:"unfinished"` // requests without an answer
	Tokens     int            `json:"tokens"`     // of the whole answers
	Reconnects int            `json:"reconnects"`
	Refusals   int            `json:"refusals"`
	First      Quantiles      `json:"first"`  // to the first token, in seconds
	Gap        Quantiles      `json:"gap"`    // between events, in seconds
	Stall      Quantiles      `json:"stall"`  // the longest gap of each answer, in seconds
	Breaks     int            `json:"breaks"` // gaps longer than the option Break
	Resume     Quantiles      `json:"resume"` // these gaps, in seconds
	Worst      Worst          `json:"worst"`
	Reasons    map[string]int `json:"reasons,omitempty"` // of refusals
	Orders     map[string]int `json:"orders,omitempty"`
	Errors     []string       `json:"errors,omitempty"`
}

// Quantiles are points of a distribution, in seconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
	Most float64 `json:"most"`
}

// Worst is the longest gap of all, for looking it up in the logs.
type Worst struct {
	Generation string    `json:"generation"`
	Gap        float64   `json:"gap"` // seconds
	Ended      time.Time `json:"ended"`
}

// Right reports whether no token was missing or repeated and every request got
// its answer.
func (r Report) Right() bool { return r.Wrong == 0 && r.Unfinished == 0 }

// String is the human form of the report.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d whole, %d wrong, %d unfinished, %d refusals, %d reconnects in %.1fs\n",
		r.Whole, r.Wrong, r.Unfinished, r.Refusals, r.Reconnects, r.Seconds)
	for _, line := range []struct {
		name string
		q    Quantiles
	}{{"first token", r.First}, {"between events", r.Gap}, {"longest gap", r.Stall}, {"interruptions", r.Resume}} {
		fmt.Fprintf(&b, "%-15s p50 %.4fs  p95 %.4fs  p99 %.4fs  most %.4fs\n", line.name, line.q.P50, line.q.P95, line.q.P99, line.q.Most)
	}
	for name, n := range r.Orders {
		fmt.Fprintf(&b, "orders %s: %d\n", name, n)
	}
	for reason, n := range r.Reasons {
		fmt.Fprintf(&b, "refused %d: %s\n", n, reason)
	}
	for _, e := range r.Errors {
		fmt.Fprintf(&b, "error: %s\n", e)
	}
	return b.String()
}
