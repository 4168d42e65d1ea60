package rwstandin

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceFaults are the switches of the service stand-in.
type ServiceFaults struct {
	Lose  int           `json:"lose"`  // answers lost after the order ran
	Delay time.Duration `json:"delay"` // before the answer, nanoseconds in JSON
}

// Service is a stand-in for an order service. It counts how often each order,
// named by its Idempotency-Key, ran. Set the fields before first use.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	ran    map[string]int
	reads  int
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	s.mu.Lock()
	s.ran = map[string]int{}
	s.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, map[string]int{"running": 0}) })
	mux.HandleFunc("GET /standin/orders", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, s.Orders()) })
	mux.HandleFunc("PUT /standin/faults", s.serveFaults)
	mux.HandleFunc("GET /", s.serveRead)
	mux.HandleFunc("POST /", s.serveOrder)
	return mux
}

// Orders returns how often each order ran.
func (s *Service) Orders() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.ran {
		out[k] = v
	}
	return out
}

// SetFaults sets all switches.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if !decode(w, r, &f) {
		return
	}
	s.SetFaults(f)
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]string{"path": r.URL.Path})
}

func (s *Service) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.ran[key]++
	faults := s.faults
	if s.faults.Lose > 0 {
		s.faults.Lose--
	}
	s.mu.Unlock()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.Lose > 0 {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusCreated, map[string]any{"order": key, "bytes": len(body)})
}
