package rwrelay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// Event is one whole event of a stream, with its closing blank line.
type Event struct {
	Raw    []byte // valid until the next call of Next
	ID     int64
	HasID  bool
	Length int
}

// Events splits a stream into whole events.
type Events struct {
	reader *bufio.Reader
	raw    []byte
}

// eventMost is the largest event in bytes: many times those of the users' sheets.
const eventMost = 1 << 20

// ErrTorn is returned when a stream ends in the middle of an event.
var ErrTorn = errors.New("the stream ended in the middle of an event")

var errTooLong = errors.New("an event is longer than 1 MiB")

// NewEvents splits what a reader brings.
func NewEvents(r io.Reader) *Events {
	return &Events{reader: bufio.NewReaderSize(r, 1<<10)}
}

// Next returns the next whole event, io.EOF after the last one, or ErrTorn.
func (e *Events) Next() (Event, error) {
	e.raw = e.raw[:0]
	event := Event{}
	for {
		start := len(e.raw)
		line, err := e.reader.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			for errors.Is(err, bufio.ErrBufferFull) && len(e.raw) < eventMost {
				line, err = e.reader.ReadSlice('\n')
				e.raw = append(e.raw, line...)
			}
			if err == nil {
				break
			}
			fallthrough
		case err != nil:
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.raw)) > 0 {
				return event, ErrTorn
			}
			return event, err
		}
		if len(e.raw) >= eventMost {
			return event, errTooLong
		}
		line = bytes.TrimRight(e.raw[start:], "\r\n")
		if len(line) == 0 {
			if start == 0 {
				e.raw = e.raw[:0]
				continue
			}
			event.Raw = e.raw
			return event, nil
		}
		event.read(line)
	}
}

func (e *Event) read(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil {
		e.ID, e.HasID = id, true
	}
}

// Order keeps events in their order across attempts.
type Order struct {
	last    int64 // id of the last event that the caller was given
	started bool
}

// NewOrder returns the order of a stream whose caller has events up to last.
func NewOrder(last int64, resumed bool) *Order { return &Order{last: last, started: resumed} }

// Verdict says what to do with an event.
type Verdict int

// The verdicts on an event.
const (
	VerdictPass Verdict = iota // hand it on
	VerdictDrop                // the caller has it
	VerdictGap                 // events before it are missing: end the attempt
)

// Judge decides on an event. Ids go up by one.
func (o *Order) Judge(e Event) Verdict {
	if !e.HasID {
		return VerdictPass
	}
	switch {
	case o.started && e.ID <= o.last:
		return VerdictDrop
	case o.started && e.ID > o.last+1:
		return VerdictGap
	}
	o.last, o.started = e.ID, true
	return VerdictPass
}

// Last is the id of the last event that the caller was given.
func (o *Order) Last() (int64, bool) { return o.last, o.started }
