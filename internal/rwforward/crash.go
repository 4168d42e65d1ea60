package rwforward

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwpath"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwrelay"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

const (
	// crashCheckDelay is the time between the loss of a server and the check whether
	// a request crashed it. By then other servers lost at the same time have been
	// detected.
	crashCheckDelay = 400 * time.Millisecond
	// restartCheckDelay is the time from then until it is checked once more whether an
	// address that accepts connections has a new process. It covers the time until a
	// server that has restarted is listed.
	restartCheckDelay = 2 * time.Second
	// describeTimeout limits the question to a server which process it is.
	describeTimeout = 600 * time.Millisecond
)

// QuarantineCrashes is how many distinct servers must crash while running a request
// before it is quarantined. It is one more than package rwpoison requires of suspects that
// run alone, because here other requests run beside them.
const QuarantineCrashes = 3

// computeFingerprint returns the identity of a request across retries: it covers the
// organisation, method, host, path, query and body. Ids of the request and of parts of
// its prompt may be new in each attempt.
func (c *call) computeFingerprint() rwpoison.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{c.org.Name, c.r.Method, c.r.Host, c.requestTarget()} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return rwpoison.Fingerprint(h.Sum64())
}

// pathDigest identifies the organisation, host and path in log lines, so that requests can be
// joined that differ in their query only.
func (c *call) pathDigest() string {
	if c.r == nil {
		return c.digest
	}
	path, _, _ := strings.Cut(c.requestTarget(), "?")
	return strconv.FormatUint(xxhash.Sum64String(c.org.Name+"\x00"+c.r.Host+"\x00"+path), 16)
}

// lossReason tells why the loss of a server is not counted against the request that it
// ran.
type lossReason string

const (
	lossCorrelated lossReason = "correlated" // another server of its zone was lost at the same time
	lossResponds   lossReason = "responds"   // the process still runs
	lossAccepts    lossReason = "accepts"    // its address accepts connections
	lossLeaving    lossReason = "leaving"    // it was shutting down in order
	lossUnlisted   lossReason = "unlisted"   // its entry was removed, so its end may have been in order
	lossPath       lossReason = "path"       // the path of this instance to its service was lost
	lossCompleted  lossReason = "completed"  // it isn't known what became of it, and another server has completed the request
	lossUnknown    lossReason = "unknown"    // nothing tells whether the server or the path to it was lost
)

// reportLoss records that an exchange with a server ended without a complete response.
// Later it is judged whether the server ended, and whether the request crashed it.
func (c *call) reportLoss(server rwbackend.Entry, cause error) {
	at, progress := time.Now(), c.progress.String()
	c.lostMu.Lock()
	c.lost.Add(server.ID)
	c.lostMu.Unlock()
	partLoss := c.recordPartLoss(server, cause)
	var pending *pendingPartLoss
	if partLoss != nil {
		pending = c.f.addPartLoss(c.service.Name, at, func() { c.judgePartLoss(server, false, lossPath) })
		if c.lostWithPath() && c.f.takePartLoss(pending) {
			c.judgePartLoss(server, false, lossPath) // the path was found broken meanwhile
		}
	}
	record := func(ended bool, reason lossReason) {
		if reason == lossUnknown {
			if partLoss != nil && c.f.takePartLoss(pending) {
				c.judgePartLoss(server, false, lossUnknown) // counted once it is known that the server ended
			}
			if c.completed.Load() {
				c.recordJudgement(server, at, progress, cause, false, lossCompleted)
				return
			}
			c.openLoss(server, at, progress, cause, partLoss)
			return
		}
		c.recordJudgement(server, at, progress, cause, ended, reason)
		if partLoss != nil && c.f.takePartLoss(pending) {
			c.judgePartLoss(server, ended, reason)
		}
	}
	time.AfterFunc(crashCheckDelay, func() {
		ended, reason := c.judgeLoss(server, at, cause)
		if reason != lossAccepts {
			record(ended, reason)
			return
		}
		// The process may be a new one that the store doesn't list yet.
		time.AfterFunc(restartCheckDelay, func() { record(c.judgeAccepting(server, at)) })
	})
}

// recordJudgement records what was judged of a loss.
func (c *call) recordJudgement(server rwbackend.Entry, at time.Time, progress string, cause error, ended bool, reason lossReason) {
	if ended {
		c.recordSuspicion("server ended while running a request", "losses_counted", server, progress, cause, c.f.Poison.RecordLoss(c.fingerprint, processName(server)))
	}
	if reason == "" {
		s := c.f.Poison.Implicate(c.fingerprint, processName(server), false)
		c.recordSuspicion("server crashed while running a request", "crashes_counted", server, progress, cause, s)
		return
	}
	c.f.Counters.increment("crashes_ignored_" + string(reason))
	c.f.Log.Info("server loss not counted as a crash", "request", c.info.ID, "fingerprint", c.fingerprint.String(), "path", c.pathDigest(), "server", server.ID, "reason", string(reason),
		"ended", ended, "cause", cause.Error(), "age", time.Since(at).Seconds(), "parts", c.partNames(), "progress", progress)
}

// judgeLoss reports whether a server has ended since a time, and why the request did not
// crash it; the reason is empty if it did, as far as can be told. cause is why the exchange with
// the server ended.
func (c *call) judgeLoss(server rwbackend.Entry, since time.Time, cause error) (ended bool, reason lossReason) {
	if c.f.Directory.Fate(server, since) == rwbackend.FateUnknown {
		switch c.f.Dialer.Check(context.Background(), server.Address, dialTimeout/2) {
		case rwpath.ReachAccepts:
			return false, lossAccepts
		case rwpath.ReachUnknown:
			return false, lossUnknown
		case rwpath.ReachSilent:
			if endedHere(cause) {
				return false, lossAccepts
			}
		case rwpath.ReachUnreached:
		}
		return true, c.otherCause(server, since)
	}
	return c.judgeByDirectory(server, since)
}

// endedHere reports whether this instance ended an exchange: because of what the server sent, or
// as the caller left. That is no sign that the server has ended, so it takes more than a connection
// that isn't accepted in time, which an instance short of processor time sees as well.
func endedHere(cause error) bool {
	for _, other := range []error{
		rwlink.ErrHeadTooLong, rwlink.ErrBodyTooLong, rwlink.ErrNoOwnResponse, http.ErrLineTooLong, rwrelay.ErrEventTooLong,
		errBuffersFull, errInvalidResponse, errEventGap, errForeignEvent, errOtherMediaType,
		rwlink.ErrAborted, net.ErrClosed, errCallerLeft,
	} {
		if errors.Is(cause, other) {
			return true
		}
	}
	return false
}

// judgeAccepting is judgeLoss for a server whose address accepts connections. If the directory
// doesn't know of a new process there, as the store may be away, a server that runs models is
// asked whether it is one. Of others nothing is known: the address may be accepting for a server
// that has ended, or for a new process.
func (c *call) judgeAccepting(server rwbackend.Entry, since time.Time) (ended bool, reason lossReason) {
	if c.f.Directory.Fate(server, since) == rwbackend.FateUnknown && len(c.service.Engine.Models) > 0 && server.Incarnation != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), describeTimeout)
		defer cancel()
		switch status, err := c.f.Engines.Describe(ctx, server.Address); {
		case err == nil && status.Incarnation > server.Incarnation:
			return true, c.otherCause(server, since)
		case err == nil:
			return false, lossResponds
		}
	}
	return c.judgeByDirectory(server, since)
}

// judgeByDirectory is judgeLoss without a connection to the server.
func (c *call) judgeByDirectory(server rwbackend.Entry, since time.Time) (ended bool, reason lossReason) {
	switch c.f.Directory.Fate(server, since) {
	case rwbackend.FateLeaving:
		return true, lossLeaving
	case rwbackend.FateUnlisted:
		return true, lossUnlisted
	case rwbackend.FateReplaced:
		return true, c.otherCause(server, since)
	case rwbackend.FateResponds:
		return false, lossResponds
	case rwbackend.FateUnknown:
	}
	return false, lossUnknown
}

// otherCause returns a cause other than the request for the end of a server, or an empty
// reason. Servers that ran the request and were lost at the same time are no sign of one.
func (c *call) otherCause(server rwbackend.Entry, at time.Time) lossReason {
	if c.f.Directory.IsCorrelatedLoss(server, at, c.serversLost().Has) {
		return lossCorrelated
	}
	return ""
}

const lossSeparator = "/"

// processName returns a name of the server's process, which its restart changes.
func processName(server rwbackend.Entry) string {
	return server.ID + lossSeparator + strconv.FormatInt(server.Incarnation, 10)
}

// recordSuspicion logs, counts and publishes a suspicion.
func (c *call) recordSuspicion(text, counter string, server rwbackend.Entry, progress string, cause error, s rwpoison.Suspicion) {
	c.f.Counters.increment(counter)
	c.f.Log.Info(text, "request", c.info.ID, "fingerprint", c.fingerprint.String(), "path", c.pathDigest(), "server", server.ID, "incarnation", server.Incarnation, "cause", cause.Error(),
		"losses", len(s.Losses), "crashes", len(s.Servers), "quarantined", s.Rejected(), "parts", c.partNames(), "progress", progress)
	c.f.NotifySuspicion(s)
}

// recordSurvival records that a server ran the request to the end, which therefore doesn't
// crash servers. A server's failure is no sign of that: it may have come before the crash.
func (c *call) recordSurvival(server string, status int) {
	c.completed.Store(true)
	if dropped := c.f.OpenLosses.Drop(uint64(c.fingerprint)); dropped > 0 {
		c.f.Counters.increment("open_losses_dropped")
		c.f.Log.Info("open losses dropped", "request", c.info.ID, "fingerprint", c.fingerprint.String(), "path", c.pathDigest(), "server", server, "losses", dropped)
	}
	s, ok := c.f.Poison.Complete(c.fingerprint)
	if !ok {
		return
	}
	c.f.Counters.increment("suspicions_cleared")
	c.f.Log.Info("losses forgotten", "request", c.info.ID, "fingerprint", c.fingerprint.String(), "path", c.pathDigest(), "server", server, "status", status,
		"losses", len(s.Losses), "crashes", len(s.Servers))
	c.f.NotifySuspicion(s)
}

// checkQuarantine rejects a request under which too many servers crashed or were lost.
// It is called before each attempt.
func (c *call) checkQuarantine() error {
	if e := c.f.Poison.QuarantineError(c.fingerprint); e != nil {
		return c.refusal(e)
	}
	return nil
}
