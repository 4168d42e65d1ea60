package rwfeed

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/juju/errors"
	"storj.io/drpc"
)

// encoding is a drpc.Encoding that writes messages as JSON and compresses large
// ones with gzip.
type encoding struct{}

const (
	// minCompressBytes is the size from which messages are compressed: a message of
	// a few packets gains nothing.
	minCompressBytes = 4 << 10
	// maxDecompressedBytes limits the size of a decompressed message. It is many
	// times the size of the list of all servers at the largest supported fleet size.
	maxDecompressedBytes = 64 << 20
)

// gzipMagic starts every compressed message. No JSON text starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// Marshal encodes a message as JSON, compressed from minCompressBytes on.
func (encoding) Marshal(m drpc.Message) ([]byte, error) {
	plain, err := json.Marshal(m)
	if err != nil || len(plain) < minCompressBytes {
		return plain, err
	}
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return compressed.Bytes(), nil
}

// Unmarshal decodes a message that Marshal wrote.
func (encoding) Unmarshal(b []byte, m drpc.Message) error {
	if !bytes.HasPrefix(b, gzipMagic) {
		return json.Unmarshal(b, m)
	}
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return errors.Trace(err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes))
	if err != nil {
		return errors.Trace(err)
	}
	return json.Unmarshal(plain, m)
}
