package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/platform"
	"toucanfall/settings"
	"toucanfall/standin"
	"toucanfall/timeline"
)

// Sizes and times of the run.
const (
	inForceVMs     = 7
	inForceChanges = 200
	inForceCut     = 3 * time.Second
	inForceIdle    = 5 * time.Second
	inForceTimeout = 20 * time.Second
)

// LedgerInForce measures how fast a change is in force on the last VM.
var LedgerInForce = Table{
	Name: "ledger_in_force",
	Goal: "in force everywhere within 11 s; 7 KB a second for a VM.",
	Seed: 1,
	Run:  measureInForce,
}

var errCutOff = errors.New("cut off")

// meter counts the bytes of a VM's calls and can cut it off.
type meter struct {
	rt    http.RoundTripper
	bytes atomic.Int64
	cut   atomic.Bool
}

// RoundTrip passes a request on. Headers are counted as the requests and
// answers of this client have them, at headerBytes a call.
func (m *meter) RoundTrip(r *http.Request) (*http.Response, error) {
	if m.cut.Load() {
		return nil, errCutOff
	}
	resp, err := m.rt.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if m.cut.Load() {
		_ = resp.Body.Close()
		return nil, errCutOff
	}
	m.bytes.Add(headerBytes + max(r.ContentLength, 0))
	resp.Body = countedBody{ReadCloser: resp.Body, meter: m}
	return resp, nil
}

// headerBytes is about what the lines and headers of a call and its answer take.
const headerBytes = 300

type countedBody struct {
	io.ReadCloser
	meter *meter
}

// Read counts what was read.
func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.meter.bytes.Add(int64(n))
	return n, err
}

// meteredVM is a follower over HTTP.
type meteredVM struct {
	meter    *meter
	follower *ledger.Follower

	mu sync.Mutex
	// appliedAt holds when each offset was applied.
	appliedAt map[fleet.Offset]time.Time
}

func newMeteredVM(url string) *meteredVM {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	vm := &meteredVM{meter: &meter{rt: platform.NewTransport()}, appliedAt: make(map[fleet.Offset]time.Time)}
	log := platform.NewLog(url, vm.meter)
	rec := timeline.New("measure", fullReport, logger)
	vm.follower = ledger.NewFollower(log, ledger.NewState(), rec, func(raw ledger.Raw, _ ledger.Record, _ ledger.Verdict) {
		vm.mu.Lock()
		defer vm.mu.Unlock()
		vm.appliedAt[raw.Offset] = time.Now()
	})
	return vm
}

func (vm *meteredVM) at(o fleet.Offset) time.Time {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.appliedAt[o]
}

// await waits until all VMs have applied an offset.
func await(vms []*meteredVM, o fleet.Offset) error {
	deadline := time.Now().Add(inForceTimeout)
	for _, vm := range vms {
		for vm.follower.State.Applied() < o || !vm.follower.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("a VM stands at offset %d, not %d", vm.follower.State.Applied(), o)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// change makes one accepted change and returns its offset and when the proposer
// had the verdict.
func change(vm *meteredVM, n int) (fleet.Offset, time.Time, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	level := settings.Level(fmt.Sprintf("model/model-%d", n))
	r, err := ledger.NewRecord(ledger.KindSetting, "operator", timeline.Stamp{}, 0, settingAt(level, n+1))
	if err != nil {
		return 0, time.Time{}, err
	}
	v, err := vm.follower.Propose(ctx, r)
	if err == nil {
		err = v.Err()
	}
	return v.Offset, time.Now(), err
}

// inForceTimes makes changes one after the other and returns how long after its
// acceptance each was in force on the last VM.
func inForceTimes(vms []*meteredVM) ([]time.Duration, error) {
	var out []time.Duration
	for n := range inForceChanges {
		offset, accepted, err := change(vms[n%len(vms)], n)
		if err != nil {
			return nil, err
		}
		if err := await(vms, offset); err != nil {
			return nil, err
		}
		last := accepted
		for _, vm := range vms {
			if at := vm.at(offset); at.After(last) {
				last = at
			}
		}
		out = append(out, last.Sub(accepted))
	}
	slices.Sort(out)
	return out, nil
}

// healTime cuts one VM off, makes a change, heals it and returns how long after
// that the change was in force there.
func healTime(vms []*meteredVM) (time.Duration, error) {
	cut := vms[len(vms)-1]
	cut.meter.cut.Store(true)
	time.Sleep(inForceCut)
	offset, _, err := change(vms[0], inForceChanges)
	if err != nil {
		return 0, err
	}
	cut.meter.cut.Store(false)
	healed := time.Now()
	if err := await(vms, offset); err != nil {
		return 0, err
	}
	return max(0, cut.at(offset).Sub(healed)), nil
}

// idleBytes returns what a VM spends a second while nothing changes.
func idleBytes(vms []*meteredVM) float64 {
	total := func() (n int64) {
		for _, vm := range vms {
			n += vm.meter.bytes.Load()
		}
		return n
	}
	before := total()
	time.Sleep(inForceIdle)
	return float64(total()-before) / inForceIdle.Seconds() / float64(len(vms))
}

func measureInForce(uint64) (Result, error) {
	res := Result{Header: []string{"quantity", "value"}}
	server := httptest.NewServer(standin.NewLog())
	defer server.Close()
	var vms []*meteredVM
	defer func() {
		for _, vm := range vms {
			vm.follower.Close()
		}
	}()
	for range inForceVMs {
		vms = append(vms, newMeteredVM(server.URL))
	}
	if err := await(vms, 0); err != nil {
		return res, err
	}
	times, err := inForceTimes(vms)
	if err != nil {
		return res, err
	}
	idle := idleBytes(vms)
	heal, err := healTime(vms)
	if err != nil {
		return res, err
	}
	res.Rows = [][]string{
		{"VMs", fmt.Sprint(inForceVMs)},
		{"changes", fmt.Sprint(len(times))},
		{"accepted to in force on the last VM, median", times[len(times)/2].Round(time.Microsecond).String()},
		{"accepted to in force on the last VM, longest", times[len(times)-1].Round(time.Microsecond).String()},
		{fmt.Sprintf("after a cut of %v, healed to in force", inForceCut), heal.Round(time.Millisecond).String()},
		{"bytes a second of a VM while nothing changes", fmt.Sprintf("%.0f", idle)},
	}
	res.Notes = []string{
		"The VMs are followers in one process; the log is a stand-in over HTTP on loopback, without delay.",
		"Bytes are bodies and about 300 bytes of headers a call, towards the log only.",
	}
	return res, nil
}
