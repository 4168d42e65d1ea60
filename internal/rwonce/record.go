package rwonce

import (
	"fmt"
	"strconv"
	"time"

	"ragwortwall/internal/rwobject"
)

// State is how far a call has come.
type State string

// The states of a call. A call may run only by a writer that made its record
// sent, and only once.
const (
	StateSent   State = "sent"   // the call may have left
	StateDone   State = "done"   // its outcome is known
	StateNotRun State = "notrun" // it is proved not to have run; it may be sent anew
)

// Outcome is the answer of the service.
type Outcome struct {
	Status  int    `json:"status,omitempty"` // HTTP status
	Type    string `json:"type,omitempty"`   // Content-Type
	Payload []byte `json:"payload,omitempty"`
}

// Record is the record of one call.
type Record struct {
	Body  uint64 `json:"body"`  // digest of the caller's body
	Nonce string `json:"nonce"` // of the writer that may send the call
	State State  `json:"state"`
	At    int64  `json:"at"` // Unix seconds

	Outcome
}

// segment is the spec of an object that holds records.
type segment struct {
	Number  int               `json:"number"`
	Sealed  bool              `json:"sealed"` // takes no new keys
	Records map[string]Record `json:"records"`
}

const (
	labelBucket = "bucket"
	// PayloadMost is how much of a service's answer is kept for repeats.
	PayloadMost    = 2 << 10
	segmentRecords = 400
	segmentBytes   = 256 << 10
	// Retention is how long records are kept at least.
	Retention   = 24 * time.Hour
	keysMost    = 500_000 // of one bucket; above, the oldest records go early
	retainLeast = time.Hour
)

func segmentName(bucket, number int) string { return fmt.Sprintf("b%d-%09d", bucket, number) }

func newSegment(bucket int, s segment) rwobject.Object {
	o := rwobject.New(rwobject.KindRecords, segmentName(bucket, s.Number), s)
	o.Metadata.Labels = map[string]string{labelBucket: strconv.Itoa(bucket)}
	return o
}

// newest is when the segment's last record was written.
func (s segment) newest() time.Time {
	last := int64(0)
	for _, r := range s.Records {
		last = max(last, r.At)
	}
	return time.Unix(last, 0)
}

func (s segment) full() bool {
	if len(s.Records) >= segmentRecords {
		return true
	}
	size := 0
	for _, r := range s.Records {
		size += len(r.Payload)
	}
	return size >= segmentBytes
}

// clone returns a copy whose records can be changed.
func (s segment) clone() segment {
	records := make(map[string]Record, len(s.Records)+1)
	for k, r := range s.Records {
		records[k] = r
	}
	s.Records = records
	return s
}
