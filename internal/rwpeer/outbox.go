package rwpeer

import (
	"time"
)

// The outbox bounds what an instance sends for others to catch up and for suspicions:
// at most burstBytes and bytesPerSecond for each second, 90 kB in any 10 s. Control may
// take 9 kB a second.
const (
	burstBytes     = 30_000
	bytesPerSecond = 6_000
	// reservedBytes of the burst are for urgent notices only.
	reservedBytes = 10_000
	// headerBytes is the size of the IP and UDP headers of a datagram.
	headerBytes = 28
	// maxWaitingJobs limits the notices of each priority that others cause. Further ones
	// count as lost datagrams.
	maxWaitingJobs = 64
)

// priority orders the notices that wait in an outbox.
type priority int

const (
	priorityUrgent       priority = iota // suspicions that more losses may follow
	priorityRuns                         // answers to a hello
	priorityHello                        // requests of an instance that starts
	prioritySuspicions                   // answers to a request for suspicions
	prioritySingleLosses                 // suspicions of one loss: they are many when a zone fails
	priorities
)

// job is a notice that waits to be sent.
type job struct {
	to      []Member              // those that it was not sent to yet
	build   func() (Notice, bool) // called with Exchange.mu held when it is its turn
	content []byte                // the encoded notice, once built
	own     bool                  // it holds suspicions of outbox.suspicions
}

// outbox holds notices that are sent as the byte bound allows. It is guarded by the
// mutex of its Exchange.
type outbox struct {
	waiting    [priorities][]*job
	suspicions suspicionQueue
	spent      float64 // bytes of the burst in use
	at         time.Time
	timer      *time.Timer
}

// take takes a datagram's bytes from the bound. If they are not available it takes
// nothing and returns how long to wait.
func (o *outbox) take(p priority, size int, now time.Time) time.Duration {
	o.spent = max(0, o.spent-now.Sub(o.at).Seconds()*bytesPerSecond)
	o.at = now
	limit := float64(burstBytes - reservedBytes)
	if p == priorityUrgent {
		limit = burstBytes
	}
	after := o.spent + float64(size+headerBytes)
	if after > limit {
		return time.Duration((after-limit)/bytesPerSecond*float64(time.Second)) + time.Millisecond
	}
	o.spent = after
	return 0
}

// queueLocked adds a notice to the outbox. Call it with Exchange.mu held, and pumpLocked
// after it.
func (x *Exchange) queueLocked(p priority, j *job) {
	x.outbox.waiting[p] = append(x.outbox.waiting[p], j)
}

// pump sends what the byte bound allows now.
func (x *Exchange) pump() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pumpLocked()
}

func (x *Exchange) pumpLocked() {
	for p := range priorities {
		for {
			x.queueOwnSuspicionsLocked(p)
			if len(x.outbox.waiting[p]) == 0 {
				break
			}
			if wait := x.sendFirstLocked(p); wait > 0 {
				x.pumpAfterLocked(wait)
				return
			}
		}
	}
}

func (x *Exchange) pumpAfterLocked(wait time.Duration) {
	if x.outbox.timer != nil {
		x.outbox.timer.Stop()
	}
	x.outbox.timer = time.AfterFunc(wait, x.pump)
}

// sendFirstLocked sends the first notice of a priority to one instance. If the byte bound
// doesn't allow it yet, it returns how long to wait.
func (x *Exchange) sendFirstLocked(p priority) time.Duration {
	j := x.outbox.waiting[p][0]
	if j.content == nil && len(j.to) > 0 && !x.buildLocked(j) {
		j.to = nil
	}
	if len(j.to) > 0 {
		if wait := x.outbox.take(p, len(j.content), time.Now()); wait > 0 {
			return wait
		}
		transmitTo(x.transmitterLocked(), j.to[0], j.content)
		j.to = j.to[1:]
	}
	if len(j.to) == 0 {
		x.outbox.waiting[p][0] = nil
		x.outbox.waiting[p] = x.outbox.waiting[p][1:]
	}
	return 0
}

func (x *Exchange) buildLocked(j *job) bool {
	n, ok := j.build()
	if ok {
		j.content, ok = x.encode(n)
	}
	return ok
}
