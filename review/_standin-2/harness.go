package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// run is one run of a case: its processes, its record and its clock.
type run struct {
	// trouble is false if TROUBLE=0 is set: the case then runs without its disruption.
	trouble bool
	dir     string
	store   string
	began   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
	stops  []func()
}

// process is a process that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// failure ends a case that cannot run.
type failure struct{ err error }

func (r *run) must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

// logf writes a line to record.txt, with the seconds since the start.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddress returns a loopback address whose port is free.
func (r *run) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	defer l.Close()
	return l.Addr().String()
}

// start starts a program of the project.
func (r *run) start(name string, args ...string) *process {
	out, err := os.Create(filepath.Join(r.dir, name+".log"))
	r.must(err)
	defer out.Close()
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	r.must(cmd.Start())
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		r.logf("process %s has ended: %v", name, err)
		close(p.done)
	}()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	return p
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// close ends all that the case started.
func (r *run) close() {
	for _, stop := range r.stops {
		stop()
	}
	for _, p := range r.procs {
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	_ = os.RemoveAll(r.dir)
}

// startStore starts the project's stand-in of the platform's store.
func (r *run) startStore() {
	r.store = r.freeAddress()
	r.start("store", "target/toucanplatform", "store", "--listen", r.store)
	r.await("the store", func() bool {
		c, err := net.DialTimeout("tcp", r.store, time.Second)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
}

// await waits until ok returns true.
func (r *run) await(what string, ok func() bool) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	r.must(fmt.Errorf("waited in vain for %s", what))
}

// put writes a record to the store, as operators and engines do.
func (r *run) put(topic, key string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+r.store+"/put/"+topic+"/"+key, bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d", resp.StatusCode)
	}
	return nil
}

// gateway is a process of the system on an entry VM.
type gateway struct {
	*process
	front, ready string
}

// startGateway starts a gateway with the settings of a VM of siebwerk-hq.
func (r *run) startGateway(vm, zone string) *gateway {
	g := &gateway{front: r.freeAddress(), ready: r.freeAddress()}
	settings := map[string]any{
		"vm": vm, "data_centre": zone, "regions": map[string]string{"wien-a": "at-east", "wien-b": "at-east", "wien-c": "at-east"},
		"callers": g.front, "ready": g.ready, "peers": r.freeAddress(), "metrics": r.freeAddress(),
		"store": r.store, "store_partitions": 8,
		"revoke_within": "5000ms", "config_within": "2000ms", "drain_within": "2000ms", "stop_within": "8s", "lease": "3000ms", "fenced": true,
		"repeat_ratio": 0.2, "repeat_slack": 54, "repeat_window": "10s", "memory_mb": 284, "descriptors": 4100,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"},
		"log_level": "info",
	}
	b, err := json.MarshalIndent(settings, "", " ")
	r.must(err)
	file := filepath.Join(r.dir, vm+".json")
	r.must(os.WriteFile(file, b, 0o644))
	g.process = r.start(vm, "target/toucanfall", "gateway", "--settings", file)
	return g
}

// isReady asks a gateway whether it is ready, as the platform does.
func (g *gateway) isReady() bool {
	c := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.ready + wire("ReadyPath"))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// every calls f at once and then at each interval until the case ends.
func (r *run) every(d time.Duration, f func()) {
	end := make(chan struct{})
	r.stops = append(r.stops, sync.OnceFunc(func() { close(end) }))
	f()
	go func() {
		for {
			select {
			case <-end:
				return
			case <-time.After(d):
				f()
			}
		}
	}()
}

// play plays a case and returns its exit code.
func play(name string, f func(*run) bool) (code int) {
	r := &run{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if r.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.record.Close()
	if r.dir, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	defer func() {
		switch v := recover().(type) {
		case nil:
		case failure:
			r.logf("the case cannot run: %v", v.err)
			fmt.Fprintln(os.Stderr, v.err)
			code = exitNotRun
		default:
			panic(v)
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		r.close()
		os.Exit(exitNotRun)
	}()
	r.logf("case %s, trouble %v", name, r.trouble)
	if f(r) {
		r.logf("RESULT: the rule was broken")
		return exitBroken
	}
	r.logf("RESULT: the rule held")
	return exitHeld
}

var cases = map[string]func(*run) bool{}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "serve-unframed" {
		serveUnframed(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], cases[os.Args[1]]))
}
