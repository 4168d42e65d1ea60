package rwconn

import "bytes"

// headCost is what the head of a request takes of the memory while it is decoded and held.
type headCost struct {
	bytes, fields, parts int
	blank                bool // nothing but the end of a line has come since the last one
	whole                bool
	lastLines            int // that the last read returned
}

const (
	fieldBytes = 160 // of a field with a short name: its entry in the map, name, list of values
	partBytes  = 32  // of a part of a list in a field
	// usualHeadBytes is the cost up to which a head is usual. It is several times that of the
	// heads of ordinary callers.
	usualHeadBytes = 16 << 10
	// connBytes is what a connection takes without its requests' heads and bodies.
	connBytes = 16 << 10
)

// add counts what was read from the connection.
func (h *headCost) add(p []byte) {
	h.lastLines = bytes.Count(p, []byte{'\n'})
	for _, b := range p {
		switch {
		case h.whole:
			return
		case b == '\n':
			h.whole = h.blank && h.fields > 0
			h.fields++
			h.blank = true
		case b == ',':
			h.parts++
			h.blank = false
		case b != '\r':
			h.blank = false
		}
		h.bytes++
	}
}

// next begins the next head. Its first lines may have come with the last read.
func (h *headCost) next() { *h = headCost{fields: h.lastLines} }

// total returns the cost in bytes.
func (h *headCost) total() int64 {
	return int64(2*h.bytes + fieldBytes*h.fields + partBytes*h.parts)
}
