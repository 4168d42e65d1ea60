package rwduty

import (
	"ragwortwall/internal/rwfeed"
)

const (
	// fenceEraShift places the store's era above the numbers given out within it.
	fenceEraShift = 32
	// maxFenceEra keeps fencing numbers in range.
	maxFenceEra = 1 << 20
	// maxFence bounds the numbers that are believed, so that one more is still in range.
	maxFence = int64(1) << 56
)

// Record is the content of the lease's object in the store.
type Record struct {
	Holder string `json:"holder"`         // name of the instance
	Life   int64  `json:"life"`           // of the holder's process, at random
	Fence  int64  `json:"fence"`          // fencing number of the calls
	Count  int64  `json:"count"`          // of the writes by that process; names this one
	Free   bool   `json:"free,omitempty"` // the holder has given the lease up
}

// fence returns the record's number, or zero for one that no holder writes.
func (r Record) fence() int64 {
	if r.Fence < 0 || r.Fence > maxFence {
		return 0
	}
	return r.Fence
}

// Reading is the object as it was read. Its revision is zero if it doesn't exist.
type Reading struct {
	Position rwfeed.Position
	Record   Record
}

// Exists reports whether the store has the object.
func (r Reading) Exists() bool { return r.Position.Revision != 0 }

// Announcement is what the holder tells the other instances: its record and where that is.
type Announcement struct {
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
	Era      int64  `json:"era,omitempty"`
	Revision int64  `json:"revision"`
	Free     bool   `json:"free,omitempty"` // it has given the lease up
}

func (a Announcement) position() rwfeed.Position {
	return rwfeed.Position{Era: a.Era, Revision: a.Revision}
}

// firstFence returns the lowest fencing number of an era of the store. A store that comes
// back from an older copy can't give a number out twice, as its era has risen.
func firstFence(era int64) int64 { return min(max(era, 0), maxFenceEra) << fenceEraShift }
