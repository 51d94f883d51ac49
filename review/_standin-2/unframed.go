package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["unframed-at-crash"] = unframedAtCrash }

// Bodies of price lists: lines of text, of which the last says that the list is complete.
const (
	listLines = 20
	lineTime  = 5 * time.Millisecond
	lastLine  = "end of the price list\n"
)

func priceLine(i int) string { return fmt.Sprintf("sieve %02d um: %d.00 EUR\n", i, 10+i) }

func priceList() string {
	var b strings.Builder
	for i := range listLines {
		b.WriteString(priceLine(i))
	}
	b.WriteString(lastLine)
	return b.String()
}

// serveUnframed is the process of a server that answers without a length and ends its answers with the connection.
// It prints the id of each attempt that it has begun to run, and of each whose answer it has written completely.
func serveUnframed(address, id string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			attempt := req.Header.Get(wire("AttemptId"))
			if expected := req.Header.Get(wire("ExpectInstance")); expected != "" && expected != id {
				fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nToucanfall-Attempt-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
				return
			}
			if req.URL.Path == wire("ReportPath") || req.URL.Path == "/health" {
				fmt.Fprintf(c, "HTTP/1.1 404 Not Found\r\nToucanfall-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
				return
			}
			fmt.Println("begun", attempt)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nToucanfall-Attempt-Id: %s\r\nToucanfall-Response-Seal: seal-%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", attempt, id)
			for i := range listLines {
				fmt.Fprint(c, priceLine(i))
				time.Sleep(lineTime)
			}
			fmt.Fprint(c, lastLine)
			fmt.Println("ended", attempt)
		}()
	}
}

// unframedAtCrash reads price lists whose length is not stated, while one of three servers crashes.
func unframedAtCrash(r *run) bool {
	r.startStore()
	type instance struct {
		id, address string
		p           *process
		alive       bool
	}
	var mu sync.Mutex
	var instances []*instance
	began := time.Now().UnixMilli()
	for i, zone := range []string{"wien-a", "wien-b", "wien-c"} {
		s := &instance{id: fmt.Sprint("i-", i+1), address: r.freeAddress(), alive: true}
		s.p = r.start(s.id, os.Args[0], "serve-unframed", s.address, s.id)
		instances = append(instances, s)
		r.every(1200*time.Millisecond, func() {
			mu.Lock()
			alive := s.alive
			mu.Unlock()
			if !alive {
				return // A server that has crashed sends nothing.
			}
			if err := r.put(wire("ServerTopic"), s.id, object{
				"Service": "orderdesk", "Address": s.address, "Zone": zone, "Version": "v1", "Slots": 6, "State": "ready", wire("Cold"): 0, "Seq": 0, "born": began,
			}); err != nil {
				r.logf("%s: heartbeat: %v", s.id, err)
			}
		})
	}
	r.must(r.put(wire("OperatorTopic"), "config", config(1, route("prices", "/prices/", "safe", "orderdesk", 2, 150, 1500))))
	g := r.startGateway("front-wien-a-1", "wien-a")
	r.await("the gateway", g.isReady)
	time.Sleep(4 * time.Second) // ContactMs.

	want := priceList()
	wrong, sent := 0, 0
	var all sync.WaitGroup
	read := func() {
		c, err := dial(g.front)
		if err != nil {
			r.logf("no connection: %v", err)
			return
		}
		defer c.Close()
		a := c.do(http.MethodGet, "/prices/all", nil, "", 1500*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		sent++
		if a.status == http.StatusOK && a.sealed && a.whole && a.text != want {
			wrong++
			r.logf("the client gets a success that looks complete, with %d of %d bytes, which end with %q: %v", a.bytes, len(want), a.text[max(len(a.text)-24, 0):], a)
		} else if a.status != http.StatusOK || !a.whole {
			r.logf("the client gets no success: %v", a)
		}
	}
	r.logf("20 price lists a second for 6 s")
	for i := range 120 {
		if r.trouble && i == 60 {
			r.logf("SIGKILL to the server i-1")
			instances[0].p.signal(syscall.SIGKILL)
			mu.Lock()
			instances[0].alive = false
			mu.Unlock()
		}
		all.Go(read)
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	for _, s := range instances {
		b, _ := os.ReadFile(r.dir + "/" + s.id + ".log")
		r.logf("%s has begun %d and completed %d answers", s.id, strings.Count(string(b), "begun"), strings.Count(string(b), "ended"))
	}
	r.logf("%d of %d requests got a success that looks complete, with a body that is not the server's whole body", wrong, sent)
	return wrong > 0
}
