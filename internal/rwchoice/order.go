// Package rwchoice orders the backend servers to try for a request.
//
// Requests that share a prompt prefix go to the same server, whose KV cache holds
// the prefix. Servers are ranked by rendezvous hashing of the prefix, so all
// instances agree on the order without communication. The hashing has bounded
// loads: a server whose load reaches a multiple of the mean is not preferred, so
// requests with a popular prefix spread over as many servers as they need.
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
	// maxPrefixBytes limits how many bytes of a prompt are hashed.
	maxPrefixBytes = 1024
	// maxLoadFactor limits the load of a preferred server, as a multiple of the mean.
	maxLoadFactor = 1.25
)

// Candidate is a server that can serve a request.
type Candidate struct {
	Name string
	Load rwslot.Load
}

// PrefixHash returns the hash of the first bytes of a prompt, which Order takes.
func PrefixHash(prompt []byte) uint64 {
	return xxhash.Sum64(prompt[:min(len(prompt), maxPrefixBytes)])
}

// Order returns the servers in the order in which to try them: first those with a
// free slot and a load below the limit, ranked by the hash of the prefix, then the
// others, the least loaded first.
func Order(prefix uint64, candidates []Candidate) []Candidate {
	byName := make(map[string]Candidate, len(candidates))
	names := make([]string, 0, len(candidates))
	for _, c := range candidates {
		byName[c.Name] = c
		names = append(names, c.Name)
	}
	limit := loadLimit(candidates)
	var preferred, rest []Candidate
	for _, name := range rwmember.Rank(prefix, names) {
		c := byName[name]
		if hasFreeSlot(c.Load) && requests(c.Load) < limit {
			preferred = append(preferred, c)
		} else {
			rest = append(rest, c)
		}
	}
	slices.SortStableFunc(rest, func(a, b Candidate) int {
		return cmp.Compare(utilisation(a.Load), utilisation(b.Load))
	})
	return append(preferred, rest...)
}

// requests returns the number of requests that a server runs or queues.
func requests(l rwslot.Load) float64 { return float64(l.Held + l.Waiting) }

// hasFreeSlot reports whether a server has a free slot. A limit of 0 means unlimited.
func hasFreeSlot(l rwslot.Load) bool { return l.Limit == 0 || l.Held+l.Waiting < l.Limit }

// utilisation returns the load of a server as a fraction of its limit.
func utilisation(l rwslot.Load) float64 { return requests(l) / float64(max(1, l.Limit)) }

// loadLimit returns the load, in requests, at which a server is no longer preferred.
func loadLimit(candidates []Candidate) float64 {
	total := 1.0
	for _, c := range candidates {
		total += requests(c.Load)
	}
	return math.Ceil(maxLoadFactor * total / float64(max(1, len(candidates))))
}
