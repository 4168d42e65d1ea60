package rwstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"ragwortwall/internal/rwengine"
	"ragwortwall/internal/rwmodel"
	"ragwortwall/internal/rwtoken"
)

// engineStream is one running completion of the engine stand-in.
type engineStream struct {
	version    string
	maxTokens  int
	prompt     []uint32
	prefillEnd time.Time // no token is generated before
	unframed   bool      // see EngineFaults
	cutEvent   bool      // see EngineFaults

	mu           sync.Mutex
	generator    *rwmodel.Generator
	tokens       []rwtoken.Token
	finishReason string
	latestReader int // number of the latest reader; the streams of earlier ones are cut
	hasReader    bool
	readerLeftAt time.Time
	changed      chan struct{} // closed at the next change
}

func newEngineStream(request rwengine.Request, prompt []uint32) *engineStream {
	return &engineStream{
		version:   request.Model,
		maxTokens: request.MaxTokens,
		prompt:    prompt,
		generator: rwmodel.NewGenerator(request.Model, prompt),
		hasReader: true, // serveCompletion attaches one next
		changed:   make(chan struct{}),
	}
}

func (s *engineStream) signalLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// generateToken generates one token and reports whether the stream has ended.
func (s *engineStream) generateToken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.finishReason != "":
		return true
	case len(s.tokens) >= s.maxTokens:
		s.finishReason = "length"
	case s.generator.Ended():
		s.finishReason = "stop"
	default:
		s.tokens = append(s.tokens, s.generator.Next())
		if len(s.tokens) >= s.maxTokens {
			s.finishReason = "length"
		}
	}
	s.signalLocked()
	return s.finishReason != ""
}

// finish ends the stream, with this reason unless it has ended already.
func (s *engineStream) finish(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finishReason == "" {
		s.finishReason = reason
	}
	s.signalLocked()
}

// abandoned reports whether no reader has been attached for longer than
// abandonedStreamTimeout.
func (s *engineStream) abandoned(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.hasReader && now.Sub(s.readerLeftAt) > abandonedStreamTimeout
}

func (s *engineStream) tokenCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)
}

// attach registers a reader, cuts the stream of the earlier one, and returns the
// number of the new reader.
func (s *engineStream) attach() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latestReader++
	s.hasReader = true
	s.signalLocked()
	return s.latestReader
}

// detach records that a reader has left, unless a later one is attached.
func (s *engineStream) detach(reader int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latestReader == reader {
		s.hasReader = false
		s.readerLeftAt = time.Now()
	}
}

// serve writes the tokens from an offset on as server-sent events until the
// stream ends, the reader leaves or a later reader attaches.
func (s *engineStream) serve(w http.ResponseWriter, r *http.Request, offset int) {
	reader := s.attach()
	defer s.detach(reader)
	w.Header().Set("Content-Type", "text/event-stream")
	if s.unframed {
		setUnframed(w)
	}
	flush := http.NewResponseController(w).Flush
	w.WriteHeader(http.StatusOK)
	_ = flush()
	first := true
	for {
		s.mu.Lock()
		tokens, finishReason, latest, changed := s.tokens[offset:], s.finishReason, s.latestReader, s.changed
		s.mu.Unlock()
		if finishReason == "crashed" && s.cutEvent {
			fmt.Fprint(w, `data: {"choices":[{"token_ids":[`)
			_ = flush()
		}
		if latest != reader || finishReason == "crashed" {
			panic(http.ErrAbortHandler)
		}
		if len(tokens) > 0 || finishReason != "" {
			if s.writeChunk(w, offset, tokens, finishReason, first) != nil {
				return
			}
			first = false
			offset += len(tokens)
			_ = flush()
		}
		if finishReason != "" {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// setUnframed makes a response end with its connection, without a length or chunks.
func setUnframed(w http.ResponseWriter) { w.Header().Set("Transfer-Encoding", "identity") }

// writeChunk writes one server-sent event. The first event for a reader also contains the
// token IDs of the prompt.
func (s *engineStream) writeChunk(w http.ResponseWriter, offset int, tokens []rwtoken.Token, finishReason string, first bool) error {
	choice := rwengine.Choice{Finish: finishReason, Logprobs: &rwengine.Logprobs{}}
	for _, t := range tokens {
		choice.TokenIDs = append(choice.TokenIDs, t.ID)
		choice.Logprobs.Content = append(choice.Logprobs.Content, rwengine.Logprob{Bytes: bytesToInts(t.Text)})
	}
	chunk := rwengine.Chunk{Choices: []rwengine.Choice{choice}, Offset: offset}
	if first {
		chunk.Prompt = s.prompt
	}
	body, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", body)
	return err
}

// bytesToInts converts bytes to integers, which are encoded in JSON as an array of numbers
// and not as base64.
func bytesToInts(b []byte) []int {
	numbers := make([]int, len(b))
	for i, n := range b {
		numbers[i] = int(n)
	}
	return numbers
}
