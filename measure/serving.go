package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"toucanfall/daemon"
	"toucanfall/dialect"
	"toucanfall/fleet"
	"toucanfall/internal/ports"
	"toucanfall/ledger"
	"toucanfall/settings"
	"toucanfall/standin"
	"toucanfall/timeline"
)

// ServingCost measures the latency, CPU time and memory that a VM adds to requests,
// compared with direct calls to the same stand-in engine.
var ServingCost = Table{
	Name: "serving_cost",
	Goal: "p99 added under 1 ms, 100,000 streamed tokens a second per core, under 40 KB per open stream",
	Seed: 6,
	Run:  runServingCost,
}

// Parameters of the measurement.
const (
	costRequests     = 1000
	costCallers      = 4
	costStreams      = 1000
	costStreamTokens = 1000
	costTokenTime    = 45 * time.Millisecond
	costStreamWindow = 2 * time.Second
	costKey          = fleet.Secret("sk-measure-0123456789")
	costTimeout      = 10 * time.Second
	// An engine has memory for one model only, so that the planner adds no copies.
	costCapacity  = 100
	costModelSize = 60
)

// bench runs a VM and stand-in engines in this process, connected over loopback.
type bench struct {
	// engines contains the address of the engine of each model.
	engines map[fleet.ModelID]string
	// callerAddress is the address at which the VM serves callers.
	callerAddress string
	client        *http.Client
	// cleanups are called by close in reverse order.
	cleanups []func()
}

// newBench starts the stand-ins and a VM, and waits until the VM serves requests. It must
// be closed.
func newBench() (*bench, error) {
	logger := newDiscardLogger()
	logger.SetLevel(logrus.ErrorLevel)
	rec := timeline.New("measure", 1, logger)
	b := &bench{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * costStreams, DisableCompression: true}}}
	fast := standin.NewEngine(standin.EngineConfig{Capacity: costCapacity, Slots: 2 * costStreams, TokenTime: 0}, rec)
	slow := standin.NewEngine(standin.EngineConfig{Capacity: costCapacity, Slots: 2 * costStreams, TokenTime: costTokenTime}, rec)
	for _, e := range []*standin.Engine{fast, slow} {
		if err := e.Order(dialect.Order{Kind: dialect.OrderLoadModel, Model: modelName(e == slow), Version: "v1", Size: costModelSize}); err != nil {
			return nil, err
		}
	}
	log := standin.NewLog()
	addresses := make([]string, 0, 3)
	for _, h := range []http.Handler{log, fast, slow} {
		address, err := b.listen(h)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	b.engines = map[fleet.ModelID]string{"fast": addresses[1], "slow": addresses[2]}
	list := standin.NewVMList(
		fleet.VM{ID: "fast", Role: fleet.RoleModelEngine, DataCentre: "at-1", Address: addresses[1], State: fleet.VMLive},
		fleet.VM{ID: "slow", Role: fleet.RoleModelEngine, DataCentre: "at-1", Address: addresses[2], State: fleet.VMLive},
	)
	vmList, err := b.listen(list)
	if err != nil {
		return nil, err
	}
	return b, b.start(log, addresses, vmList, logger)
}

func modelName(slow bool) fleet.ModelID {
	if slow {
		return "slow"
	}
	return "fast"
}

// listen serves h on a free port and returns its address.
func (b *bench) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: costTimeout}
	go func() { _ = s.Serve(l) }()
	b.cleanups = append(b.cleanups, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// start writes the configuration to the log and starts the VM.
func (b *bench) start(log *standin.Log, addresses []string, vmList string, logger *logrus.Logger) error {
	if err := costConfig(log); err != nil {
		return err
	}
	var listenAddresses [3]string
	for i := range listenAddresses {
		var err error
		if listenAddresses[i], err = ports.FreeAddress("127.0.0.1"); err != nil {
			return err
		}
	}
	cfg, err := settings.DecodeProcess("measure", fmt.Appendf(nil,
		`{"vm":"v1","data_centre":"at-1","data_centres":["at-1"],"callers":{"address":%q},"operators":{"address":%q},"peers":{"address":%q},`+
			`"platform":{"log":"http://%s","vm_list":"http://%s","weight_store":"http://%s"},"first_operator":"%x","stop_after":"0s","log_level":"error"}`,
		listenAddresses[0], listenAddresses[1], listenAddresses[2], addresses[0], vmList, vmList, costKey.Hash()))
	if err != nil {
		return err
	}
	d, err := daemon.New(cfg, daemon.NewTCP(), logger)
	if err != nil {
		return err
	}
	b.callerAddress = listenAddresses[0]
	signals := make(chan os.Signal, 2)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = d.Run(signals)
	}()
	b.cleanups = append(b.cleanups, func() {
		signals <- syscall.SIGTERM
		signals <- syscall.SIGTERM
		<-stopped
	})
	return b.awaitReady()
}

// costConfig appends the configuration of the measurement to the log.
func costConfig(log *standin.Log) error {
	number := func(n string) settings.Value { return settings.Value{RawMessage: json.RawMessage(n)} }
	for _, r := range []struct {
		kind ledger.Kind
		body any
	}{
		{ledger.KindTeam, fleet.Team{ID: "quotes"}},
		{ledger.KindKey, fleet.Key{ID: "k1", Team: "quotes", Hash: costKey.Hash()}},
		{ledger.KindModel, fleet.Model{ID: "fast", Version: "v1", Size: costModelSize}},
		{ledger.KindModel, fleet.Model{ID: "slow", Version: "v1", Size: costModelSize}},
		{ledger.KindRoute, fleet.Route{ID: "fast", Kind: fleet.RouteDraft, Model: "fast", Teams: []fleet.TeamID{"quotes"}}},
		{ledger.KindRoute, fleet.Route{ID: "slow", Kind: fleet.RouteDraft, Model: "slow", Teams: []fleet.TeamID{"quotes"}}},
		{ledger.KindSetting, settings.Put{Path: settings.Path{Level: "fleet", Name: settings.RateTokensPerSecond}, Value: number("1e9")}},
		{ledger.KindSetting, settings.Put{Path: settings.Path{Level: "fleet", Name: settings.BurstTokens}, Value: number("1e9")}},
		{ledger.KindSetting, settings.Put{Path: settings.Path{Level: "fleet", Name: settings.MaxTokens}, Value: number("100000")}},
		{ledger.KindSetting, settings.Put{Path: settings.Path{Level: "fleet", Name: settings.QueueSlots}, Value: number("10000")}},
	} {
		record, err := ledger.NewRecord(r.kind, "measure", timeline.Stamp{}, 0, r.body)
		if err != nil {
			return err
		}
		data, err := record.Encode()
		if err != nil {
			return err
		}
		if _, err := log.Append(context.Background(), [][]byte{data}); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the VM serves requests for both models. It fails after
// costTimeout.
func (b *bench) awaitReady() error {
	var err error
	for end := time.Now().Add(costTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err = b.requestToken(true, "fast"); err != nil {
			continue
		}
		if err = b.requestToken(true, "slow"); err == nil {
			return nil
		}
	}
	return fmt.Errorf("the VM did not become ready: %w", err)
}

func (b *bench) close() {
	for i := len(b.cleanups) - 1; i >= 0; i-- {
		b.cleanups[i]()
	}
}

// openStream sends a completion request with a streamed response, through the VM or
// directly to the engine. The response body must be closed.
func (b *bench) openStream(ctx context.Context, viaVM bool, model fleet.ModelID, tokens int) (*http.Response, error) {
	address := b.engines[model]
	if viaVM {
		address = b.callerAddress
	}
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, model, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+string(costKey))
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return resp, nil
}

// requestToken sends a request for one token and reads its response.
func (b *bench) requestToken(viaVM bool, model fleet.ModelID) error {
	resp, err := b.openStream(context.Background(), viaVM, model, 1)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	// Getrusage fails only for invalid arguments.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// requestCost is the cost of requests for one token.
type requestCost struct {
	// latency is in microseconds.
	latency *hdrhistogram.Histogram
	cpu     time.Duration
}

// measureRequests sends costRequests requests from costCallers concurrent callers, and
// returns the error of a failed one.
func (b *bench) measureRequests(viaVM bool) (requestCost, error) {
	c := requestCost{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	var mu sync.Mutex
	var lastErr error
	var wg sync.WaitGroup
	begin := cpuTime()
	for range costCallers {
		wg.Go(func() {
			for range costRequests / costCallers {
				sent := time.Now()
				err := b.requestToken(viaVM, "fast")
				took := time.Since(sent)
				mu.Lock()
				if err != nil {
					lastErr = err
				}
				// RecordValue fails only for more than the histogram's
				// maximum of a minute.
				_ = c.latency.RecordValue(took.Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	c.cpu = cpuTime() - begin
	return c, lastErr
}

// streamCost is the cost of costStreams open streams.
type streamCost struct {
	// tokens and cpu are the tokens received and the CPU time used within
	// costStreamWindow.
	tokens int64
	cpu    time.Duration
	// memory is the increase of memory in use, in bytes.
	memory int64
}

// measureStreams opens costStreams streams, measures them for costStreamWindow, and then
// calls whileOpen before it closes them.
func (b *bench) measureStreams(viaVM bool, whileOpen func() error) (streamCost, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := memoryInUse()
	var tokens atomic.Int64
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	opened := make(chan error, costStreams)
	for range costStreams {
		wg.Go(func() {
			resp, err := b.openStream(ctx, viaVM, "slow", costStreamTokens)
			opened <- err
			if err != nil {
				return
			}
			defer resp.Body.Close()
			countEvents(resp.Body, &tokens)
		})
	}
	for range costStreams {
		if err := <-opened; err != nil {
			return streamCost{}, err
		}
	}
	c := streamCost{memory: memoryInUse() - before}
	cpuBefore, tokensBefore := cpuTime(), tokens.Load()
	time.Sleep(costStreamWindow)
	c.cpu, c.tokens = cpuTime()-cpuBefore, tokens.Load()-tokensBefore
	return c, whileOpen()
}

// countEvents adds the number of events of a stream to tokens until the stream ends.
func countEvents(r io.Reader, tokens *atomic.Int64) {
	lines := bufio.NewReaderSize(r, 1024)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > 1 {
			tokens.Add(1)
		}
	}
}

// memoryInUse returns the bytes that heap and stacks use after a garbage collection.
func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
