package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"

	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/settings"
	"toucanfall/timeline"
)

// Sizes of the target fleet, for the tables of the ledger.
const (
	targetModels   = 1900
	targetAdapters = 7600
	targetVMs      = 400
	targetEngines  = 1400
	targetTeams    = 200
	targetRecords  = 100_000
	// timelineEntries is the number of timeline entries that a daemon keeps.
	timelineEntries = 8192
)

// LedgerFold measures how many records of the log one core folds per second.
var LedgerFold = Table{
	Name: "ledger_fold",
	Goal: "100,000 records a second on one core.",
	Seed: 1,
	Run:  measureFold,
}

// LedgerState measures the memory of the folded state and its snapshots for the target
// fleet.
var LedgerState = Table{
	Name: "ledger_state",
	Goal: "within 64 MB beside all else, at 1,900 models, 400 VMs and 1,400 engines.",
	Seed: 1,
	Run:  measureState,
}

// recordBuilder generates the records of a fleet from a seed.
type recordBuilder struct {
	rng     *rand.Rand
	records []ledger.Raw
}

// add appends a record at the next offset.
func (b *recordBuilder) add(kind ledger.Kind, baseRevision fleet.Revision, body any) error {
	r, err := ledger.NewRecord(kind, "operator", timeline.Stamp{WallMS: int64(len(b.records))}, baseRevision, body)
	if err != nil {
		return err
	}
	data, err := r.Encode()
	if err != nil {
		return err
	}
	b.records = append(b.records, ledger.Raw{Offset: fleet.Offset(len(b.records) + 1), Data: data})
	return nil
}

// fleetRecords generates the complete configuration of the target fleet.
func fleetRecords(seed uint64) (*recordBuilder, error) {
	b := &recordBuilder{rng: rand.New(rand.NewPCG(seed, 0))}
	for _, addRecords := range []func(*recordBuilder) error{addTeams, addModels, addEngines, addVMSettings} {
		if err := addRecords(b); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func addTeams(b *recordBuilder) error {
	for i := range targetTeams {
		team := fleet.TeamID(fmt.Sprintf("team-%d", i))
		if err := b.add(ledger.KindTeam, 0, fleet.Team{ID: team, Name: "a team"}); err != nil {
			return err
		}
		for n := range 5 {
			id := fleet.KeyID(fmt.Sprintf("key-%d-%d", i, n))
			key := fleet.Key{ID: id, Team: team, Hash: fleet.Secret(id).Hash()}
			if err := b.add(ledger.KindKey, 0, key); err != nil {
				return err
			}
		}
	}
	return nil
}

func addModels(b *recordBuilder) error {
	for i := range targetModels {
		model := fleet.ModelID(fmt.Sprintf("model-%d", i))
		if err := b.add(ledger.KindModel, 0, fleet.Model{ID: model, Version: "1", Size: 1 << 30}); err != nil {
			return err
		}
		route := fleet.Route{
			ID: fleet.RouteID(model), Kind: fleet.RouteDraft, Model: model,
			Teams: []fleet.TeamID{fleet.TeamID(fmt.Sprintf("team-%d", i%targetTeams))},
		}
		if err := b.add(ledger.KindRoute, 0, route); err != nil {
			return err
		}
		for n := range targetAdapters / targetModels {
			id := fleet.AdapterID(fmt.Sprintf("adapter-%d-%d", i, n))
			if err := b.add(ledger.KindAdapter, 0, fleet.Adapter{ID: id, Model: model, Size: 1 << 20}); err != nil {
				return err
			}
		}
	}
	return nil
}

// addEngines adds a stored booking for each engine, with an outcome of the size of a
// placement entry.
func addEngines(b *recordBuilder) error {
	for i := range targetEngines {
		id := fleet.RequestID(fmt.Sprintf("engine-%d", i))
		key := ledger.NewBookingKey("team-0", "placement", string(id))
		if err := b.add(ledger.KindBookingClaim, 0, ledger.BookingClaim{Key: key, Request: id}); err != nil {
			return err
		}
		body := make([]byte, 1024)
		for n := range body {
			body[n] = byte(b.rng.UintN(256))
		}
		o := ledger.BookingOutcome{Key: key, Request: id, Status: ledger.BookingDone, HTTPStatus: 200, Body: body}
		if err := b.add(ledger.KindBookingOutcome, 0, o); err != nil {
			return err
		}
	}
	return nil
}

func settingPut(level settings.Level, value int) settings.Put {
	path := settings.Path{Level: level, Name: settings.MaxTokens}
	return settings.Put{Path: path, Value: settings.Value{RawMessage: json.RawMessage(fmt.Sprint(value))}}
}

// addVMSettings adds ten settings per VM, at the levels of models.
func addVMSettings(b *recordBuilder) error {
	for i := range targetVMs * 10 {
		level := settings.Level(fmt.Sprintf("model/model-%d-%d", i%targetModels, i/targetModels))
		if err := b.add(ledger.KindSetting, 0, settingPut(level, 1+b.rng.IntN(1000))); err != nil {
			return err
		}
	}
	return nil
}

// settingRecords appends n changes of settings to m, each of which is accepted.
func settingRecords(b *recordBuilder, n int) error {
	last := make(map[int]fleet.Revision)
	for range n {
		model := b.rng.IntN(targetModels)
		level := settings.Level(fmt.Sprintf("model/extra-%d", model))
		if err := b.add(ledger.KindSetting, last[model], settingPut(level, 1+b.rng.IntN(1000))); err != nil {
			return err
		}
		last[model] = fleet.Revision(len(b.records))
	}
	return nil
}

// emptyLog is a log without records: the tables pass records to the follower directly.
type emptyLog struct{}

// Append fails with ledger.ErrNotSent.
func (emptyLog) Append(context.Context, [][]byte) (fleet.Offset, error) {
	return 0, ledger.ErrNotSent
}

// Read waits until ctx ends.
func (emptyLog) Read(ctx context.Context, _ fleet.Offset) ([]ledger.Raw, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Peek waits until ctx ends.
func (emptyLog) Peek(ctx context.Context, _ fleet.Offset) (ledger.Page, error) {
	<-ctx.Done()
	return ledger.Page{}, ctx.Err()
}

func newFollower() *ledger.Follower {
	return ledger.NewFollower(emptyLog{}, ledger.NewState(), timeline.New("measure", timelineEntries, newDiscardLogger()))
}

// mustCPUTime returns the CPU time that the process has used, which excludes the time
// when other processes ran on the core. It panics if the system call fails.
func mustCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(fmt.Sprintf("getrusage failed for this process: %v", err))
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// foldTime returns the CPU time in which a follower folds records on one core.
func foldTime(records []ledger.Raw) (time.Duration, error) {
	f := newFollower()
	defer f.Close()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	begin := mustCPUTime()
	err := f.ApplyRecords(records)
	return mustCPUTime() - begin, err
}

// decodeTime returns the CPU time of decoding the records alone, a lower bound of each
// fold.
func decodeTime(records []ledger.Raw) (time.Duration, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	begin := mustCPUTime()
	for _, raw := range records {
		for line := range bytes.Lines(raw.Data) {
			var v any
			if err := json.Unmarshal(line, &v); err != nil {
				return 0, err
			}
		}
	}
	return mustCPUTime() - begin, nil
}

func measureFold(seed uint64) (Result, error) {
	res := Result{Header: []string{"records", "number", "fold, records/s", "baseline: JSON into any, records/s"}}
	configuration, err := fleetRecords(seed)
	if err != nil {
		return res, err
	}
	changes := &recordBuilder{rng: rand.New(rand.NewPCG(seed, 1))}
	if err := settingRecords(changes, targetRecords); err != nil {
		return res, err
	}
	for _, set := range []struct {
		name    string
		records []ledger.Raw
	}{{"configuration of the target", configuration.records}, {"changes of settings", changes.records}} {
		fold, err := foldTime(set.records)
		if err != nil {
			return res, err
		}
		decode, err := decodeTime(set.records)
		if err != nil {
			return res, err
		}
		res.Rows = append(res.Rows, []string{set.name, fmt.Sprint(len(set.records)), perSecond(len(set.records), fold), perSecond(len(set.records), decode)})
	}
	res.Notes = []string{"The fold includes decoding, the check of each body, its fingerprint and the records that are kept for peers.", "Processor time of the process on one core, garbage collection included."}
	return res, nil
}

func perSecond(n int, d time.Duration) string {
	return fmt.Sprintf("%.0f", float64(n)/d.Seconds())
}

// heapInUse returns the number of heap bytes in use after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

func measureState(seed uint64) (Result, error) {
	res := Result{Header: []string{"quantity", "value"}}
	b, err := fleetRecords(seed)
	if err != nil {
		return res, err
	}
	before := heapInUse()
	f := newFollower()
	defer f.Close()
	if err := f.ApplyRecords(b.records); err != nil {
		return res, err
	}
	used := heapInUse() - before
	begin := time.Now()
	snapshot, err := f.Snapshot()
	if err != nil {
		return res, err
	}
	encodeTime := time.Since(begin)
	loaded := newFollower()
	defer loaded.Close()
	begin = time.Now()
	if err := loaded.LoadSnapshot(snapshot, "measure"); err != nil {
		return res, err
	}
	loadTime := time.Since(begin)
	begin = time.Now()
	if loaded.State.Digest() != f.State.Digest() {
		return res, fmt.Errorf("the state loaded from the snapshot has a different digest")
	}
	digestTime := time.Since(begin) / 2
	res.Rows = [][]string{
		{"records folded", fmt.Sprint(len(b.records))},
		{"memory of the state, the records kept for peers and the time line", fmt.Sprintf("%.1f MB", float64(used)/1e6)},
		{"snapshot", fmt.Sprintf("%.2f MB", float64(len(snapshot.Data))/1e6)},
		{"to make a snapshot", encodeTime.Round(time.Millisecond).String()},
		{"to load a snapshot", loadTime.Round(time.Millisecond).String()},
		{"to make a digest", digestTime.Round(time.Millisecond).String()},
	}
	res.Notes = []string{
		"Engines stand as 1,400 entries with 1 KB of random bytes each; their real entries pack better.",
		"No record is applied while the tables of a snapshot are encoded, which takes about as long as a digest.",
		fmt.Sprintf("The time line has %d entries.", timelineEntries),
	}
	runtime.KeepAlive(b)
	return res, nil
}
