package rwrelay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// Event is one complete server-sent event of a stream.
type Event struct {
	Raw    []byte // the event with the blank line that ends it; valid until the next call of Next
	ID     int64
	HasID  bool
	Length int
}

// Events reads complete server-sent events from a stream. It skips extra blank lines
// and comments between events.
type Events struct {
	reader  *bufio.Reader
	raw     []byte
	skipped int // bytes since the last event
}

// maxEventBytes limits the size of an event, and of what is skipped between two. It is
// many times the largest specified event, and small enough for each stream of an instance
// to hold one.
const maxEventBytes = 128 << 10

// ErrTruncated is returned if a stream ends in the middle of an event.
var ErrTruncated = errors.New("the stream ended in the middle of an event")

// ErrEventTooLong is returned if an event, or what stands between two, is longer than
// 128 KiB.
var ErrEventTooLong = errors.New("an event is longer than 128 KiB")

// NewEvents returns a reader of the events in r.
func NewEvents(r io.Reader) *Events {
	return &Events{reader: bufio.NewReaderSize(r, 1<<10)}
}

// Next returns the next complete event. It returns io.EOF after the last one, ErrTruncated
// if the stream ends in the middle of an event, and ErrEventTooLong.
func (e *Events) Next() (Event, error) {
	e.skipped = 0
	for {
		event, fields, err := e.nextBlock()
		if err != nil || fields {
			return event, err
		}
		if e.skipped += max(1, len(e.raw)); e.skipped > maxEventBytes {
			return Event{}, ErrEventTooLong
		}
	}
}

// nextBlock reads lines up to a blank one. fields reports whether there was one that is not
// a comment.
func (e *Events) nextBlock() (event Event, fields bool, err error) {
	e.raw = e.raw[:0]
	for {
		start := len(e.raw)
		if err := e.readLine(); err != nil {
			return event, fields, err
		}
		line := bytes.TrimRight(e.raw[start:], "\r\n")
		if len(line) == 0 {
			event.Raw = e.raw
			return event, fields, nil
		}
		fields = fields || line[0] != ':'
		event.parseID(line)
	}
}

// readLine appends a line to e.raw.
func (e *Events) readLine() error {
	for {
		part, err := e.reader.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		switch {
		case len(e.raw) > maxEventBytes:
			return ErrEventTooLong
		case err == nil:
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.raw)) > 0:
			return ErrTruncated
		default:
			return err
		}
	}
}

func (e *Event) parseID(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil {
		e.ID, e.HasID = id, true
	}
}

// Sequencer drops duplicate events and detects missing ones across the attempts of a
// stream.
type Sequencer struct {
	last       int64 // id of the last event that was passed to the caller
	started    bool  // last is valid
	unnumbered bool  // an event without an id was passed to the caller
}

// NewSequencer returns the Sequencer of a stream. If resumed is set, the caller already
// has all events up to and including the id last.
func NewSequencer(last int64, resumed bool) *Sequencer {
	return &Sequencer{last: last, started: resumed}
}

// Verdict is the decision about one event.
type Verdict int

// Decisions about an event.
const (
	VerdictPass    Verdict = iota // forward the event
	VerdictDrop                   // the caller already has the event
	VerdictGap                    // earlier events are missing: end the attempt
	VerdictForeign                // the event is no part of the stream: end the attempt
)

// Judge decides about an event and records its id if it passes. Ids increase by one. An
// event without an id passes only if no event had one: otherwise it is not of this stream
// but, for example, the text of an error.
func (s *Sequencer) Judge(e Event) Verdict {
	if !e.HasID {
		if s.started {
			return VerdictForeign
		}
		s.unnumbered = true
		return VerdictPass
	}
	switch {
	case s.started && e.ID <= s.last:
		return VerdictDrop
	case s.started && e.ID > s.last+1:
		return VerdictGap
	}
	s.last, s.started = e.ID, true
	return VerdictPass
}

// Resumable reports whether another attempt may go on after the events that were passed to
// the caller: none of them lacks an id.
func (s *Sequencer) Resumable() bool { return !s.unnumbered }

// Last returns the id of the last event that was passed to the caller, and false if
// there is none.
func (s *Sequencer) Last() (int64, bool) { return s.last, s.started }
