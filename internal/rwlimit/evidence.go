package rwlimit

import (
	"time"
)

// Server identifies a process of a backend server.
type Server struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"life"`
}

// Limit is what a response says of its server's limit.
type Limit struct {
	Rate  float64 `json:"rate"`            // requests per second
	Named bool    `json:"named,omitempty"` // false if the response names none
}

// MaxRate is the highest rate that counts as a limit, in requests per second.
const MaxRate = 1e6

// Finding is the latest evidence on the limit of a server, for other instances.
type Finding struct {
	Server
	Limit
	SentAge     int64 `json:"sent"`     // time since the request was sent, in milliseconds
	ReceivedAge int64 `json:"received"` // time since the response was received, in milliseconds
}

// evidence is a limit and when it was in force: at some time between the sending of a request
// and the receipt of its response.
type evidence struct {
	Limit
	sentAt, receivedAt time.Time
}

// merge returns the evidence that results from e and a newer or older one. Responses overtake
// each other, so of two whose requests overlapped the lower limit counts.
func (e evidence) merge(other evidence) evidence {
	switch {
	case other.Limit == e.Limit:
		if other.receivedAt.After(e.receivedAt) {
			e.sentAt, e.receivedAt = other.sentAt, other.receivedAt
		}
		return e
	case !other.sentAt.Before(e.receivedAt):
		return other
	case !other.receivedAt.After(e.sentAt):
		return e
	case other.Named && (!e.Named || other.Rate < e.Rate):
		return other
	}
	return e
}

func (e evidence) finding(s Server, now time.Time) Finding {
	return Finding{Server: s, Limit: e.Limit, SentAge: now.Sub(e.sentAt).Milliseconds(), ReceivedAge: now.Sub(e.receivedAt).Milliseconds()}
}

func (f Finding) evidence(now time.Time) evidence {
	return evidence{
		Limit: f.Limit, sentAt: now.Add(-time.Duration(f.SentAge) * time.Millisecond),
		receivedAt: now.Add(-time.Duration(f.ReceivedAge) * time.Millisecond),
	}
}
