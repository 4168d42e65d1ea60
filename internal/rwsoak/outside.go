package rwsoak

import (
	"context"
	"strings"
	"time"

	"ragwortwall/internal/rwcrowd"
	"ragwortwall/internal/rwtime"
	"ragwortwall/platform/standin"
)

// Terms of the clients outside the limits.
const (
	outsideMemory      = 112 // MB, of each instance: the smallest machine
	outsideDescriptors = 400 // of each instance
	outsideConns       = 200 // of a crowd: more than an instance has descriptors for
	outsideInterval    = 500 * time.Millisecond
	outsideStay        = 1500 * time.Millisecond // longest, of a crowd
)

// outsideForms are what crowds send to callers' addresses.
func outsideForms() []rwcrowd.Sender {
	head := func(line string) string {
		return line + " HTTP/1.1\r\nHost: " + standin.Host + "\r\nAuthorization: Bearer " + standin.Key + "\r\nRagwortwall-Request-Id: outside%d\r\n"
	}
	const shortOfEnd = "Content-Length: 10\r\n\r\n123456789"
	return []rwcrowd.Sender{
		rwcrowd.Nothing,
		rwcrowd.Text("POST /drafts/x HTTP/1.1\r\nHo"),
		rwcrowd.Slowly(head("POST /drafts/x")),
		rwcrowd.Text(head("POST /nowhere/x"), shortOfEnd),
		rwcrowd.Text(head("POST /orders/x"), rwcrowd.ShortFields(15<<10), shortOfEnd),
		rwcrowd.Text(head("POST /drafts/x"), "Content-Length: 1000000\r\n\r\n", strings.Repeat("x", 999_999)),
		rwcrowd.Endless(head("POST /nowhere/x")+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
		rwcrowd.Endless("", head("GET /nowhere/x")+"\r\n"),
	}
}

// sendOutside sends crowds outside the limits to one instance after another until ctx ends. What
// an instance closes meanwhile to make room is excused.
func (s *Soak) sendOutside(ctx context.Context) {
	const randomStream = 500
	random, forms := s.newRandom(randomStream), outsideForms()
	for rwtime.Sleep(ctx, outsideInterval) {
		i := s.instances[random.IntN(len(s.instances))]
		form, stay := random.IntN(len(forms)), time.Duration(random.Int64N(int64(outsideStay)))
		interruptionEnd := s.interrupt(i.Name)
		leave := rwcrowd.Join(ctx, i.CallerAddress, outsideConns, forms[form])
		rwtime.Sleep(ctx, stay)
		s.checkOutside(i, form)
		leave()
		interruptionEnd()
	}
}

// checkOutside checks that an instance lives, and has stayed within its memory and descriptors.
func (s *Soak) checkOutside(i *instance, form int) {
	pid := i.pid()
	if pid == 0 {
		return
	}
	peak, err := rwcrowd.PeakMemory(pid)
	descriptors, _ := rwcrowd.OpenDescriptors(pid) // fails if the first does
	switch {
	case i.pid() != pid: // stopped by the soak
	case err != nil:
		s.addViolation("%s ended beside crowd %d: %v", i.Name, form, err)
	case peak >= outsideMemory || descriptors >= outsideDescriptors:
		s.addViolation("%s has used %d MB and %d descriptors beside crowd %d", i.Name, peak, descriptors, form)
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.report.Crowds++
		s.report.PeakMemory, s.report.PeakDescriptors = max(s.report.PeakMemory, peak), max(s.report.PeakDescriptors, descriptors)
	}
}

// limitOutside gives an instance the limits of the smallest machine.
func (s *Soak) limitOutside(i *instance) {
	if s.Outside {
		i.MemoryMB, i.MaxFDs = outsideMemory, outsideDescriptors
	}
}
