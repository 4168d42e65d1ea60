package rwfeed

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/juju/errors"
	"storj.io/drpc"
)

// encoding writes messages as JSON, large ones compressed.
type encoding struct{}

const (
	// packLeast is the size from which messages are compressed, in bytes: a few
	// packets.
	packLeast = 4 << 10
	// unpackMost bounds what a message unpacks to, in bytes: many times a list of
	// all servers of the size to design for.
	unpackMost = 64 << 20
)

// packMagic begins a compressed message; no JSON begins so.
var packMagic = []byte{0x1f, 0x8b}

// Marshal writes a message.
func (encoding) Marshal(m drpc.Message) ([]byte, error) {
	plain, err := json.Marshal(m)
	if err != nil || len(plain) < packLeast {
		return plain, err
	}
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return packed.Bytes(), nil
}

// Unmarshal reads a message.
func (encoding) Unmarshal(b []byte, m drpc.Message) error {
	if !bytes.HasPrefix(b, packMagic) {
		return json.Unmarshal(b, m)
	}
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return errors.Trace(err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, unpackMost))
	if err != nil {
		return errors.Trace(err)
	}
	return json.Unmarshal(plain, m)
}
