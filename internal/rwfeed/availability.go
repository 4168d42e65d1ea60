package rwfeed

import (
	"sync"
	"time"

	"ragwortwall/internal/rwtime"
)

// Span is a period in which the store has answered instances of the fleet, without a pause in
// which it could have removed the entries of servers that run. The zero value is no period.
type Span struct {
	Since, Until rwtime.BootTime
}

// With returns the span extended by another one, if they overlap or the pause between them is
// at most maxPause, and otherwise the later one.
func (s Span) With(other Span, maxPause time.Duration) Span {
	switch pause := rwtime.BootTime(maxPause); {
	case s == Span{}:
		return other
	case other == Span{}, other.Until+pause < s.Since:
		return s
	case s.Until+pause < other.Since:
		return other
	}
	return Span{min(s.Since, other.Since), max(s.Until, other.Until)}
}

// Availability records when the store has answered, this instance or others that it follows. An
// instance that was cut off from the store alone thereby knows that the store was not away. Set
// MaxPause before first use. A nil Availability records nothing.
type Availability struct {
	// MaxPause is the longest pause between two answers in which no entry of a server that runs
	// can have expired.
	MaxPause time.Duration

	mu   sync.Mutex
	span Span
}

// Record adds a period in which the store has answered.
func (a *Availability) Record(s Span) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.span = a.span.With(s, a.MaxPause)
}

// Extend records that the store was available until a time, unless it is known that it was
// away since the last record.
func (a *Availability) Extend(until rwtime.BootTime) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.span != (Span{}) {
		a.span.Until = max(a.span.Until, until)
	}
}

// Span returns the latest period.
func (a *Availability) Span() Span {
	if a == nil {
		return Span{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.span
}

// RecoveredAt returns when the store answered again after the last pause in which entries may
// have expired, or the zero time if it has never answered.
func (a *Availability) RecoveredAt() time.Time {
	s := a.Span()
	if s == (Span{}) {
		return time.Time{}
	}
	return time.Now().Add(-rwtime.Since(s.Since))
}

// SpanOffsets is a Span in milliseconds relative to when a request was received. It is rounded
// so that it does not grow on its way from instance to instance.
type SpanOffsets struct {
	SinceMillis int64 `json:"since"`
	UntilMillis int64 `json:"until"`
}

// offsets returns a span relative to a time, or nil for no period.
func (s Span) offsets(from rwtime.BootTime) *SpanOffsets {
	if s == (Span{}) {
		return nil
	}
	return &SpanOffsets{SinceMillis: -offsetMillis(from, s.Since), UntilMillis: offsetMillis(s.Until, from)}
}

// span returns the span on the clock of the instance that sent the request at the given time.
func (o SpanOffsets) span(sentAt rwtime.BootTime) Span {
	at := func(millis int64) rwtime.BootTime {
		return sentAt + rwtime.BootTime(time.Duration(millis)*time.Millisecond)
	}
	return Span{at(o.SinceMillis), at(o.UntilMillis)}
}
