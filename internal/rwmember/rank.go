package rwmember

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders names by rendezvous hash for a key: the first is the one that the
// key belongs to, the second takes over when the first is gone. When a name
// joins or leaves, only the keys that belong to it move.
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

// First is the first of Rank, without the sorting.
func First(key uint64, names []string) string {
	best, most := "", uint64(0)
	for _, name := range names {
		s := score(key, name)
		if best == "" || s > most || s == most && name < best {
			best, most = name, s
		}
	}
	return best
}

func score(key uint64, name string) uint64 {
	// The finalizer of a 64-bit mixer over the two hashes.
	x := xxhash.Sum64String(name) ^ key*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Key hashes a text to a placement key.
func Key(text string) uint64 { return xxhash.Sum64String(text) }

// PlacementKey is the placement key of a generation's identity: its first half.
func PlacementKey(id []byte) uint64 {
	if len(id) < placementBytes {
		return 0
	}
	return binary.LittleEndian.Uint64(id[:placementBytes])
}

const placementBytes = 8
