package rwforward

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"ragwortwall/internal/rwpart"
	"ragwortwall/internal/rwroute"
)

// responseProgress is how far the response of one attempt has come.
type responseProgress struct {
	begunAt time.Time // when the status and headers arrived; zero before
	events  int       // complete events received from this server
	sound   bool      // the parts of the prompt were recorded as sound
}

func (p responseProgress) begun() bool { return !p.begunAt.IsZero() }

// String returns the progress for log lines.
func (p responseProgress) String() string {
	if !p.begun() {
		return "no response"
	}
	return "response begun " + time.Since(p.begunAt).Round(time.Millisecond).String() + " ago, " + strconv.Itoa(p.events) + " events"
}

// Bounds on the parts of a prompt that a log line names.
const (
	maxLoggedParts   = 8
	maxLoggedPartLen = 32 // bytes of an id; longer ones are cut
)

// partNames returns the ids of the shared parts of the prompt for log lines. If there are
// many, it leaves out those in the middle. Traits have no names.
func (c *call) partNames() string {
	parts := c.info.SharedParts
	if len(parts) > maxLoggedParts {
		const half = maxLoggedParts / 2
		parts = slices.Concat(parts[:half], []string{"..."}, parts[len(parts)-half:])
	}
	names := make([]string, len(parts))
	for n, part := range parts {
		names[n] = shortPartName(part)
	}
	return strings.Join(names, " ")
}

func shortPartName(part string) string { return part[:min(len(part), maxLoggedPartLen)] }

// maxSharedParts bounds the parts that are kept of one request. It is several times what
// callers send.
const maxSharedParts = 256

// BoundParts returns the parts of a prompt that are kept: all of them, or the first and the
// last ones if there are more than maxSharedParts.
func BoundParts(parts []string) []string {
	if len(parts) <= maxSharedParts {
		return parts
	}
	const half = maxSharedParts / 2
	return slices.Concat(parts[:half], parts[len(parts)-half:])
}

// sharedPart is something that different requests may have in common: a part of their
// prompts, or a trait.
type sharedPart struct {
	key   rwpart.Key
	label string // for log lines
}

// sharedParts returns what the request may have in common with others that crash servers:
// the shared parts of the prompt and, unless it is a stream, its traits.
func (c *call) sharedParts() []sharedPart {
	var parts []sharedPart
	for _, part := range c.info.SharedParts {
		parts = append(parts, sharedPart{rwpart.NewKey(c.org.Name, c.service.Name, part), shortPartName(part)})
	}
	if c.route.Kind == rwroute.KindStream {
		return parts
	}
	path, query, _ := strings.Cut(c.requestTarget(), "?")
	target := rwpart.Target{
		Organisation: c.org.Name, Service: c.service.Name, Method: c.r.Method, Host: c.r.Host,
		Prefix: c.route.Prefix, Path: path, Query: query, Body: c.body,
	}
	for _, trait := range target.Traits() {
		parts = append(parts, sharedPart{trait.Key, trait.Label})
	}
	return parts
}
