package rwbackend

import "time"

// Flow is what all instances do with the streams of a service, as their notices show it.
type Flow struct {
	Running  int            // streams now
	Life     time.Duration  // mean time from placement to end of the complete ones that ended recently; 0 if none did
	Recent   int            // streams that were placed recently
	before   int            // placed before, as far as known
	recentOf map[string]int // of Recent, by organisation
	beforeOf map[string]int // of before, by organisation
}

// Parts returns which parts of the recent streams and of those before an organisation has, from 0
// to 1. ok is false if there is nothing to compare.
func (f Flow) Parts(organisation string) (recent, before float64, ok bool) {
	if f.Recent == 0 || f.before == 0 || organisation == "" {
		return 0, 0, false
	}
	return float64(f.recentOf[organisation]) / float64(f.Recent), float64(f.beforeOf[organisation]) / float64(f.before), true
}

// Flow returns what happens to the streams of a service. Those whose server is no longer listed
// are left out.
func (d *Directory) Flow(service string, recent time.Duration) Flow {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := Flow{recentOf: map[string]int{}, beforeOf: map[string]int{}}
	now := time.Now()
	var lives time.Duration
	ended := 0
	for _, r := range d.runs {
		s, listed := d.servers[r.Server]
		age := now.Sub(r.placedAt)
		if !listed || s.Service != service || age > runTTL {
			continue
		}
		if age <= recent {
			f.Recent++
			f.recentOf[r.Organisation]++
		} else {
			f.before++
			f.beforeOf[r.Organisation]++
		}
		switch {
		case !r.Ended:
			f.Running++
		case !r.Lost && now.Sub(r.endedAt) <= recent:
			lives += r.endedAt.Sub(r.placedAt)
			ended++
		}
	}
	if ended > 0 {
		f.Life = lives / time.Duration(ended)
	}
	return f
}
