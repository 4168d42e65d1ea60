package rwonce

import (
	"fmt"
	"strconv"
	"time"

	"ragwortwall/internal/rwobject"
)

// State is the progress of a call.
type State string

// The states of a call. Only the writer that set its record to StateSent may send
// the call, and only once.
const (
	StateSent   State = "sent"   // the call may have been sent
	StateDone   State = "done"   // the outcome is recorded
	StateNotRun State = "notrun" // the call certainly did not run and may be sent again
)

// Outcome is the service's answer, as replayed to repeats of the call.
type Outcome struct {
	Status  int    `json:"status,omitempty"` // HTTP status
	Type    string `json:"type,omitempty"`   // Content-Type
	Payload []byte `json:"payload,omitempty"`
}

// Record is the record of one call.
type Record struct {
	RequestDigest uint64 `json:"body"`  // digest of the caller's request
	Nonce         string `json:"nonce"` // identifies the writer that may send the call
	State         State  `json:"state"`
	WrittenAt     int64  `json:"at"` // time of the Begin, Unix seconds

	Outcome
}

// segment is the spec of an API object that holds records by key.
type segment struct {
	Number  int               `json:"number"`
	Sealed  bool              `json:"sealed"` // accepts no new keys
	Records map[string]Record `json:"records"`
}

const (
	labelBucket = "bucket"
	// MaxPayloadBytes is the maximum size in bytes of an answer body that is stored for
	// repeats of the call. Longer bodies are not stored.
	MaxPayloadBytes   = 2 << 10
	maxSegmentRecords = 400
	maxSegmentBytes   = 256 << 10 // total size of the payloads
	// Retention is the minimum time that records are kept, unless a bucket holds
	// maxBucketKeys or more.
	Retention     = 24 * time.Hour
	maxBucketKeys = 500_000 // from this number on, records expire after minRetention
	minRetention  = time.Hour
)

func segmentName(bucket, number int) string { return fmt.Sprintf("b%d-%09d", bucket, number) }

// newSegmentObject returns the API object of a segment that is not in the store yet.
func newSegmentObject(bucket int, s segment) rwobject.Object {
	o := rwobject.New(rwobject.KindRecords, segmentName(bucket, s.Number), s)
	o.Metadata.Labels = map[string]string{labelBucket: strconv.Itoa(bucket)}
	return o
}

// newestRecordTime returns the time of the segment's latest record.
func (s segment) newestRecordTime() time.Time {
	last := int64(0)
	for _, r := range s.Records {
		last = max(last, r.WrittenAt)
	}
	return time.Unix(last, 0)
}

// full reports whether the segment must be sealed, because of the number of its records
// or the total size of their payloads.
func (s segment) full() bool {
	if len(s.Records) >= maxSegmentRecords {
		return true
	}
	size := 0
	for _, r := range s.Records {
		size += len(r.Payload)
	}
	return size >= maxSegmentBytes
}

// clone returns a copy with its own records map.
func (s segment) clone() segment {
	records := make(map[string]Record, len(s.Records)+1)
	for k, r := range s.Records {
		records[k] = r
	}
	s.Records = records
	return s
}
