package rwpeer

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"ragwortwall/internal/rwpart"
	"ragwortwall/pkg/rwset"

	"github.com/cespare/xxhash/v2"
)

const (
	// partCopies is how often evidence on a part is sent, helloInterval apart, as datagrams
	// get lost. Single losses are sent once.
	partCopies = 3
	// maxPartsPerFlush bounds the parts whose losses are sent at once, and the other findings.
	// Those with the most losses go first; single losses are many when a zone fails.
	maxPartsPerFlush = 32
	// partNoticeReserve is left in a notice for its other fields.
	partNoticeReserve = 200
)

// partQueue holds evidence on parts until the next notices.
type partQueue struct {
	mu       sync.Mutex
	losses   map[rwpart.Key]bool
	findings []rwpart.Finding
}

// AnnounceLosses publishes the losses that are known of parts, unless they say little.
func (x *Exchange) AnnounceLosses(parts []rwpart.Key) {
	for _, part := range parts {
		if !x.Parts.Notable(part) {
			continue
		}
		x.queueLosses(part)
		if len(x.Parts.Get(part).Losses) < 2 {
			continue
		}
		for n := range partCopies - 1 {
			time.AfterFunc(time.Duration(n+1)*helloInterval, func() { x.queueLosses(part) })
		}
	}
}

func (x *Exchange) queueLosses(part rwpart.Key) {
	q := &x.parts
	q.mu.Lock()
	defer q.mu.Unlock()
	x.schedulePartsLocked()
	if q.losses == nil {
		q.losses = map[rwpart.Key]bool{}
	}
	q.losses[part] = true
}

// AnnounceFindings publishes findings as they are.
func (x *Exchange) AnnounceFindings(findings []rwpart.Finding) {
	if len(findings) == 0 {
		return
	}
	for n := range partCopies {
		time.AfterFunc(time.Duration(n)*helloInterval, func() {
			q := &x.parts
			q.mu.Lock()
			defer q.mu.Unlock()
			x.schedulePartsLocked()
			q.findings = append(q.findings, findings...)
		})
	}
}

// AnnounceTrial publishes at once that a request with parts, some of which are held, is sent as
// a trial.
func (x *Exchange) AnnounceTrial(parts []rwpart.Key) {
	held := rwset.New(x.Parts.Held()...)
	var findings []rwpart.Finding
	for _, part := range parts {
		if held.Has(part) {
			findings = append(findings, rwpart.Finding{Part: part, Trial: true})
		}
	}
	x.sendFindings(findings)
}

func (x *Exchange) sendFindings(findings []rwpart.Finding) {
	for chunk := range chunksBySize(findings, maxNoticeBytes-partNoticeReserve) {
		x.broadcast(x.withSender(Notice{Findings: chunk}))
	}
}

// schedulePartsLocked schedules a flush if none is scheduled yet. Callers add to the queue
// after it.
func (x *Exchange) schedulePartsLocked() {
	if len(x.parts.losses)+len(x.parts.findings) == 0 {
		time.AfterFunc(batchDelay, x.flushParts)
	}
}

// flushParts sends what is queued, as it is known now.
func (x *Exchange) flushParts() {
	q := &x.parts
	q.mu.Lock()
	findings := q.findings
	parts := slices.Collect(maps.Keys(q.losses))
	q.findings, q.losses = nil, nil
	q.mu.Unlock()
	var losses []rwpart.Finding
	for _, part := range parts {
		if f := x.Parts.Get(part); len(f.Losses) > 0 {
			losses = append(losses, f)
		}
	}
	slices.SortFunc(losses, func(a, b rwpart.Finding) int { return cmp.Compare(len(b.Losses), len(a.Losses)) })
	findings = append(losses[:min(len(losses), maxPartsPerFlush)], findings[:min(len(findings), maxPartsPerFlush)]...)
	x.sendFindings(findings)
}

// chunksBySize splits findings so that each chunk takes at most size bytes when encoded.
func chunksBySize(findings []rwpart.Finding, size int) func(yield func([]rwpart.Finding) bool) {
	return func(yield func([]rwpart.Finding) bool) {
		start, total := 0, 0
		for n, f := range findings {
			content, err := json.Marshal(f)
			if err != nil {
				continue
			}
			if total+len(content) > size && n > start {
				if !yield(findings[start:n]) {
					return
				}
				start, total = n, 0
			}
			total += len(content) + 1
		}
		if start < len(findings) {
			yield(findings[start:])
		}
	}
}

// mergeParts applies the evidence on parts in a notice.
func (x *Exchange) mergeParts(n Notice) {
	for _, f := range n.Findings {
		if x.Parts.Merge(f) {
			x.Log.Info("part held after evidence from a peer", "key", f.Part.String(), "by", n.From, "losses", len(f.Losses))
		}
	}
}

// RankFor returns how many instances come before this one, of all that it knows, in the order
// in which they act on a key.
func (m *Members) RankFor(key string) int {
	own := xxhash.Sum64String(key + "/" + m.Self)
	rank := 0
	for _, other := range m.Others() {
		if xxhash.Sum64String(key+"/"+other.Name) < own {
			rank++
		}
	}
	return rank
}
