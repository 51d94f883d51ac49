package standin

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// The weight store's limits at full speed.
const (
	weightLoadsPerSecond = 2
	weightLoadsAtOnce    = 8
	weightLoadTime       = 100 * time.Millisecond
)

// WeightStore is a stand-in for the weight store. It counts the loads that were
// above its limits, so that a test can tell.
type WeightStore struct {
	mu     sync.Mutex
	atOnce int
	recent []time.Time
	excess int
}

// NewWeightStore returns a store without loads.
func NewWeightStore() *WeightStore {
	return &WeightStore{}
}

// Excess counts the loads that came above the limits.
func (s *WeightStore) ExcessLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.excess
}

// ServeHTTP serves GET /v1/weights/MODEL.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/v1/weights/") {
		http.NotFound(w, r)
		return
	}
	s.begin(time.Now())
	defer s.end()
	time.Sleep(weightLoadTime)
	w.WriteHeader(http.StatusNoContent)
}

func (s *WeightStore) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.atOnce++
	kept := s.recent[:0]
	for _, t := range s.recent {
		if now.Sub(t) < time.Second {
			kept = append(kept, t)
		}
	}
	s.recent = append(kept, now)
	if s.atOnce > weightLoadsAtOnce || len(s.recent) > weightLoadsPerSecond {
		s.excess++
	}
}

func (s *WeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.atOnce--
}
