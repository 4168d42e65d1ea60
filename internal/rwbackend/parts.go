package rwbackend

import (
	"time"

	"ragwortwall/pkg/rwset"
)

// partsLife is how long what a server listed counts: parts that nobody uses make
// room for others, and callers come back within seconds.
const partsLife = 10 * time.Second

// Holds takes in which parts of prompts a server said that it holds.
func (d *Directory) Holds(id string, incarnation int64, parts []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok || s.Incarnation != incarnation {
		return
	}
	s.parts, s.partsAt = rwset.New(parts...), time.Now()
}

// Holding returns the servers of a service that said a short while ago that they
// hold a part of a prompt, and were not lost since.
func (d *Directory) Holding(service, part string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for _, s := range d.services[service] {
		if s.parts.Has(part) && time.Since(s.partsAt) < partsLife && s.lostAt.Before(s.partsAt) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}
