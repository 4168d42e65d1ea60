package rwmember

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders names by rendezvous hash for a key: the first owns the key, the
// second takes over when the first is gone, and so on. When a name is added or
// removed, only the keys that it owns move.
func Rank(key uint64, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, name := range names {
		all[i] = scored{name: name, score: score(key, name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	ranked := make([]string, len(all))
	for i, s := range all {
		ranked[i] = s.name
	}
	return ranked
}

// First returns the first name of Rank without sorting, or "" if there are none.
func First(key uint64, names []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range names {
		s := score(key, name)
		if best == "" || s > bestScore || s == bestScore && name < best {
			best, bestScore = name, s
		}
	}
	return best
}

// score returns the weight of a name in the rendezvous hashing of a key. The name with
// the highest weight ranks first.
func score(key uint64, name string) uint64 {
	// Combines the two hashes with the finalizer of a 64-bit mixer.
	x := xxhash.Sum64String(name) ^ key*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Key returns the placement key of a text.
func Key(text string) uint64 { return xxhash.Sum64String(text) }

// PlacementKey returns the placement key of a generation's ID, which is the first
// half of the ID. It returns 0 for an ID that is too short.
func PlacementKey(id []byte) uint64 {
	if len(id) < placementBytes {
		return 0
	}
	return binary.LittleEndian.Uint64(id[:placementBytes])
}

const placementBytes = 8
