package rwgeneration

import (
	"encoding/hex"
	"encoding/json"
	"time"

	"ragwortwall/internal/rwcursor"
	"ragwortwall/internal/rwwire"
)

// Spec describes a generation. It does not change while the generation runs.
type Spec struct {
	ID                rwcursor.GenerationID
	Organisation      string // team and name joined by a slash
	Weight            int
	Route             string // team and name joined by a slash
	Fingerprint       uint64 // of the body of the caller's request
	Chat              bool
	Prompt            json.RawMessage
	MaxTokens         int // of the answer
	Stop              []string
	Sampling          json.RawMessage
	Priority          int
	Deadline          time.Time
	Zone              string // the gateway's availability zone
	HasIdempotencyKey bool   // the caller sent an Idempotency-Key
}

// FormatID returns the ID in hexadecimal, for logs.
func FormatID(id rwcursor.GenerationID) string { return hex.EncodeToString(id[:]) }

// ToWire converts s to its wire message.
func (s Spec) ToWire() *rwwire.Generation {
	return &rwwire.Generation{
		Id:           s.ID[:],
		Organisation: s.Organisation,
		Weight:       int32(s.Weight),
		Route:        s.Route,
		Body:         s.Fingerprint,
		Chat:         s.Chat,
		Prompt:       s.Prompt,
		Limit:        int32(s.MaxTokens),
		Stop:         s.Stop,
		Sampling:     s.Sampling,
		Priority:     int32(s.Priority),
		Deadline:     time.Until(s.Deadline).Milliseconds(),
		Zone:         s.Zone,
		Keyed:        s.HasIdempotencyKey,
	}
}

// SpecFromWire converts a wire message to a Spec. The deadline is sent as the remaining
// time, so that the clocks of instances need not agree.
func SpecFromWire(g *rwwire.Generation) Spec {
	s := Spec{
		Organisation:      g.Organisation,
		Weight:            int(g.Weight),
		Route:             g.Route,
		Fingerprint:       g.Body,
		Chat:              g.Chat,
		Prompt:            g.Prompt,
		MaxTokens:         int(g.Limit),
		Stop:              g.Stop,
		Sampling:          g.Sampling,
		Priority:          int(g.Priority),
		Deadline:          time.Now().Add(time.Duration(g.Deadline) * time.Millisecond),
		Zone:              g.Zone,
		HasIdempotencyKey: g.Keyed,
	}
	copy(s.ID[:], g.Id)
	return s
}

// Lineage describes the stream that a generation's tokens come from.
type Lineage struct {
	Version string
	Server  string
	Stream  string   // ID of the stream at the engine; also the ID of its slot lease
	Base    int      // offset in the journal at which the stream starts
	Attempt int      // number of the attempt, counted from 1; 0 before the first
	Prompt  []uint32 // token IDs of the prompt; empty until an engine has sent them
}

func (l Lineage) toWire(run uint64) *rwwire.Lineage {
	return &rwwire.Lineage{
		Run: run, Version: l.Version, Server: l.Server, Stream: l.Stream,
		Attempt: int32(l.Attempt), Prompt: l.Prompt, Base: int32(l.Base),
	}
}

func lineageFromWire(l *rwwire.Lineage) Lineage {
	return Lineage{
		Version: l.Version, Server: l.Server, Stream: l.Stream,
		Attempt: int(l.Attempt), Prompt: l.Prompt, Base: int(l.Base),
	}
}
