package rwforward

import (
	"net/http"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwlink"
	"ragwortwall/internal/rwpart"
	"ragwortwall/internal/rwrelay"
	"ragwortwall/internal/rwroute"

	"github.com/juju/errors"
)

// PartNotifier publishes evidence on parts of prompts to the other instances.
type PartNotifier interface {
	// AnnounceLosses publishes the losses that are known of parts.
	AnnounceLosses(parts []rwpart.Key)
	// AnnounceFindings publishes that servers wrote on parts that had losses, or that losses
	// were withdrawn.
	AnnounceFindings(findings []rwpart.Finding)
	// AnnounceTrial publishes that a request with parts that are held is sent as a trial.
	AnnounceTrial(parts []rwpart.Key)
}

// wellUnderWay reports whether the response went on past its beginning.
func (p responseProgress) wellUnderWay() bool {
	return p.events >= rwpart.SoundEvents && p.begun() && time.Since(p.begunAt) >= rwpart.SoundAfter
}

func (c *call) setParts(parts []sharedPart) {
	c.parts, c.partKeys = parts, make([]rwpart.Key, len(parts))
	for n, part := range parts {
		c.partKeys[n] = part.key
	}
}

// checkParts rejects a request with a part that crashes servers of the version. It is called
// before each attempt.
func (c *call) checkParts(server rwbackend.Entry) error {
	if len(c.partKeys) == 0 || c.partTrial == c.attempts+1 { // admitted as a trial that could not be sent
		return nil
	}
	trial, refusal := c.f.Parts.Admit(c.partKeys, rwpart.NewVersion(server.Version))
	if refusal != nil && (c.f.Dialer.IsBroken(c.service.Name) || c.f.hasPartLosses(c.service.Name)) {
		// Losses of the path to all servers at once look like a part that crashes servers.
		c.f.Dialer.Verify(c.r.Context(), c.service.Name, dialTimeout/2)
		trial, refusal = c.f.Parts.Admit(c.partKeys, rwpart.NewVersion(server.Version))
	}
	switch {
	case refusal == nil && trial:
		c.partTrial = c.attempts + 1
		c.f.NotifyParts.AnnounceTrial(c.partKeys) // others may get the next request with them right after
		c.f.Log.Info("trying a held part", "request", c.info.ID, "server", server.ID, "parts", c.partNames())
		return nil
	case refusal == nil:
		return nil
	}
	return c.refusal(refusal)
}

// brokenByServer reports whether an exchange may have ended because the server did.
func (c *call) brokenByServer(cause error) bool {
	if c.r.Context().Err() != nil || c.remaining() <= 0 {
		return false
	}
	for _, other := range []error{errCallerLeft, errEventGap, errInvalidResponse, errBuffersFull, errSlow, errSlowAnswers, rwlink.ErrAborted, rwrelay.ErrEventTooLong} {
		if errors.Is(cause, other) {
			return false
		}
	}
	return true
}

// recordPartLoss counts the loss of a server against the parts of the prompt, at once: until
// it is judged, the next attempt may crash another server. It returns the loss that it counted,
// or nil if it counted none. A response that was well under way shows that they are sound.
func (c *call) recordPartLoss(server rwbackend.Entry, cause error) *rwpart.Loss {
	if len(c.partKeys) == 0 || c.progress.wellUnderWay() || !c.brokenByServer(cause) {
		return nil
	}
	if c.lostWithPath() {
		return nil
	}
	loss := c.partLoss(server)
	loss.Begun = c.progress.begun() && !errors.Is(cause, errHung) && !errors.Is(cause, errUnreachable)
	c.countPartLoss(server, loss)
	return &loss
}

// pendingPartLoss is a loss that recordPartLoss counted and that is not judged yet.
type pendingPartLoss struct {
	service  string
	at       time.Time
	withdraw func()
}

func (f *Forwarder) addPartLoss(service string, at time.Time, withdraw func()) *pendingPartLoss {
	f.partLossMu.Lock()
	defer f.partLossMu.Unlock()
	if f.partLosses == nil {
		f.partLosses = map[*pendingPartLoss]struct{}{}
	}
	p := &pendingPartLoss{service, at, withdraw}
	f.partLosses[p] = struct{}{}
	return p
}

// takePartLoss removes a pending loss and reports whether it was still there.
func (f *Forwarder) takePartLoss(p *pendingPartLoss) bool {
	f.partLossMu.Lock()
	defer f.partLossMu.Unlock()
	_, ok := f.partLosses[p]
	delete(f.partLosses, p)
	return ok
}

// hasPartLosses reports whether losses of a service's servers are not judged yet.
func (f *Forwarder) hasPartLosses(service string) bool {
	f.partLossMu.Lock()
	defer f.partLossMu.Unlock()
	for p := range f.partLosses {
		if p.service == service {
			return true
		}
	}
	return false
}

// WithdrawLosses withdraws what losses of a service's servers since a time count against parts
// of prompts: they were losses of the path to the servers.
func (f *Forwarder) WithdrawLosses(service string, since time.Time) {
	var withdrawn []func()
	f.partLossMu.Lock()
	for p := range f.partLosses {
		if p.service == service && !p.at.Before(since) {
			withdrawn = append(withdrawn, p.withdraw)
			delete(f.partLosses, p)
		}
	}
	f.partLossMu.Unlock()
	for _, withdraw := range withdrawn {
		withdraw()
	}
}

// lostWithPath reports whether the current attempt used the path to the service that is broken.
func (c *call) lostWithPath() bool {
	return !c.relayed && c.f.Dialer.IsBroken(c.service.Name)
}

// partLoss returns the loss of a server for the parts of the request.
func (c *call) partLoss(server rwbackend.Entry) rwpart.Loss {
	return rwpart.Loss{
		Process: rwpart.NewProcess(server.ID, server.Incarnation), Zone: rwpart.NewZone(server.Zone), Version: rwpart.NewVersion(server.Version),
		Request: rwpart.Request(c.fingerprint), Plain: c.route.Kind != rwroute.KindStream,
	}
}

func (c *call) countPartLoss(server rwbackend.Entry, loss rwpart.Loss) {
	for n := range c.partKeys {
		c.recordLossOfPart(n, server, loss)
	}
	// Others need to know at once: each may send a request with the part to another server.
	c.f.NotifyParts.AnnounceLosses(c.partKeys)
}

// recordLossOfPart records a loss for one part.
func (c *call) recordLossOfPart(n int, server rwbackend.Entry, loss rwpart.Loss) {
	key := c.partKeys[n]
	if !c.f.Parts.RecordLoss(key, loss) {
		return
	}
	c.f.Counters.increment("parts_held")
	c.f.Log.Info("part held", "request", c.info.ID, "part", c.parts[n].label, "key", key.String(), "organisation", c.org.Name, "service", c.service.Name,
		"version", server.Version, "server", server.ID, "losses", len(c.f.Parts.Get(key).Losses))
}

// judgePartLoss publishes a loss that recordPartLoss counted once more, or withdraws it if the
// server did not end or ended in order.
func (c *call) judgePartLoss(server rwbackend.Entry, ended bool, reason lossReason) {
	if ended && reason != lossLeaving {
		c.f.Counters.increment("part_losses_counted")
		if loss := c.partLoss(server); reason == "" && loss.Plain {
			loss.Crashed = true
			c.countPartLoss(server, loss)
			return
		}
		c.f.NotifyParts.AnnounceLosses(c.partKeys)
		return
	}
	c.f.Counters.increment("part_losses_withdrawn")
	withdrawn := c.f.Parts.Withdraw(c.partKeys, rwpart.NewProcess(server.ID, server.Incarnation))
	c.f.NotifyParts.AnnounceFindings(withdrawn)
}

// recordPartProgress records that the parts of the prompt are sound once the response is well
// under way. It is called after each event.
func (c *call) recordPartProgress(server rwbackend.Entry) {
	if !c.progress.sound && c.progress.wellUnderWay() {
		c.recordSoundParts(server)
	}
}

// recordPartCompletion does so for a complete response. One that only the end of its
// connection ends may have been broken off.
func (c *call) recordPartCompletion(server rwbackend.Entry, response *http.Response) {
	delimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !c.progress.sound && c.progress.events > 0 && delimited {
		c.recordSoundParts(server)
	}
}

func (c *call) recordSoundParts(server rwbackend.Entry) {
	c.progress.sound = true
	if len(c.partKeys) == 0 {
		return
	}
	cleared := c.f.Parts.RecordSound(c.partKeys, rwpart.NewVersion(server.Version), c.progress.begunAt)
	if len(cleared) == 0 {
		return
	}
	keys := make([]string, len(cleared))
	for n, finding := range cleared {
		keys[n] = finding.Part.String()
	}
	c.f.Log.Info("parts cleared", "request", c.info.ID, "server", server.ID, "version", server.Version, "keys", keys)
	c.f.NotifyParts.AnnounceFindings(cleared)
}
