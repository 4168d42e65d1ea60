package rwwire

import (
	"encoding/binary"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwtoken"
)

// NewFault encodes an error as a message. It returns nil for a nil error.
func NewFault(e *rwerror.Error) *Fault {
	if e == nil {
		return nil
	}
	return &Fault{
		Kind:    string(e.Kind),
		Message: e.Message,
		Remedy:  e.Remedy,
		Retry:   e.RetryAfter.Milliseconds(),
		Ran:     string(e.Ran),
	}
}

// ToError decodes the error of a message. It returns nil for a nil message.
func (f *Fault) ToError() *rwerror.Error {
	if f == nil {
		return nil
	}
	return &rwerror.Error{
		Kind:       rwerror.Kind(f.Kind),
		Message:    f.Message,
		Remedy:     f.Remedy,
		RetryAfter: time.Duration(f.Retry) * time.Millisecond,
		Ran:        rwerror.Ran(f.Ran),
	}
}

// PackTokens encodes tokens: for each token its ID and the length of its text, both
// as varints, and the text.
func PackTokens(tokens []rwtoken.Token) []byte {
	var b []byte
	for _, t := range tokens {
		b = binary.AppendUvarint(b, uint64(t.ID))
		b = binary.AppendUvarint(b, uint64(len(t.Text)))
		b = append(b, t.Text...)
	}
	return b
}

// UnpackTokens decodes the output of PackTokens. The tokens share the memory of b.
// It returns an error of KindInvalid if b is malformed.
func UnpackTokens(b []byte) ([]rwtoken.Token, error) {
	var tokens []rwtoken.Token
	for len(b) > 0 {
		id, n := binary.Uvarint(b)
		if n <= 0 || id > 1<<32-1 {
			return nil, errMalformedTokens
		}
		b = b[n:]
		length, n := binary.Uvarint(b)
		if n <= 0 || length > uint64(len(b)-n) {
			return nil, errMalformedTokens
		}
		b = b[n:]
		tokens = append(tokens, rwtoken.Token{ID: uint32(id), Text: b[:length:length]})
		b = b[length:]
	}
	return tokens, nil
}

var errMalformedTokens = rwerror.New(rwerror.KindInvalid, "run the same release on all instances", "a peer sent tokens that can't be read")
