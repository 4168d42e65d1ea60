package rwforward

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwroute"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The kinds of latency that are kept.
const (
	latencyOnce       = "once"       // whole answers of requests that run once
	latencyIdempotent = "idempotent" // whole answers of idempotent requests
	latencyFirst      = "first"      // first events of streams
	latencyPause      = "pause"      // longest pause of each stream
)

// Bounds of the latency histograms: a millisecond up to the longest timeout of the
// users' routes and more, to two digits.
const (
	latencyLeast  = 1
	latencyMost   = 60_000
	latencyDigits = 2
)

// Counters counts what became of requests. The zero value is ready; a nil one
// counts nothing.
type Counters struct {
	mu        sync.Mutex
	counts    map[string]int64
	latencies map[string]*hdrhistogram.Histogram
}

func (n *Counters) add(name string) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.counts == nil {
		n.counts = map[string]int64{}
	}
	n.counts[name]++
}

func (n *Counters) latency(name string, d time.Duration) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.latencies[name]
	if !ok {
		if n.latencies == nil {
			n.latencies = map[string]*hdrhistogram.Histogram{}
		}
		h = hdrhistogram.New(latencyLeast, latencyMost, latencyDigits)
		n.latencies[name] = h
	}
	// Values over the bound are counted at the bound.
	_ = h.RecordValue(min(latencyMost, max(latencyLeast, d.Milliseconds())))
}

func (n *Counters) request(k rwroute.Kind) { n.add("requests_" + k.String()) }
func (n *Counters) sent(k rwroute.Kind)    { n.add("sent_" + k.String()) }
func (n *Counters) refused(k rwroute.Kind, code rwerror.Kind) {
	n.add("refused_" + k.String() + "_" + string(code))
}

func (n *Counters) answered(k rwroute.Kind, status int, took time.Duration) {
	n.add("answered_" + k.String() + "_" + strconv.Itoa(status/100) + "xx")
	switch {
	case status >= http.StatusMultipleChoices:
	case k == rwroute.KindOnce:
		n.latency(latencyOnce, took)
	case k == rwroute.KindIdempotent:
		n.latency(latencyIdempotent, took)
	}
}

func (n *Counters) first(took time.Duration)    { n.latency(latencyFirst, took) }
func (n *Counters) longest(pause time.Duration) { n.latency(latencyPause, pause) }
func (n *Counters) lost(cause string)           { n.add("lost_stream_" + cause) }
func (n *Counters) resumed(where string)        { n.add("resumed_stream_" + where) }

// quantiles are those that are written of each histogram.
var quantiles = []float64{50, 95, 99, 100}

// Write writes all counts and latencies as text, a line each: a name and a number.
// Latencies are in milliseconds.
func (n *Counters) Write(w io.Writer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lines := make([]string, 0, len(n.counts)+len(n.latencies)*(len(quantiles)+1))
	for name, count := range n.counts {
		lines = append(lines, fmt.Sprintf("ragwortwall_%s %d", name, count))
	}
	for name, h := range n.latencies {
		lines = append(lines, fmt.Sprintf("ragwortwall_latency_%s_count %d", name, h.TotalCount()))
		for _, q := range quantiles {
			lines = append(lines, fmt.Sprintf("ragwortwall_latency_%s_p%g %d", name, q, h.ValueAtQuantile(q)))
		}
	}
	slices.Sort(lines)
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}
