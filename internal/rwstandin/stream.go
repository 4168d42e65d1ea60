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
	version string
	limit   int
	prompt  []uint32
	ready   time.Time // when the prompt has been read

	mu       sync.Mutex
	chain    *rwmodel.Chain
	tokens   []rwtoken.Token
	finish   string
	reader   int // number of the latest reader; older ones are cut
	reading  bool
	leftAt   time.Time
	progress chan struct{}
}

func newEngineStream(request rwengine.Request, prompt []uint32) *engineStream {
	return &engineStream{
		version:  request.Model,
		limit:    request.MaxTokens,
		prompt:   prompt,
		chain:    rwmodel.NewChain(request.Model, prompt),
		reading:  true,
		progress: make(chan struct{}),
	}
}

func (s *engineStream) signalLocked() {
	close(s.progress)
	s.progress = make(chan struct{})
}

// decode generates one token and reports whether the stream has ended.
func (s *engineStream) decode() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.finish != "":
		return true
	case len(s.tokens) >= s.limit:
		s.finish = "length"
	case s.chain.Ended():
		s.finish = "stop"
	default:
		s.tokens = append(s.tokens, s.chain.Next())
		if len(s.tokens) >= s.limit {
			s.finish = "length"
		}
	}
	s.signalLocked()
	return s.finish != ""
}

func (s *engineStream) end(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finish == "" {
		s.finish = reason
	}
	s.signalLocked()
}

func (s *engineStream) abandoned(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.reading && now.Sub(s.leftAt) > streamHold
}

func (s *engineStream) length() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)
}

// attach makes the caller the only reader and cuts an earlier one.
func (s *engineStream) attach() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader++
	s.reading = true
	s.signalLocked()
	return s.reader
}

func (s *engineStream) detach(reader int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader == reader {
		s.reading = false
		s.leftAt = time.Now()
	}
}

func (s *engineStream) serve(w http.ResponseWriter, r *http.Request, offset int) {
	reader := s.attach()
	defer s.detach(reader)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	w.WriteHeader(http.StatusOK)
	_ = flush()
	first := true
	for {
		s.mu.Lock()
		tokens, finish, current, progress := s.tokens[offset:], s.finish, s.reader, s.progress
		s.mu.Unlock()
		if current != reader || finish == "crashed" {
			panic(http.ErrAbortHandler)
		}
		if len(tokens) > 0 || finish != "" {
			if s.writeChunk(w, offset, tokens, finish, first) != nil {
				return
			}
			first = false
			offset += len(tokens)
			_ = flush()
		}
		if finish != "" {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		select {
		case <-progress:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *engineStream) writeChunk(w http.ResponseWriter, offset int, tokens []rwtoken.Token, finish string, first bool) error {
	choice := rwengine.Choice{Finish: finish, Logprobs: &rwengine.Logprobs{}}
	for _, t := range tokens {
		choice.TokenIDs = append(choice.TokenIDs, t.ID)
		choice.Logprobs.Content = append(choice.Logprobs.Content, rwengine.Logprob{Bytes: widen(t.Text)})
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

func widen(b []byte) []int {
	numbers := make([]int, len(b))
	for i, n := range b {
		numbers[i] = int(n)
	}
	return numbers
}
