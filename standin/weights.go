package standin

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// Limits up to which the weight store serves loads at full speed, and the
// duration of a load.
const (
	maxLoadsPerSecond  = 2
	maxConcurrentLoads = 8
	loadDuration       = 100 * time.Millisecond
)

// WeightStore is a stand-in for the weight store. It counts the loads that
// exceed its limits, so that tests can check for them. It is safe for concurrent
// use.
type WeightStore struct {
	mu           sync.Mutex // guards the fields below
	inFlight     int
	recentStarts []time.Time
	excessLoads  int
}

// NewWeightStore returns a store without loads.
func NewWeightStore() *WeightStore {
	return &WeightStore{}
}

// ExcessLoads returns the number of loads that exceeded the limits.
func (s *WeightStore) ExcessLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.excessLoads
}

// ServeHTTP serves GET /v1/weights/MODEL.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/v1/weights/") {
		http.NotFound(w, r)
		return
	}
	s.beginLoad(time.Now())
	defer s.endLoad()
	time.Sleep(loadDuration)
	w.WriteHeader(http.StatusNoContent)
}

func (s *WeightStore) beginLoad(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	kept := s.recentStarts[:0]
	for _, t := range s.recentStarts {
		if now.Sub(t) < time.Second {
			kept = append(kept, t)
		}
	}
	s.recentStarts = append(kept, now)
	if s.inFlight > maxConcurrentLoads || len(s.recentStarts) > maxLoadsPerSecond {
		s.excessLoads++
	}
}

func (s *WeightStore) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
