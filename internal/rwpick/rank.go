package rwpick

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"ragwortwall/internal/rwbackend"

	"github.com/cespare/xxhash/v2"
)

// MaxPromptServers is the number of servers, the first by the rank of a prompt, among which
// its stream is normally placed and searched. It bounds the cost of a search for any
// number of servers.
const MaxPromptServers = 12

// rankByPrompt returns the indexes of the servers in the rendezvous order of a prompt part:
// an order of its own for each part, and the same at all instances, whatever other servers
// they know. Without a part the order is random.
func rankByPrompt(servers []rwbackend.View, part string) []int {
	if part == "" {
		return rand.Perm(len(servers))
	}
	ranks := make([]uint64, len(servers))
	order := make([]int, len(servers))
	var key []byte
	for i, s := range servers {
		key = append(append(append(key[:0], part...), '/'), s.ID...)
		ranks[i], order[i] = xxhash.Sum64(key), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(ranks[a], ranks[b]) })
	return order
}

// PromptServers returns the servers that may run a stream whose prompt ends with a part,
// MaxPromptServers at most.
func PromptServers(servers []rwbackend.View, part string) []rwbackend.View {
	order := rankByPrompt(servers, part)
	first := make([]rwbackend.View, min(MaxPromptServers, len(order)))
	for n := range first {
		first[n] = servers[order[n]]
	}
	return first
}
