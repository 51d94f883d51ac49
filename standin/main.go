package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"toucanfall/dialect"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/internal/cli"
	"toucanfall/internal/httpx"
	"toucanfall/timeline"
)

// timelineSize is the number of events that a stand-in keeps.
const timelineSize = 4096

// options are the command line of toucanfake.
type options struct {
	Name     string        `long:"name" required:"true" description:"name of this process in the time line"`
	Listen   string        `long:"listen" required:"true" value-name:"HOST:PORT" description:"address to serve"`
	Kind     kind          `long:"kind" required:"true" description:"what to stand in for: log, vm_list, weight_store, engine or service"`
	Fenced   bool          `long:"fenced" description:"engine: refuse orders with an old epoch"`
	Capacity int64         `long:"capacity" default:"80000000000" value-name:"BYTES" description:"engine: accelerator memory"`
	Slots    int           `long:"slots" default:"16" description:"engine: requests at once"`
	Token    time.Duration `long:"token-time" default:"5ms" description:"engine: time between two tokens"`
	Load     time.Duration `long:"load-time" default:"200ms" description:"engine: time to load a model"`
	VMs      string        `long:"vms" value-name:"FILE" description:"vm_list: file with the list at the start, in JSON"`
	Resident []string      `long:"resident" value-name:"MODEL" description:"engine: model that is resident from the start; may be repeated"`
}

// kind is what a stand-in stands in for.
type kind string

// The kinds of stand-ins.
const (
	kindLog         kind = "log"
	kindVMList      kind = "vm_list"
	kindWeightStore kind = "weight_store"
	kindEngine      kind = "engine"
	kindService     kind = "service"
)

// UnmarshalFlag reads and checks a kind from the command line.
func (k *kind) UnmarshalFlag(value string) error {
	*k = kind(value)
	switch *k {
	case kindLog, kindVMList, kindWeightStore, kindEngine, kindService:
		return nil
	default:
		return fmt.Errorf("unknown kind %q", value)
	}
}

// Main runs toucanfake with the given arguments and returns its exit code.
func Main(args []string, stderr io.Writer) int {
	var opts options
	if code, ok := cli.Parse(&opts, args, stderr); !ok {
		return code
	}
	if err := serve(opts, stderr); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return cli.ExitFailure
	}
	return cli.ExitOK
}

func serve(opts options, stderr io.Writer) error {
	rec := timeline.New(opts.Name, timelineSize, cli.NewLogger(stderr, logrus.InfoLevel.String()))
	h, err := newHandler(opts, rec)
	if err != nil {
		return err
	}
	s := httpx.NewServer(withTimeline(rec, NewFaults(h)))
	s.Addr = opts.Listen

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	rec.Record(event.FakeStarted, timeline.Fields{"kind": string(opts.Kind), "address": opts.Listen})
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func newHandler(opts options, rec *timeline.Recorder) (http.Handler, error) {
	switch opts.Kind {
	case kindLog:
		return NewLog(), nil
	case kindVMList:
		return readVMList(opts.VMs)
	case kindWeightStore:
		return NewWeightStore(), nil
	case kindService:
		return NewService(rec), nil
	default:
		return newEngine(opts, rec), nil
	}
}

// readVMList returns a list with the VMs of a file; an empty name means none.
func readVMList(file string) (*VMList, error) {
	if file == "" {
		return NewVMList(), nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("cannot read the VM list: %w", err)
	}
	var list dialect.VMListResponse
	if err := json.Unmarshal(b, &list); err != nil {
		return nil, fmt.Errorf("VM list %s: %w", file, err)
	}
	return NewVMList(list.VMs...), nil
}

func newEngine(opts options, rec *timeline.Recorder) *Engine {
	e := NewEngine(EngineConfig{
		Capacity:  fleet.Bytes(opts.Capacity),
		Slots:     opts.Slots,
		TokenTime: opts.Token,
		LoadTime:  opts.Load,
		Fenced:    opts.Fenced,
	}, rec)
	for _, m := range opts.Resident {
		e.resident[fleet.ModelID(m)] = &dialect.ResidentModel{Model: fleet.ModelID(m), Version: "v1", Size: 1, Ready: true}
	}
	return e
}

// withTimeline serves the events of the process at /timeline.
func withTimeline(rec *timeline.Recorder, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A stamp that cannot be read orders nothing; the request is served.
		_ = rec.Observe(r.Header.Get(timeline.HeaderClock))
		if r.URL.Path != "/timeline" {
			next.ServeHTTP(w, r)
			return
		}
		q := r.URL.Query()
		f := timeline.Filter{Name: q.Get("name"), Field: q.Get("field"), Value: q.Get("value")}
		answer(w, http.StatusOK, rec.Entries(f))
	})
}
