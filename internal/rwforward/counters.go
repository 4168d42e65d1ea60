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

// Names of the latency histograms.
const (
	latencyNonIdempotent = "once"       // whole responses to non-idempotent requests
	latencyIdempotent    = "idempotent" // whole responses to idempotent requests
	latencyFirstEvent    = "first"      // time to a stream's first event
	latencyLongestPause  = "pause"      // longest pause between two events of a stream
	latencyTurn          = "turn"       // wait of a stream for room at a model server
)

// Range and precision of the latency histograms. The range exceeds the longest
// timeout of a route.
const (
	minLatencyMs             = 1
	maxLatencyMs             = 60_000
	latencySignificantDigits = 2
)

// Counters holds counters and latency histograms of requests. The zero value is ready
// to use; the methods that count do nothing on a nil pointer.
type Counters struct {
	mu        sync.Mutex
	counts    map[string]int64
	latencies map[string]*hdrhistogram.Histogram
}

// Increment counts an event of another package.
func (n *Counters) Increment(name string) { n.increment(name) }

func (n *Counters) increment(name string) {
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

func (n *Counters) recordLatency(name string, d time.Duration) {
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
		h = hdrhistogram.New(minLatencyMs, maxLatencyMs, latencySignificantDigits)
		n.latencies[name] = h
	}
	// RecordValue drops values out of range, so clamp them.
	_ = h.RecordValue(min(maxLatencyMs, max(minLatencyMs, d.Milliseconds())))
}

func (n *Counters) countRequest(k rwroute.Kind) { n.increment("requests_" + k.String()) }
func (n *Counters) countSent(k rwroute.Kind)    { n.increment("sent_" + k.String()) }

// countReturn counts a request that resumes a stream by how the servers that have its prompt
// cached were looked for: "known" from a run, "found" by asking servers, or "unknown".
func (n *Counters) countReturn(prompt string) { n.increment("returned_stream_" + prompt) }

func (n *Counters) countRefused(k rwroute.Kind, code rwerror.Kind) {
	n.increment("refused_" + k.String() + "_" + string(code))
}

func (n *Counters) countAnswered(k rwroute.Kind, status int, took time.Duration) {
	n.increment("answered_" + k.String() + "_" + strconv.Itoa(status/100) + "xx")
	switch {
	case status >= http.StatusMultipleChoices:
	case k == rwroute.KindOnce:
		n.recordLatency(latencyNonIdempotent, took)
	case k == rwroute.KindIdempotent:
		n.recordLatency(latencyIdempotent, took)
	}
}

func (n *Counters) recordFirstEvent(took time.Duration) { n.recordLatency(latencyFirstEvent, took) }

func (n *Counters) recordLongestPause(pause time.Duration) {
	n.recordLatency(latencyLongestPause, pause)
}

func (n *Counters) countStreamLost(cause string)    { n.increment("lost_stream_" + cause) }
func (n *Counters) countStreamResumed(where string) { n.increment("resumed_stream_" + where) }

// percentiles are those that Write prints for each histogram.
var percentiles = []float64{50, 95, 99, 100}

// Write prints all counters and latency percentiles, one "name value" pair a line.
// Latencies are in milliseconds.
func (n *Counters) Write(w io.Writer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lines := make([]string, 0, len(n.counts)+len(n.latencies)*(len(percentiles)+1))
	for name, count := range n.counts {
		lines = append(lines, fmt.Sprintf("ragwortwall_%s %d", name, count))
	}
	for name, h := range n.latencies {
		lines = append(lines, fmt.Sprintf("ragwortwall_latency_%s_count %d", name, h.TotalCount()))
		for _, q := range percentiles {
			lines = append(lines, fmt.Sprintf("ragwortwall_latency_%s_p%g %d", name, q, h.ValueAtQuantile(q)))
		}
	}
	slices.Sort(lines)
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}
