package rwbackend

import (
	"time"

	"ragwortwall/pkg/rwset"
)

// partsTTL is how long a server's list of held parts is valid. Servers evict
// unused parts, and callers that resume a stream do so within seconds.
const partsTTL = 10 * time.Second

// SetHeldParts replaces the ids of the prompt parts that a server reports to hold. The
// list is ignored if it is from another incarnation of the server.
func (d *Directory) SetHeldParts(id string, incarnation int64, parts []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	if !ok || s.Incarnation != incarnation {
		return
	}
	s.parts, s.partsAt = rwset.New(parts...), time.Now()
}

// ServersHolding returns the ids of the servers of a service that reported within
// partsTTL to hold a prompt part and were not lost since.
func (d *Directory) ServersHolding(service, part string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for _, s := range d.services[service] {
		if s.parts.Has(part) && time.Since(s.partsAt) < partsTTL && s.lostAt.Before(s.partsAt) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}
