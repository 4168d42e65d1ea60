package rwsoak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"ragwortwall/internal/rwtime"
	"ragwortwall/platform/standin"
)

// Terms of the users' rules on a part of a prompt that crashes servers. After the fifth
// crash and contactTime for it to become known, at most maxLateParts requests with the part
// may reach servers, counted as for maxLateRetries. From twice contactTime after that crash,
// or after the last if there are fewer, sound requests with the same other parts begin at
// least half as often as before.
const (
	partCrashes  = 5
	maxLateParts = 3
	minShareSize = 20 // smallest number of sound requests to compare

	crashPart      = "c4a5"
	partsFraction  = 0.2 // fraction of the run after which requests with the part are sent
	partInterval   = time.Second
	soundSenders   = 3 // for each instance
	soundInterval  = 100 * time.Millisecond
	partsTimeout   = 5 * time.Second
	partsDraftPath = "/drafts/parts"
)

// sentRequest is a request with the name of the instance that it was sent to.
type sentRequest struct {
	id, instance string
	at           time.Time
}

// Share is a number of requests and how many of them began at a server.
type Share struct {
	Begun int `json:"begun"`
	Sent  int `json:"sent"`
}

// String returns the share as "BEGUN of SENT".
func (h Share) String() string { return fmt.Sprintf("%d of %d", h.Begun, h.Sent) }

// sendParts sends sound requests to all instances until ctx ends and, from partsFraction of
// the run on, requests with the part that crashes servers. They have the same caller and
// other parts except the last, which differs in each.
func (s *Soak) sendParts(ctx context.Context) {
	var running sync.WaitGroup
	for _, i := range s.instances {
		for range soundSenders {
			running.Go(func() {
				s.repeatPrompt(ctx, i, soundInterval, &s.soundRequests, standin.FirstPart, "51a7", "51a8", "")
			})
		}
		running.Go(func() {
			if rwtime.Sleep(ctx, time.Duration(partsFraction*float64(s.Duration))) {
				s.repeatPrompt(ctx, i, partInterval, &s.partRequests, standin.FirstPart, "51a7", crashPart, "51a8", "")
			}
		})
	}
	running.Wait()
}

// repeatPrompt sends requests with the given parts to an instance until ctx ends, over an
// open connection as long as it lasts, and adds them to sent.
func (s *Soak) repeatPrompt(ctx context.Context, i *instance, interval time.Duration, sent *[]sentRequest, parts ...string) {
	c := standin.NewCaller(standin.Key, func() string { return i.CallerAddress })
	c.HTTP = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer c.HTTP.CloseIdleConnections()
	for ctx.Err() == nil {
		sendCtx, cancel := context.WithTimeout(ctx, partsTimeout)
		_, _ = c.SendParts(sendCtx, http.MethodPost, partsDraftPath, parts, func(id string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			*sent = append(*sent, sentRequest{id, i.Name, time.Now()})
		})
		cancel()
		rwtime.Sleep(ctx, interval)
	}
}

// checkParts checks that the part was kept from the servers once it was known, and that
// sound requests beside it were served.
func (s *Soak) checkParts() {
	var crashedAt []time.Time
	sentTo := map[string]string{}
	for _, r := range s.partRequests {
		sentTo[r.id] = r.instance
	}
	for _, c := range s.fleet.Crashes() {
		if sentTo[c.Request] != "" {
			crashedAt = append(crashedAt, c.At)
		}
	}
	if len(crashedAt) == 0 {
		return
	}
	known := crashedAt[min(partCrashes, len(crashedAt))-1]
	if len(crashedAt) >= partCrashes {
		s.checkPartArrivals(known.Add(contactTime), len(crashedAt))
	}
	s.report.SoundBefore = s.shareBegun(time.Time{}, s.partRequests[0].at)
	s.report.SoundAfter = s.shareBegun(known.Add(2*contactTime), s.partRequests[len(s.partRequests)-1].at)
	before, after := s.report.SoundBefore, s.report.SoundAfter
	if before.Sent >= minShareSize && after.Sent >= minShareSize && 2*after.Begun*before.Sent < before.Begun*after.Sent {
		s.addViolation("sound requests beside a part that crashes servers: %v begun before, %v later than %s after it was known", before, after, 2*contactTime)
	}
}

// checkPartArrivals counts the arrivals of requests with the part at servers after a time.
func (s *Soak) checkPartArrivals(from time.Time, crashes int) {
	for _, r := range s.partRequests {
		for _, arrival := range s.fleet.Record(r.id).Arrivals {
			if arrival.At.After(from) && s.inTouch(r.instance, arrival.At) {
				s.report.LateParts++
			}
		}
	}
	if s.report.LateParts > maxLateParts {
		s.addViolation("instances in touch sent a part that crashes servers to them %d times later than %s after the crash %d; %d crashed in all", s.report.LateParts, contactTime, partCrashes, crashes)
	}
}

// shareBegun returns the share of the sound requests that began at a server, of those that
// were sent in a period at instances in touch while there were model servers.
func (s *Soak) shareBegun(from, to time.Time) Share {
	var share Share
	for _, r := range s.soundRequests {
		if r.at.Before(from) || r.at.After(to) || !s.inTouch(r.instance, r.at) || s.interrupted([]string{standin.ModelService}, r.at, r.at) {
			continue
		}
		share.Sent++
		if s.fleet.Record(r.id).Begun {
			share.Begun++
		}
	}
	return share
}
