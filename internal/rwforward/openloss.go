package rwforward

import (
	"strings"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwloss"
	"ragwortwall/internal/rwpart"
	"ragwortwall/pkg/rwset"
)

// openLoss records the loss of a server of which nothing tells whether the server or the path
// to it was lost. It is judged once something tells. partLoss is what it counts against parts of
// the prompt if the server ended; nil for nothing.
func (c *call) openLoss(server rwbackend.Entry, at time.Time, progress string, cause error, partLoss *rwpart.Loss) {
	kept := c.detach()
	c.f.Counters.increment("losses_opened")
	c.f.Log.Info("server loss not judged yet", "request", c.info.ID, "fingerprint", c.fingerprint.String(), "path", c.pathDigest(), "server", server.ID, "incarnation", server.Incarnation,
		"cause", cause.Error(), "age", time.Since(at).Seconds(), "open", c.f.OpenLosses.Count()+1)
	c.f.OpenLosses.Add(rwloss.Loss{
		Server: server, At: at, Request: uint64(c.fingerprint),
		Ran: func(id string) bool { return kept.serversLost().Has(id) },
		Judged: func(verdict rwloss.Verdict) {
			ended, reason := lossOutcome(verdict)
			kept.recordJudgement(server, at, progress, cause, ended, reason)
			if partLoss != nil && verdict == rwloss.Ended {
				kept.countLatePartLoss(server, *partLoss)
			}
		},
	})
}

// countLatePartLoss counts the loss of a server against the parts of the prompt when it is known
// that the server ended. It is weak evidence whatever the request was doing: the servers that are
// just back haven't completed the sound requests yet that ran beside it. Parts that are held are
// left out: they have had other losses, and a late one would look like a trial that failed.
func (c *call) countLatePartLoss(server rwbackend.Entry, loss rwpart.Loss) {
	loss.Begun, loss.Crashed = false, false
	held := rwset.New(c.f.Parts.Held()...)
	for n, key := range c.partKeys {
		if !held.Has(key) {
			c.recordLossOfPart(n, server, loss)
		}
	}
	c.f.NotifyParts.AnnounceLosses(c.partKeys)
}

// lossOutcome returns whether a server has ended, by the verdict on its loss, and why the
// request did not crash it; the reason is empty if it did.
func lossOutcome(verdict rwloss.Verdict) (ended bool, reason lossReason) {
	switch verdict {
	case rwloss.Ended:
		return true, ""
	case rwloss.EndedWithOthers:
		return true, lossCorrelated
	case rwloss.Left:
		return false, lossLeaving
	case rwloss.Survived:
		return false, lossPath
	case rwloss.Open, rwloss.Undecided:
	}
	return false, lossUnknown
}

// detach returns what is needed of the request to judge a loss after the request has ended. It
// doesn't keep the body in memory.
func (c *call) detach() *call {
	c.lostMu.Lock()
	defer c.lostMu.Unlock()
	kept := &call{
		f: c.f, info: RequestInfo{ID: c.info.ID, SharedParts: c.info.SharedParts}, route: c.route, org: c.org, service: c.service, fingerprint: c.fingerprint,
		digest: c.pathDigest(), parts: c.parts, partKeys: c.partKeys, lost: rwset.New[string](),
	}
	for id := range c.lost {
		kept.lost.Add(id)
	}
	return kept
}

// serversLost returns the ids of the servers that were lost while they ran the request, in any
// of its attempts that are known.
func (c *call) serversLost() rwset.Set[string] {
	lost := rwset.New[string]()
	for _, loss := range c.f.Poison.Get(c.fingerprint).Losses {
		id, _, _ := strings.Cut(loss, lossSeparator)
		lost.Add(id)
	}
	c.lostMu.Lock()
	defer c.lostMu.Unlock()
	for id := range c.lost {
		lost.Add(id)
	}
	return lost
}
