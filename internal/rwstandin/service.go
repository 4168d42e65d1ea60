package rwstandin

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceFaults are the fault switches of the service stand-in.
type ServiceFaults struct {
	LostResponses int           `json:"lose"`     // number of next orders that run but get no response
	Delay         time.Duration `json:"delay"`    // between running a call and its response, nanoseconds in JSON
	Unframed      bool          `json:"unframed"` // responses have neither a length nor chunks and end with their connection
}

// Service is a stand-in for an order service. It counts how many times each
// order, identified by its Idempotency-Key, ran. Call Handler before use.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	runs   map[string]int // number of runs by Idempotency-Key
	reads  int
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	s.mu.Lock()
	s.runs = map[string]int{}
	s.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]int{"running": 0})
	})
	mux.HandleFunc("GET /standin/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Orders()) })
	mux.HandleFunc("PUT /standin/faults", s.serveFaults)
	mux.HandleFunc("GET /", s.serveRead)
	mux.HandleFunc("POST /", s.serveOrder)
	return mux
}

// Orders returns how many times each order ran, by Idempotency-Key.
func (s *Service) Orders() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// SetFaults replaces all fault switches.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if !readJSON(w, r, &f) {
		return
	}
	s.SetFaults(f)
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.reads++
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Unframed {
		setUnframed(w)
	}
	writeJSON(w, http.StatusOK, map[string]string{"path": r.URL.Path})
}

func (s *Service) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.runs[key]++
	faults := s.faults
	if s.faults.LostResponses > 0 {
		s.faults.LostResponses--
	}
	s.mu.Unlock()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.LostResponses > 0 {
		panic(http.ErrAbortHandler)
	}
	if faults.Unframed {
		setUnframed(w)
	}
	writeJSON(w, http.StatusCreated, map[string]any{"order": key, "bytes": len(body)})
}
