package rwonce

import (
	"time"

	"ragwortwall/internal/rwobject"
)

// findLost compares the segments as they were loaded or written before with those that
// were just loaded, and collects the records that the store no longer has. Nobody removes a
// record before minRetention, and none returns from StateDone to StateSent, so the store
// has come back from an older copy of its contents.
//
// A list that was outdated also lacks records. Those that were taken for lost are therefore
// checked again.
func (b *bucket) findLost(earlier map[int]rwobject.Object) error {
	before := b.lost
	b.lost = map[string]Record{}
	for key, r := range before {
		stored, err := b.loadedRecords(b.segmentByKey[key])
		if err != nil {
			return err
		}
		b.checkLost(key, r, stored)
	}
	for number, o := range earlier {
		if loaded, ok := b.segmentObjects[number]; ok && loaded.Nonce() == o.Nonce() {
			continue
		}
		s, err := decodeSegment(o)
		if err != nil {
			return err
		}
		stored, err := b.loadedRecords(number)
		if err != nil {
			return err
		}
		for key, r := range s.Records {
			b.checkLost(key, r, stored)
		}
	}
	for key := range b.lost {
		if _, known := before[key]; !known {
			b.lostRecords.Add(1)
		}
	}
	if len(b.lost) > 0 {
		b.log.Info("the platform has lost records of calls; writing them again", "bucket", b.number, "records", len(b.lost))
	}
	return nil
}

// loadedRecords returns the records of a segment as it was just loaded, or none if the store
// doesn't have it.
func (b *bucket) loadedRecords(number int) (map[string]Record, error) {
	o, ok := b.segmentObjects[number]
	if !ok {
		return nil, nil
	}
	s, err := decodeSegment(o)
	return s.Records, err
}

// checkLost adds a record to the lost ones unless the store has it, or a later one of its
// key.
func (b *bucket) checkLost(key string, r Record, stored map[string]Record) {
	have, ok := stored[key]
	if !ok {
		if _, inOtherSegment := b.segmentByKey[key]; inOtherSegment {
			return
		}
	}
	if ok && (have.Nonce != r.Nonce || have.State == r.State || r.State == StateSent) {
		return
	}
	if time.Since(time.Unix(r.WrittenAt, 0)) < minRetention {
		b.lost[key] = r
	}
}

// addLost adds lost records to a segment until it is full. It reports whether it changed the
// segment.
func (b *bucket) addLost(s segment) bool {
	dirty := false
	for key := range b.lost {
		if s.full() {
			break
		}
		dirty = b.addLostKey(s, key) || dirty
	}
	return dirty
}

// addLostKey adds the record of a key to a segment if it is lost. It reports whether it
// changed the segment.
func (b *bucket) addLostKey(s segment, key string) bool {
	r, lost := b.lost[key]
	if !lost {
		return false
	}
	if number, known := b.segmentByKey[key]; known && number != s.Number {
		delete(b.lost, key) // only its end is lost; repeats are told that the outcome is unknown
		return false
	}
	s.Records[key] = r
	return true
}
