package rwusage

import (
	"encoding/json"
	"maps"
	"slices"
)

// Message tells an instance sums of requests by window and organisation. Sums are those of the
// whole life of their origin: they replace smaller ones.
type Message struct {
	Origin string                     `json:"origin,omitempty"` // whose sums these are, if not the sender's
	Life   int64                      `json:"life,omitempty"`   // incarnation of Origin
	Sums   map[int64]map[string]int64 `json:"sums,omitempty"`   // by window and organisation
	Clock  int64                      `json:"clock,omitempty"`  // the sender's own time in microseconds since 1970
	Unset  bool                       `json:"unset,omitempty"`  // the sender doesn't know the fleet's time
}

// Answer is what the holder answers to a message.
type Answer struct {
	Fence    int64    `json:"fence"`              // of the holder
	Echo     int64    `json:"echo"`               // Clock of the message
	Now      int64    `json:"now,omitempty"`      // the fleet's time in microseconds since 1970; 0 if it isn't known yet
	Closed   int64    `json:"closed,omitempty"`   // the latest window whose counts no longer change
	Reported int64    `json:"reported,omitempty"` // the latest window that is reported, with those before it
	Deputies []string `json:"deputies,omitempty"` // that also get all sums
}

const (
	// maxSumBytes limits the encoded sums of one message, so that it fits into a datagram with
	// its other fields.
	maxSumBytes = 1_000
	// windowBytes and countBytes are the most that a window and a count add when they are
	// encoded, without the name of the organisation.
	windowBytes = 26
	countBytes  = 22
	// maxNameBytes limits the encoded name of an organisation in a message.
	maxNameBytes = maxSumBytes - windowBytes - countBytes
)

// sum is one count of a window.
type sum struct {
	window int64
	name   string
	count  int64
}

// split returns sums in parts that each fit into a message. Names that fit into none are left
// out, and counted in dropped.
func split(sums []sum) (parts []map[int64]map[string]int64, dropped int) {
	var part map[int64]map[string]int64
	used := 0
	for _, s := range sums {
		size := encodedSize(s.name) + countBytes
		if size > maxNameBytes {
			dropped++
			continue
		}
		if part == nil || used+size+windowBytes > maxSumBytes {
			part, used = map[int64]map[string]int64{}, 0
			parts = append(parts, part)
		}
		if part[s.window] == nil {
			part[s.window] = map[string]int64{}
			used += windowBytes
		}
		part[s.window][s.name] = s.count
		used += size
	}
	return parts, dropped
}

// encodedSize returns the size of a name in JSON, in bytes.
func encodedSize(name string) int {
	encoded, err := json.Marshal(name)
	if err != nil {
		return maxSumBytes
	}
	return len(encoded)
}

// sortedSums returns sums in a fixed order.
func sortedSums(by map[int64]map[string]int64) []sum {
	var sums []sum
	for _, window := range slices.Sorted(maps.Keys(by)) {
		for _, name := range slices.Sorted(maps.Keys(by[window])) {
			sums = append(sums, sum{window, name, by[window][name]})
		}
	}
	return sums
}
