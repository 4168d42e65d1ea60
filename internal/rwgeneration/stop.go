package rwgeneration

import (
	"bytes"

	"ragwortwall/internal/rwtoken"
)

// stopMatcher holds back tokens whose text may be the beginning of a stop sequence.
// They are not written to the journal, so that a continuation on another server never
// starts within a stop sequence.
type stopMatcher struct {
	stops   [][]byte
	pending []rwtoken.Token
	text    []byte // text of the pending tokens
}

func newStopMatcher(stops []string) *stopMatcher {
	m := &stopMatcher{}
	for _, s := range stops {
		if s != "" {
			m.stops = append(m.stops, []byte(s))
		}
	}
	return m
}

// push adds a token. It returns the tokens that are safe to deliver, and whether a
// stop sequence was found. Text from the stop sequence on is removed.
func (m *stopMatcher) push(t rwtoken.Token) ([]rwtoken.Token, bool) {
	if len(m.stops) == 0 {
		return []rwtoken.Token{t}, false
	}
	m.pending = append(m.pending, t)
	m.text = append(m.text, t.Text...)
	if at := m.find(); at >= 0 {
		return m.cut(at), true
	}
	return m.release(len(m.text) - m.partialMatch()), false
}

// flush returns all tokens held back, for a generation that ended without a stop
// sequence.
func (m *stopMatcher) flush() []rwtoken.Token { return m.release(len(m.text)) }

// find returns the start of the stop sequence that ends first, or -1. Of several that
// end at the same place it takes the longest. This makes the result independent of
// how the text is split into tokens.
func (m *stopMatcher) find() int {
	best, bestEnd := -1, 0
	for _, s := range m.stops {
		at := bytes.Index(m.text, s)
		end := at + len(s)
		if at >= 0 && (best < 0 || end < bestEnd || end == bestEnd && at < best) {
			best, bestEnd = at, end
		}
	}
	return best
}

// partialMatch returns the length of the longest suffix of the text that is a proper
// prefix of a stop sequence.
func (m *stopMatcher) partialMatch() int {
	longest := 0
	for _, s := range m.stops {
		for n := min(len(s)-1, len(m.text)); n > longest; n-- {
			if bytes.HasSuffix(m.text, s[:n]) {
				longest = n
			}
		}
	}
	return longest
}

// release removes and returns the tokens that end within the first size bytes.
func (m *stopMatcher) release(size int) []rwtoken.Token {
	n, end := 0, 0
	for n < len(m.pending) && end+len(m.pending[n].Text) <= size {
		end += len(m.pending[n].Text)
		n++
	}
	ready := m.pending[:n:n]
	m.pending = m.pending[n:]
	m.text = m.text[end:]
	return ready
}

// cut returns the tokens before position at of the text, the last one truncated.
func (m *stopMatcher) cut(at int) []rwtoken.Token {
	ready := m.release(at)
	at -= textLength(ready)
	if at > 0 && len(m.pending) > 0 {
		last := m.pending[0]
		last.Text = last.Text[:at:at]
		ready = append(ready, last)
	}
	return ready
}

func textLength(tokens []rwtoken.Token) int {
	n := 0
	for _, t := range tokens {
		n += len(t.Text)
	}
	return n
}
