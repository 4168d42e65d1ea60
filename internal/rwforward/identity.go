package rwforward

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"
)

// digestBytes is the length of a digest, in bytes. It makes equal digests of different
// requests practically impossible and keeps notices short.
const digestBytes = 12

// digest returns a short text that differs for different values.
func digest(values ...string) string {
	h := sha256.New()
	for _, v := range values {
		_, _ = h.Write([]byte(v))
		_, _ = h.Write([]byte{0})
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:digestBytes])
}

// identity returns a digest of all that decides what the request generates. It is the same
// for each attempt of a request, and for other requests with the same content. The last part
// of the prompt is not enough: the requests of a session share it.
func (c *call) identity() string {
	return digest(c.org.Name, c.r.Method, strings.ToLower(c.r.Host), c.requestTarget(), strings.Join(c.info.Generation, "\x00"), string(c.body))
}
