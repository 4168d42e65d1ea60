package rwbackend

import "time"

// PutRun adds or updates a run of this instance or of a peer, unless later news of it has come.
func (d *Directory) PutRun(r Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	old, known := d.runs[r.key()]
	if known {
		if !old.isSupersededBy(&r) {
			return
		}
		r.placedAt = old.placedAt
		d.removeRunLocked(old)
		d.forgetRequestLocked(old)
	}
	if !known || old.Server != r.Server {
		r.placedAt = now
	}
	if r.Ended {
		r.endedAt = now
		d.keepPrefillLocked(r.PrefillRate)
	}
	run := &r
	if !known {
		d.countDemandLocked(run)
	}
	d.runs[r.key()] = run
	if r.Part != "" {
		d.parts[r.Part] = run
	}
	if r.Request != "" {
		if d.requests[r.Request] == nil {
			d.requests[r.Request] = map[runKey]*Run{}
		}
		d.requests[r.Request][r.key()] = run
	}
	if s, ok := d.servers[r.Server]; ok && !r.Ended {
		s.activeRuns[r.key()] = run
	}
	if s, ok := d.servers[r.Copy]; ok && r.Copy != "" && (!r.Ended || r.Lost) {
		s.copies[r.key()] = run
	}
	d.expireRunsLocked(now)
}

// removeRunLocked removes a run from the server that runs it and from the one that holds
// its copy. The run stays in d.runs.
func (d *Directory) removeRunLocked(r *Run) {
	if s, ok := d.servers[r.Server]; ok {
		delete(s.activeRuns, r.key())
	}
	if s, ok := d.servers[r.Copy]; ok {
		delete(s.copies, r.key())
	}
}

// forgetRequestLocked removes a run from those of its request.
func (d *Directory) forgetRequestLocked(r *Run) {
	runs := d.requests[r.Request]
	if delete(runs, r.key()); len(runs) == 0 {
		delete(d.requests, r.Request)
	}
}

// expireRunsLocked removes expired runs. Each call checks only a few; as Go
// iterates over maps in random order, all are reached over time.
func (d *Directory) expireRunsLocked(now time.Time) {
	const maxChecked = 4
	remaining := maxChecked
	for key, r := range d.runs {
		if now.Sub(r.placedAt) > maxRunTime || r.Ended && now.Sub(r.endedAt) > runTTL {
			d.removeRunLocked(r)
			d.forgetRequestLocked(r)
			delete(d.runs, key)
			if d.parts[r.Part] == r {
				delete(d.parts, r.Part)
			}
		}
		if remaining--; remaining == 0 {
			return
		}
	}
}

// LatestRun returns the newest run whose prompt ends with the part of the given id. It may be
// a run of another request: only the KV cache of the prompt may be used, never that of the output.
func (d *Directory) LatestRun(part string) (Run, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.parts[part]
	if !ok || part == "" {
		return Run{}, false
	}
	return d.copyRunLocked(r), true
}

// copyRunLocked returns a copy of a run in which Started is set if output can be expected.
func (d *Directory) copyRunLocked(r *Run) Run {
	run := *r
	run.Started = r.hasStarted(time.Now(), d.prefillRate)
	return run
}

// EndRunsOf marks all runs of a stopped instance as ended and lost. Their KV cache
// copies still count as committed memory, because a resumed stream may need them.
func (d *Directory) EndRunsOf(owner string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, r := range d.runs {
		if r.Owner == owner && !r.Ended {
			r.Ended, r.Lost, r.endedAt = true, true, now
		}
	}
}
