package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["encoded-slash"] = encodedSlash }

// encodedSlash sends bookings for items whose names hold a slash, which is encoded in the path, while two of three
// servers lose the answers of a part of the requests that they have run (answer_lost, share 0.6, x 0.3, 6 s).
func encodedSlash(r *run) bool {
	r.startStore()
	lossFrom, lossTo := time.Now().Add(time.Hour), time.Now().Add(time.Hour)
	serve := func(s *server, w http.ResponseWriter, req *http.Request) {
		time.Sleep(30 * time.Millisecond)
		now := time.Now()
		s.mu.Lock()
		lose := r.trouble && s.id != "i-3" && now.After(lossFrom) && now.Before(lossTo) && rand.Float64() < 0.3
		s.mu.Unlock()
		s.finish(req)
		if lose {
			r.logf("%s has run %s, and its answer is lost", s.id, req.Header.Get(wire("AttemptId")))
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(wire("ResponseSeal"), "seal-"+s.id)
		_, _ = w.Write([]byte("booked"))
	}
	var servers []*server
	for i, zone := range []string{"wien-a", "wien-b", "wien-c"} {
		s := r.prepareServer([]string{"i-1", "i-2", "i-3"}[i], "orderdesk", zone, 6, nil, serve)
		servers = append(servers, s)
	}
	for _, s := range servers {
		s.start()
	}
	r.must(r.put(wire("OperatorTopic"), "config", config(1,
		route("booking", "/stock/", "unsafe", "orderdesk", 1, 150, 1500),
		route("price", "/stock/price/", "safe", "orderdesk", 2, 150, 1500),
	)))
	var gateways []*gateway
	for _, zone := range []string{"wien-a", "wien-b", "wien-c"} {
		gateways = append(gateways, r.startGateway("front-"+zone+"-1", zone))
	}
	for _, g := range gateways {
		r.await("the gateways", g.isReady)
	}
	time.Sleep(4 * time.Second) // ContactMs.
	lossFrom, lossTo = time.Now().Add(3*time.Second), time.Now().Add(9*time.Second)
	var mu sync.Mutex
	var all sync.WaitGroup
	sent, twice := map[string]int{}, map[string]int{}
	paths := []string{"/stock/price%2Fsieve-63um", "/stock/sieve-63um"}
	book := func(g *gateway, path string) {
		c, err := dial(g.front)
		if err != nil {
			r.logf("no connection: %v", err)
			return
		}
		a := c.do(http.MethodPost, path, nil, "reserve 1", 1500*time.Millisecond)
		c.Close()
		time.Sleep(100 * time.Millisecond) // A second run may have just begun.
		var ran []string
		for _, s := range servers {
			for range s.runs(a.id) {
				ran = append(ran, s.id)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		r.logf("booking at %s, %v; it ran at %v", path, a, ran)
		sent[path]++
		if len(ran) > 1 {
			twice[path]++
		}
	}
	r.logf("36 bookings a second over 3 VMs for 10 s; answers are lost for 6 s after 3 s")
	for i := range 10 * 36 {
		all.Go(func() { book(gateways[i%3], paths[i%2]) })
		time.Sleep(time.Second / 36)
	}
	all.Wait()
	for _, path := range paths {
		r.logf("%d of %d bookings at %s, on the unsafe route, ran more than once", twice[path], sent[path], path)
	}
	return len(twice) > 0
}
