package rwbackend

import (
	"math"
	"time"
)

// Report is what a server told of its load with its last response, and its age.
type Report struct {
	Told   bool          // it has told its load; otherwise the rest is zero
	Age    time.Duration // since it was told
	Queued int           // requests running and waiting
	Unseen int           // requests of this instance sent to it since
	Pace   float64       // how long work took there at that moment, 1 as usual
}

// recordLoadLocked records the load that came with a response. One without slots is ignored.
func (s *Server) recordLoadLocked(load Load, now time.Time) {
	if load.Slots <= 0 {
		return
	}
	s.load, s.loadAt, s.sentSince = load, now, 0
}

// reportLocked returns what a server has told of its load.
func (s *Server) reportLocked(now time.Time) Report {
	if s.loadAt.IsZero() {
		return Report{}
	}
	pace := s.load.Pace
	if pace <= 0 {
		pace = 1
	}
	return Report{Told: true, Age: now.Sub(s.loadAt), Queued: s.load.Running + s.load.Waiting, Unseen: s.sentSince, Pace: pace}
}

// workSampleWeight is the weight of a sample in the averages of the time that work takes. It spans
// some 20 requests, whose work differs.
const workSampleWeight = 0.05

// work is the average time that a request keeps a slot busy at the usual pace, in seconds.
type work struct {
	mean    float64
	samples float64
	at      time.Time // of the last sample
}

func (w *work) add(sample float64, now time.Time) {
	w.age(now)
	w.samples++
	w.mean += max(workSampleWeight, 1/w.samples) * (sample - w.mean)
	w.at = now
}

// workHalfLife is the time over which what was learnt of a server loses half of its weight.
const workHalfLife = 30 * time.Second

// age takes weight from what was learnt long ago.
func (w *work) age(now time.Time) {
	if !w.at.IsZero() {
		w.samples *= math.Exp2(-now.Sub(w.at).Seconds() / workHalfLife.Seconds())
	}
	w.at = now
}

// recordWorkLocked learns from a whole response how long work takes at a server: its latency less
// the wait in the queue that the server told, at the pace that it told. The caller must hold the lock
// of the directory.
func (d *Directory) recordWorkLocked(s *Server, took time.Duration, load Load, now time.Time) {
	if load.Slots <= 0 || took <= 0 {
		return
	}
	pace := load.Pace
	if pace <= 0 {
		pace = 1
	}
	rounds := 1 + float64(load.Waiting)/float64(load.Slots)
	sample := took.Seconds() / rounds / pace
	s.work.add(sample, now)
	total, ok := d.work[s.Service]
	if !ok {
		total = &work{}
		d.work[s.Service] = total
	}
	total.add(sample, now)
}

const (
	// priorSamples is the weight of the belief that a server is as fast as the others.
	priorSamples = 20
	// Bounds of how much a server differs from the others.
	minSlowness = 0.5
	maxSlowness = 4
)

// slownessLocked returns how long work takes at a server for good, compared with the others of its
// service. A new process starts as fast as the others.
func (d *Directory) slownessLocked(s *Server, now time.Time) float64 {
	total, ok := d.work[s.Service]
	if !ok || total.mean <= 0 || s.work.samples == 0 {
		return 1
	}
	own := s.work
	own.age(now)
	ratio := max(minSlowness, min(maxSlowness, own.mean/total.mean))
	return (own.samples*ratio + priorSamples) / (own.samples + priorSamples)
}

const (
	// MaxFull is the longest time for which a server counts as full, whoever says so.
	MaxFull = 500 * time.Millisecond
	// minFull bounds how often a server is told to be full.
	minFull = 40 * time.Millisecond
	// drained is the part of the queue that is to drain before a full server gets requests
	// again: it must not run empty meanwhile.
	drained = 0.5
	// nearlyFull is the part of its queue from which on a server counts as full. What is on its
	// way to it then fills the rest.
	nearlyFull = 0.75
)

// Full says that a server is full.
type Full struct {
	For   time.Duration // until half of its queue has drained
	Queue int           // requests that wait when servers of the service refuse others
}

// RecordFull records what a load says of a server's queue. refused is set if the server refused
// the request because of it. It returns false if the server isn't full, or was known to be.
func (d *Directory) RecordFull(id string, load Load, refused bool) (Full, bool) {
	if load.Slots <= 0 || load.Running < load.Slots || load.Waiting < load.Slots {
		return Full{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok {
		return Full{}, false
	}
	if refused {
		d.queues[s.Service] = load.Waiting
	}
	queue, now := d.queues[s.Service], time.Now()
	total, known := d.work[s.Service]
	if queue == 0 || float64(load.Waiting) < nearlyFull*float64(queue) || !known || now.Before(s.fullUntil) {
		return Full{}, false
	}
	pace := load.Pace
	if pace <= 0 {
		pace = 1
	}
	seconds := drained * float64(load.Waiting) / float64(load.Slots) * total.mean * pace * d.slownessLocked(s, now)
	full := Full{For: max(minFull, min(MaxFull, time.Duration(seconds*float64(time.Second)))), Queue: queue}
	s.fullUntil = now.Add(full.For)
	return full, true
}

// MarkFull records that another instance found a server full.
func (d *Directory) MarkFull(id string, full Full) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok || full.For <= 0 {
		return
	}
	s.fullUntil = later(s.fullUntil, time.Now().Add(min(full.For, MaxFull)))
	if full.Queue > 0 {
		d.queues[s.Service] = full.Queue
	}
}
