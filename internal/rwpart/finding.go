package rwpart

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Key identifies a part of prompts of one organisation at one service. It is a
// cryptographic digest, so that callers can't choose a part with the key of another.
type Key uint64

// NewKey returns the key of a part.
func NewKey(organisation, service, part string) Key {
	return Key(digest(organisation, service, part))
}

// digest returns the first 8 bytes of the SHA-256 sum of the texts and their lengths.
func digest(texts ...string) uint64 {
	var input []byte
	for _, text := range texts {
		input = binary.AppendUvarint(input, uint64(len(text)))
		input = append(input, text...)
	}
	sum := sha256.Sum256(input)
	return binary.BigEndian.Uint64(sum[:8])
}

// namePrefix begins the names of stored findings.
const namePrefix = "part-"

// String returns the name under which the finding on a part is stored.
func (k Key) String() string { return fmt.Sprintf("%s%016x", namePrefix, uint64(k)) }

// ParseName returns the key of a stored finding. ok is false if it is not the name of one.
func ParseName(name string) (k Key, ok bool) {
	digits, ok := strings.CutPrefix(name, namePrefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return Key(number), err == nil
}

// Process identifies a process of a backend server by its id and incarnation.
type Process uint32

// NewProcess returns the identity of a server's process.
func NewProcess(id string, incarnation int64) Process {
	return Process(digest(id, strconv.FormatInt(incarnation, 10)) >> 32)
}

// Zone identifies an availability zone.
type Zone uint16

// NewZone returns the identity of an availability zone.
func NewZone(name string) Zone { return Zone(digest(name) >> 48) }

// Version identifies a version of the server software.
type Version uint32

// NewVersion returns the identity of a version.
func NewVersion(name string) Version { return Version(digest(name) >> 32) }

// Request identifies a request across its attempts.
type Request uint32

// Loss is the loss of a server that had not written well past the beginning of its response.
type Loss struct {
	Process Process `json:"by"`
	Zone    Zone    `json:"zone"`
	Version Version `json:"version"`
	Request Request `json:"request"`
	Begun   bool    `json:"begun,omitempty"` // the status and headers of the response had arrived
	Plain   bool    `json:"plain,omitempty"` // the request has no events, but one whole response
	Crashed bool    `json:"crash,omitempty"` // and the process ended because of it, as far as can be told
	Age     int64   `json:"age"`             // in milliseconds, when the finding was made
}

// strong reports whether the loss is laid to the request rather than to another cause.
func (l Loss) strong() bool { return l.Begun || l.Crashed }

func (l Loss) at(now time.Time) time.Time {
	return now.Add(-time.Duration(l.Age) * time.Millisecond)
}

// Finding is what is known of one part, for other instances and the store.
type Finding struct {
	Part   Key       `json:"part"`
	Losses []Loss    `json:"lost,omitempty"`
	Held   int64     `json:"held,omitempty"`  // in milliseconds, for how long the part was held when the finding was made
	Sound  []Version `json:"sound,omitempty"` // versions whose servers wrote on past the beginning, after all losses known
	Alive  []Process `json:"alive,omitempty"` // processes whose losses were withdrawn
	Trial  bool      `json:"trial,omitempty"` // the part is held, and a request with it is sent as a trial
}
