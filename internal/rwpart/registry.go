package rwpart

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// holdAfterStrong is the number of losses that are laid to the requests from which a part
	// is held: after the beginning of the response or, for requests without events, crashes.
	holdAfterStrong = 3
	// holdAfterLosses is the same for losses of all kinds, and for parts that a server of
	// that version wrote on lately. Servers that are lost while they read a prompt are
	// mostly lost for other reasons.
	holdAfterLosses = 5
	// maxLossesPerRequest is how many losses under one request count, with all its attempts.
	// The request itself may crash servers; package rwpoison then quarantines it.
	maxLossesPerRequest = 2
	// maxLosses bounds the losses that are kept of a part. The oldest give way.
	maxLosses = holdAfterLosses + 1
	// sameCauseWindow is the time within which losses of one zone count as one.
	sameCauseWindow = 500 * time.Millisecond
	// minBurst is the number of losses at the same time from which they may have one cause.
	minBurst = 3
	// lossTTL is how long losses count that don't hold a part, and how long it counts that
	// a server wrote on it.
	lossTTL = 10 * time.Minute
	// doubtfulLife is the age of the last loss from which a hold that an instance learns of is
	// not doubtful: the instances before it have tried the part.
	doubtfulLife = 30 * time.Second
	// HoldLife is how long a part is held after its last loss.
	HoldLife = time.Hour
	// SoundEvents is the number of events from which a response may be well past its
	// beginning.
	SoundEvents = 8
	// SoundAfter is the time after its headers that must have passed as well.
	SoundAfter = 500 * time.Millisecond
	// maxEntries bounds the parts with losses. Parts that are held, or with more losses,
	// stay longest.
	maxEntries = 4096
)

// Registry holds the evidence on parts. The zero value is empty and ready for use. Set
// TrialRank before first use.
type Registry struct {
	// TrialRank returns how many instances come before this one when a held part is to be
	// tried. If nil, none do.
	TrialRank func(Key) int

	mu      sync.Mutex
	entries map[Key]*entry    // parts with losses
	sound   recent[soundPart] // when the latest response began that went on past its beginning
	alive   recent[Process]   // when a loss was last withdrawn
}

// entry is the evidence against one part.
type entry struct {
	losses    []recordedLoss
	updatedAt time.Time // of the last loss
	heldSince time.Time // zero if the part is not held
	doubtful  bool      // the hold began with losses that may have another cause, see laidToPart
	trials    int       // requests that were let through since, at all instances
	trying    bool      // this instance let the latest one through, and no loss followed yet
	trialAt   time.Time // when the next one may be
}

type recordedLoss struct {
	Loss
	lostAt time.Time
}

func (e *entry) held() bool { return !e.heldSince.IsZero() }

// lostInTrial reports whether a loss followed a trial. One that this instance learns of late may
// be older than the hold.
func (e *entry) lostInTrial(l recordedLoss) bool {
	return e.held() && l.lostAt.Sub(e.heldSince) > holdSettleTime
}

func (e *entry) expired(now time.Time) bool {
	if e.held() {
		return now.Sub(e.updatedAt) > HoldLife
	}
	return now.Sub(e.updatedAt) > lossTTL
}

// RecordLoss records a loss of a server that ran a request with the part. The loss counts
// at once, until Withdraw. held reports that the part is now held and was not before.
func (r *Registry) RecordLoss(part Key, l Loss) (held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	was := r.heldLocked(part, now)
	l.Age = 0
	r.addLocked(part, recordedLoss{Loss: l, lostAt: now}, now)
	return !was && r.heldLocked(part, now)
}

// Withdraw takes back the loss of a process that turned out to run still, or to have ended
// in order. It returns findings for other instances.
func (r *Registry) Withdraw(parts []Key, process Process) []Finding {
	r.mu.Lock()
	defer r.mu.Unlock()
	var withdrawn []Finding
	for _, part := range parts {
		if r.withdrawLocked(part, process) {
			withdrawn = append(withdrawn, Finding{Part: part, Alive: []Process{process}})
		}
	}
	return withdrawn
}

// withdrawLocked removes the losses of a process and reports whether there were any.
func (r *Registry) withdrawLocked(part Key, process Process) bool {
	r.alive.add(process, time.Now())
	e, ok := r.entries[part]
	if !ok {
		return false
	}
	isOfProcess := func(l recordedLoss) bool { return l.Process == process }
	inTrial := slices.ContainsFunc(e.losses, func(l recordedLoss) bool { return isOfProcess(l) && e.lostInTrial(l) })
	if !r.removeLocked(part, e, isOfProcess) {
		return false
	}
	if inTrial && e.held() { // the trial told nothing
		e.trials, e.trialAt = max(0, e.trials-1), time.Now()
	}
	return true
}

// Merge adds a finding of another instance or the store. held reports that the part is now
// held and was not before.
func (r *Registry) Merge(f Finding) (held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	was := r.heldLocked(f.Part, now)
	oldestFirst := slices.SortedStableFunc(slices.Values(f.Losses), func(a, b Loss) int { return cmp.Compare(b.Age, a.Age) })
	for _, l := range oldestFirst {
		if lostAt := l.at(now); now.Sub(lostAt) < HoldLife {
			r.addLocked(f.Part, recordedLoss{Loss: l, lostAt: lostAt}, now)
			if !was {
				r.backdateLocked(f, now)
			}
		}
	}
	for _, process := range f.Alive {
		r.withdrawLocked(f.Part, process)
	}
	for _, version := range f.Sound {
		r.clearLocked(f.Part, version, now)
	}
	if f.Trial {
		r.putOffTrialLocked(f.Part, now)
	}
	return !was && r.heldLocked(f.Part, now)
}

// backdateLocked sets the beginning of a hold that this instance learns of to that at the instance
// which made the finding: losses since then are those of trials, which this one didn't see fail. A
// hold that is too young for trials begins now, as requests sent before it was known are on the way.
func (r *Registry) backdateLocked(f Finding, now time.Time) {
	heldFor := time.Duration(f.Held) * time.Millisecond
	if e, ok := r.entries[f.Part]; ok && e.held() && heldFor > holdSettleTime {
		e.heldSince = now.Add(-heldFor)
	}
}

// RecordSound records that a server of a version wrote well past the beginning of a response
// that began at a time, or completed it. It returns findings on the parts that had losses
// before that, for other instances.
func (r *Registry) RecordSound(parts []Key, version Version, begunAt time.Time) []Finding {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cleared []Finding
	for _, part := range parts {
		if r.clearLocked(part, version, begunAt) {
			cleared = append(cleared, Finding{Part: part, Sound: []Version{version}})
		}
	}
	return cleared
}

// Release forgets the losses of a part.
func (r *Registry) Release(part Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, part)
}

// Get returns what is known of a part.
func (r *Registry) Get(part Key) Finding {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := Finding{Part: part}
	now := time.Now()
	if e, ok := r.entries[part]; ok && !e.expired(now) {
		for _, l := range e.losses {
			l.Age = now.Sub(l.lostAt).Milliseconds()
			f.Losses = append(f.Losses, l.Loss)
		}
		if e.held() {
			f.Held = now.Sub(e.heldSince).Milliseconds()
		}
	}
	return f
}

// Notable reports whether other instances should know of the losses of a part: there are
// several, or one that is laid to the request, with a part that no server wrote on lately.
func (r *Registry) Notable(part Key) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	e, ok := r.entries[part]
	if !ok || e.expired(now) || len(e.losses) == 0 {
		return false
	}
	first := e.losses[0]
	_, sound := r.sound.lookup(soundPart{part, first.Version}, now)
	return len(e.losses) > 1 || first.strong() && !sound
}

// Held returns the parts that are held.
func (r *Registry) Held() []Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	var held []Key
	now := time.Now()
	for part := range r.entries {
		if r.heldLocked(part, now) {
			held = append(held, part)
		}
	}
	slices.Sort(held)
	return held
}

// Sweep deletes expired evidence.
func (r *Registry) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweepLocked(time.Now())
}

func (r *Registry) sweepLocked(now time.Time) {
	for part, e := range r.entries {
		if e.expired(now) {
			delete(r.entries, part)
		}
	}
}

func (r *Registry) heldLocked(part Key, now time.Time) bool {
	e, ok := r.entries[part]
	return ok && e.held() && !e.expired(now)
}

// addLocked adds a loss to a part, unless it is known or has the same cause as another.
func (r *Registry) addLocked(part Key, l recordedLoss, now time.Time) {
	soundAt, sound := r.sound.lookup(soundPart{part, l.Version}, now)
	if sound && (l.lostAt.Before(soundAt) || !l.Begun) {
		return // servers wrote on the part, and this one was lost before it did
	}
	if aliveAt, alive := r.alive.lookup(l.Process, now); alive && !l.lostAt.After(aliveAt) {
		return // it may come back in the notice of an instance that doesn't know yet
	}
	e := r.entryLocked(part, l.lostAt, now)
	ofRequest := 0
	for n := range e.losses {
		known := &e.losses[n]
		if known.Request == l.Request {
			ofRequest++
		}
		sameCause := (known.Zone == l.Zone || sound) && l.lostAt.Sub(known.lostAt).Abs() < sameCauseWindow
		if known.Process == l.Process || sameCause {
			known.Begun, known.Crashed = known.Begun || l.Begun, known.Crashed || l.Crashed
			r.updateLocked(part, e, now)
			return
		}
	}
	if ofRequest >= maxLossesPerRequest {
		return
	}
	if len(e.losses) >= maxLosses {
		e.losses = slices.Delete(e.losses, 0, 1)
	}
	e.losses = append(e.losses, l)
	if l.lostAt.After(e.updatedAt) {
		e.updatedAt = l.lostAt
	}
	if e.lostInTrial(l) {
		if !e.trying {
			e.trials++ // of another instance
		}
		e.trying = false
	}
	if e.held() {
		e.delayTrial(part, l.lostAt)
	}
	r.updateLocked(part, e, now)
}

// clearLocked records that a version's server wrote on a part in a response that began at a
// time. It reports whether losses were forgotten.
func (r *Registry) clearLocked(part Key, version Version, begunAt time.Time) bool {
	r.sound.add(soundPart{part, version}, begunAt)
	e, ok := r.entries[part]
	if !ok {
		return false
	}
	return r.removeLocked(part, e, func(l recordedLoss) bool { return l.Version == version && !l.lostAt.After(begunAt) })
}

// removeLocked removes losses and reports whether there were any.
func (r *Registry) removeLocked(part Key, e *entry, remove func(recordedLoss) bool) bool {
	before := len(e.losses)
	e.losses = slices.DeleteFunc(e.losses, remove)
	r.updateLocked(part, e, time.Now())
	if len(e.losses) == 0 {
		delete(r.entries, part)
	}
	return len(e.losses) < before
}

// updateLocked sets whether the part is held.
func (r *Registry) updateLocked(part Key, e *entry, now time.Time) {
	switch held := r.crashesLocked(part, e, now); {
	case held && !e.held():
		e.heldSince, e.trials, e.trying, e.trialAt = now, 0, false, time.Time{}
		e.doubtful = now.Sub(e.updatedAt) < doubtfulLife && !e.laidToPart()
		e.delayTrial(part, now)
	case !held:
		e.heldSince = time.Time{}
	}
}

// laidToPart reports whether enough losses to hold the part are strong ones. Many at the same
// time count once, as they may have one other cause.
func (e *entry) laidToPart() bool {
	strong := map[Version][]time.Time{}
	for _, l := range e.losses {
		if l.strong() {
			strong[l.Version] = append(strong[l.Version], l.lostAt)
		}
	}
	for _, times := range strong {
		if countCauses(times) >= holdAfterStrong {
			return true
		}
	}
	return false
}

// countCauses returns the number of losses, where minBurst or more within sameCauseWindow count
// once.
func countCauses(lostAt []time.Time) int {
	slices.SortFunc(lostAt, time.Time.Compare)
	causes := 0
	for len(lostAt) > 0 {
		burst := 1
		for burst < len(lostAt) && lostAt[burst].Sub(lostAt[0]) < sameCauseWindow {
			burst++
		}
		lostAt = lostAt[burst:]
		if burst >= minBurst {
			burst = 1
		}
		causes += burst
	}
	return causes
}

// crashesLocked reports whether there are enough losses of one version to hold the part.
func (r *Registry) crashesLocked(part Key, e *entry, now time.Time) bool {
	for _, l := range e.losses {
		if r.crashesVersionLocked(part, e, l.Version, now) {
			return true
		}
	}
	return false
}

func (r *Registry) crashesVersionLocked(part Key, e *entry, version Version, now time.Time) bool {
	all, strong := 0, 0
	for _, l := range e.losses {
		if l.Version != version {
			continue
		}
		all++
		if l.strong() {
			strong++
		}
	}
	_, sound := r.sound.lookup(soundPart{part, version}, now)
	return all >= holdAfterLosses || strong >= holdAfterStrong && !sound
}

// entryLocked returns the entry of a part for a loss at a time, and creates it if there is none
// or it had expired by then: the losses of a stored hold may all be older than lossTTL. If there
// are too many, an eighth of them is deleted: those that expired, then those with the fewest and
// oldest losses that are not held.
func (r *Registry) entryLocked(part Key, lostAt, now time.Time) *entry {
	if e, ok := r.entries[part]; ok && !e.expired(lostAt) {
		return e
	}
	if r.entries == nil {
		r.entries = map[Key]*entry{}
	}
	if len(r.entries) >= maxEntries {
		r.evictLocked(now)
	}
	e := &entry{}
	r.entries[part] = e
	return e
}

func (r *Registry) evictLocked(now time.Time) {
	r.sweepLocked(now)
	type candidate struct {
		part Key
		*entry
	}
	candidates := make([]candidate, 0, len(r.entries))
	for part, e := range r.entries {
		candidates = append(candidates, candidate{part, e})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.held() != b.held():
			if b.held() {
				return -1
			}
			return 1
		case len(a.losses) != len(b.losses):
			return len(a.losses) - len(b.losses)
		}
		return a.updatedAt.Compare(b.updatedAt)
	})
	excess := len(candidates) - maxEntries*7/8
	for _, c := range candidates[:max(0, excess)] {
		delete(r.entries, c.part)
	}
}
