package main

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in of an engine of the platform. It registers in the store and serves one request at a
// time on a connection.
type server struct {
	r                          *run
	id, service, zone, address string
	models                     []string
	slots                      int
	born                       int64
	http                       *http.Server
	// serve runs a request that names this server.
	serve func(*server, http.ResponseWriter, *http.Request)

	mu      sync.Mutex
	running int
	// ran holds how often each attempt has run here, ended those that ran to a good end.
	ran   map[string]int
	ended map[string]bool
}

// prepareServer returns a server that does not listen yet.
func (r *run) prepareServer(id, service, zone string, slots int, models []string, serve func(*server, http.ResponseWriter, *http.Request)) *server {
	return &server{r: r, id: id, service: service, zone: zone, slots: slots, models: models, serve: serve, born: time.Now().UnixMilli(), ran: make(map[string]int), ended: make(map[string]bool)}
}

// start begins to listen, and writes the server's entry at each heartbeat.
func (s *server) start() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.r.must(err)
	s.address = l.Addr().String()
	s.http = &http.Server{Handler: s, IdleTimeout: 20 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go s.http.Serve(l)
	s.r.stops = append(s.r.stops, func() { s.http.Close() })
	s.r.every(1200*time.Millisecond, func() {
		if err := s.r.put(wire("ServerTopic"), s.id, s.entry()); err != nil {
			s.r.logf("%s: heartbeat: %v", s.id, err)
		}
	})
}

type holding struct {
	Name     string
	Version  int
	Adapters []string
}

func (s *server) holdings() []holding {
	out := []holding{}
	for _, m := range s.models {
		out = append(out, holding{m, 1, []string{}})
	}
	return out
}

func (s *server) entry() map[string]any {
	return map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": s.slots, "State": "ready",
		wire("Cold"): 0, "Stage": "unified", "Models": s.holdings(), "Seq": 0, "born": s.born,
	}
}

func (s *server) load() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set(wire("InstanceId"), s.id)
		return
	case wire("ReportPath"):
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"Stage":"unified","Models":%s,"Busy":false,"Seq":0,"Queued":0,"Active":%d,"KvUsed":0,"KvTotal":111713,"Handles":0,"born":%d}`, jsonOf(s.holdings()), s.load(), s.born)
		return
	}
	id := r.Header.Get(wire("AttemptId"))
	w.Header().Set(wire("AttemptId"), id)
	if expected := r.Header.Get(wire("ExpectInstance")); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		w.Header().Set(wire("NotExecuted"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.ran[id]++
	running := s.running
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	w.Header().Set(wire("InstanceLoad"), fmt.Sprintf("%d,0,%d", running, s.slots))
	s.serve(s, w, r)
}

// finish records that a run has come to a good end.
func (s *server) finish(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[r.Header.Get(wire("AttemptId"))] = true
}

// runs returns how often an attempt has run here.
func (s *server) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}
