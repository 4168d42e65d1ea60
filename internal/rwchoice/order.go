// Package rwchoice chooses the backend server for a request.
//
// Requests that share a prompt prefix go to the same server, where the prefix
// is cached: the servers are ranked by rendezvous hash of the prefix, the same
// at every instance and without any message. Load bounds the preference: a
// server that has more than its fair share is passed over, so one popular
// prefix spreads over as many servers as it needs.
package rwchoice

import (
	"cmp"
	"math"
	"slices"

	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwslot"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBytes is how much of a prompt decides its place.
	prefixBytes = 1024
	// loadBound is the most load of a preferred server, as a multiple of the mean.
	loadBound = 1.25
)

// Candidate is a server that could serve a request.
type Candidate struct {
	Name string
	Load rwslot.Load
}

// Prefix returns the placement key of a prompt.
func Prefix(prompt []byte) uint64 {
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
}

// Order returns the servers in the order in which they should be tried: first
// those with a free slot and no more than their share of load, by the prefix;
// then the rest, the least loaded first.
func Order(prefix uint64, candidates []Candidate) []Candidate {
	byName := make(map[string]Candidate, len(candidates))
	names := make([]string, 0, len(candidates))
	for _, c := range candidates {
		byName[c.Name] = c
		names = append(names, c.Name)
	}
	bound := bound(candidates)
	var preferred, rest []Candidate
	for _, name := range rwmember.Rank(prefix, names) {
		c := byName[name]
		if free(c.Load) && used(c.Load) < bound {
			preferred = append(preferred, c)
		} else {
			rest = append(rest, c)
		}
	}
	slices.SortStableFunc(rest, func(a, b Candidate) int {
		return cmp.Compare(share(a.Load), share(b.Load))
	})
	return append(preferred, rest...)
}

func used(l rwslot.Load) float64 { return float64(l.Held + l.Waiting) }

func free(l rwslot.Load) bool { return l.Limit == 0 || l.Held+l.Waiting < l.Limit }

func share(l rwslot.Load) float64 { return used(l) / float64(max(1, l.Limit)) }

// bound is the load from which a preferred server is passed over.
func bound(candidates []Candidate) float64 {
	total := 1.0
	for _, c := range candidates {
		total += used(c.Load)
	}
	return math.Ceil(loadBound * total / float64(max(1, len(candidates))))
}
