package rwload

import (
	"fmt"
	"strings"
	"time"
)

// Report is the result of a load. Times are in seconds, and those of answers cover
// only the answers that Correct counts.
type Report struct {
	Seconds          float64        `json:"seconds"`
	Correct          int            `json:"whole"`      // answers that were complete and correct
	Wrong            int            `json:"wrong"`      // answers with a missing, repeated or different token, or a different finish reason
	Unfinished       int            `json:"unfinished"` // requests without a complete answer
	Tokens           int            `json:"tokens"`     // in the answers that Correct counts
	Reconnects       int            `json:"reconnects"`
	Refusals         int            `json:"refusals"`
	FirstToken       Quantiles      `json:"first"`  // time to the first token
	Gap              Quantiles      `json:"gap"`    // time between events with text
	LongestGap       Quantiles      `json:"stall"`  // longest gap of each answer
	Interruptions    int            `json:"breaks"` // number of gaps longer than Options.MinInterruption
	InterruptionTime Quantiles      `json:"resume"` // length of these gaps
	WorstGap         WorstGap       `json:"worst"`
	Reasons          map[string]int `json:"reasons,omitempty"` // number of refusals by reason
	Orders           map[string]int `json:"orders,omitempty"`  // number of orders by outcome
	Errors           []string       `json:"errors,omitempty"`
}

// Quantiles holds percentiles and the maximum of a distribution, in seconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"most"`
}

// WorstGap is the longest gap between two events with text in a correct answer. Its
// generation and time locate it in the logs.
type WorstGap struct {
	Generation string    `json:"generation"`
	Gap        float64   `json:"gap"` // seconds
	Ended      time.Time `json:"ended"`
}

// AllCorrect reports whether every generation request that was sent got a complete
// and correct answer. It ignores orders.
func (r Report) AllCorrect() bool { return r.Wrong == 0 && r.Unfinished == 0 }

// String formats the report as text for people.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d whole, %d wrong, %d unfinished, %d refusals, %d reconnects in %.1fs\n",
		r.Correct, r.Wrong, r.Unfinished, r.Refusals, r.Reconnects, r.Seconds)
	for _, line := range []struct {
		name string
		q    Quantiles
	}{{"first token", r.FirstToken}, {"between events", r.Gap}, {"longest gap", r.LongestGap}, {"interruptions", r.InterruptionTime}} {
		fmt.Fprintf(&b, "%-15s p50 %.4fs  p95 %.4fs  p99 %.4fs  max %.4fs\n", line.name, line.q.P50, line.q.P95, line.q.P99, line.q.Max)
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
