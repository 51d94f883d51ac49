package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"toucanfall/dialect"
	"toucanfall/event"
	"toucanfall/timeline"
)

// Service is a stand-in for a plain order service. POST /reservations books one
// item and is not idempotent; GET /prices reads the catalogue. It is safe for
// concurrent use.
type Service struct {
	rec *timeline.Recorder

	mu       sync.Mutex // guards the fields below
	bookings []Reservation
	headers  []http.Header
	running  int
	leaving  bool
}

// Reservation is one executed booking.
type Reservation struct {
	Number  int    `json:"number"`
	Item    string `json:"item"`
	Request string `json:"request"`
}

// NewService returns a service without bookings.
func NewService(rec *timeline.Recorder) *Service {
	return &Service{rec: rec}
}

// Bookings returns all executed bookings in order.
func (s *Service) Bookings() []Reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Reservation(nil), s.bookings...)
}

// Headers returns the headers of all requests but those for reports, in order.
func (s *Service) Headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.headers...)
}

// ServeHTTP serves reservations, bookings, prices and load reports.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/report" {
		s.beginRequest(r)
		defer s.endRequest()
	}
	id := r.Header.Get(dialect.HeaderRequestID)
	s.rec.Record(event.FakeServed, timeline.Fields{"request": id, "path": r.URL.Path})
	w.Header().Set(dialect.HeaderRequestID, id)
	switch r.URL.Path {
	case "/reservations":
		s.serveReservation(w, r, id)
	case "/bookings":
		writeJSON(w, http.StatusOK, s.Bookings())
	case "/prices":
		writeJSON(w, http.StatusOK, map[string]string{"sieve-40": "19.90"})
	case "/report":
		writeJSON(w, http.StatusOK, s.report())
	default:
		http.NotFound(w, r)
	}
}

func (s *Service) beginRequest(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headers = append(s.headers, r.Header.Clone())
	s.running++
}

func (s *Service) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// SetLeaving makes the service's reports announce that it is leaving.
func (s *Service) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *Service) report() dialect.ServiceReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return dialect.ServiceReport{Running: s.running, Leaving: s.leaving}
}

func (s *Service) serveReservation(w http.ResponseWriter, r *http.Request, id string) {
	var in struct {
		Item string `json:"item"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, fmt.Sprintf("cannot decode the reservation: %v", err), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	reservation := Reservation{Number: len(s.bookings) + 1, Item: in.Item, Request: id}
	s.bookings = append(s.bookings, reservation)
	s.mu.Unlock()
	writeJSON(w, http.StatusCreated, reservation)
}
