package quarantine

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/timeline"
)

// Times of a tracker.
const (
	// countWindow is how long a run counts at the VM that made it, at most twice that.
	countWindow = 15 * time.Second
	// vouchInterval is how often a VM looks for parts that it must vouch for.
	vouchInterval = 100 * time.Millisecond
	// vouchFactor is how many times as many runs as crashed must be known to have gone well for a VM
	// not to vouch.
	vouchFactor = 3
	// revouchAfter is the least time between two vouches for the same part.
	revouchAfter = 2 * time.Second
	// publishTimeout bounds the writing of a report, publishPause is the pause after a failed one.
	publishTimeout = 600 * time.Millisecond
	publishPause   = 200 * time.Millisecond
)

// Bounds of a tracker.
const (
	// maxCounted bounds the parts of prompts that are counted in a window, maxCountedRequests the requests.
	maxCounted         = 8192
	maxCountedRequests = 2048
	// maxQueued bounds the reports that wait for the log. The oldest are dropped.
	maxQueued = 256
)

// Log is the log that all VMs read the reports from.
type Log interface {
	// WriteReport appends a report. After an error it may have been appended.
	WriteReport(ctx context.Context, r Report) error
}

// Config holds the dependencies of a Tracker.
type Config struct {
	VM  fleet.VMID
	Log Log
	// Now is a monotonic clock that also counts suspended time.
	Now    func() time.Duration
	Events *timeline.Recorder
}

// Tracker counts the runs of this VM by the parts of their prompts and by their fingerprints, reports
// those that ended with their engine, and knows the parts in quarantine. It is safe for concurrent use.
type Tracker struct {
	cfg  Config
	wake chan struct{}
	// instance identifies this process in reports.
	instance uint64

	mu sync.Mutex
	// The fields below are guarded by mu. account includes this VM's own reports from when they are
	// made.
	account *account
	// applied is set by the first call of Apply.
	applied bool
	counts  counts
	// requests counts the runs of the same requests, by fingerprint. Most requests are unlike all others, and
	// would leave no room in counts.
	requests counts
	// since counts the runs with parts under which an engine has crashed, since the first crash or
	// the end of the last quarantine.
	since counts
	queue []Report
	// written holds the reports that were written lately. rewriteAt is when they are written again, 0 if they
	// are not.
	written   []writtenReport
	rewriteAt time.Duration
	// vouched holds when this VM last vouched for a part, witnessed when an engine last crashed under a
	// run of this VM with a part.
	vouched, witnessed map[fleet.PartID]time.Duration
}

// New returns a tracker without reports. [Tracker.Run] must be called to write its own.
func New(cfg Config) *Tracker {
	now := cfg.Now()
	return &Tracker{
		cfg: cfg, wake: make(chan struct{}, 1), instance: rand.Uint64(), account: newAccount(),
		counts: newCounts(now, maxCounted, false), requests: newCounts(now, maxCountedRequests, true), since: newCounts(now, maxCounted, false),
		vouched: make(map[fleet.PartID]time.Duration), witnessed: make(map[fleet.PartID]time.Duration),
	}
}

// Quarantined returns the first of the parts that is in quarantine, and whether there is one.
func (t *Tracker) Quarantined(parts []fleet.PartID) (fleet.PartID, bool) {
	if len(parts) == 0 {
		return "", false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.account.first(parts)
}

// Suspected reports whether one of the parts may crash engines, by fewer crashes than a quarantine
// needs.
func (t *Tracker) Suspected(parts []fleet.PartID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.account.suspected(parts, t.cfg.Now())
}

// Size returns the number of parts in quarantine.
func (t *Tracker) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.account.parts {
		if p.quarantined {
			n++
		}
	}
	return n
}

// RecordSound counts a run with the parts that went well.
func (t *Tracker) RecordSound(parts []fleet.PartID) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for _, id := range parts {
		t.countsOf(id).add(now, id)
		if t.account.parts[id] != nil {
			t.since.add(now, id)
		}
	}
}

// countsOf returns the counts that hold a part. The caller holds mu.
func (t *Tracker) countsOf(id fleet.PartID) *counts {
	if IsFingerprint(id) {
		return &t.requests
	}
	return &t.counts
}

// RecordCrash reports that a request with the parts was running at an engine that crashed.
func (t *Tracker) RecordCrash(engine EngineStart, request fleet.RequestID, origin Origin, parts []fleet.PartID) {
	t.cfg.Events.Record(event.EngineCrashed, timeline.Fields{
		"upstream": string(engine.Upstream), "request": string(request), "team": string(origin.Team), "route": string(origin.Route), "parts": fleet.FormatParts(parts),
	})
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	now := t.cfg.Now()
	for _, id := range parts {
		t.witnessed[id] = now
	}
	r := t.newReport(Crash, now, parts)
	r.Engines, r.Request, r.Origin = []EngineStart{engine}, request, &origin
	changes := t.publish(r, now)
	t.summarize(changes, now)
	t.mu.Unlock()
	t.record(changes)
}

// summarize publishes the parts that were put into quarantine, if this VM has seen a crash under them.
// The crash reports themselves are kept for a limited time only. The caller holds mu.
func (t *Tracker) summarize(changes []change, now time.Duration) {
	for _, c := range changes {
		if _, ok := t.witnessed[c.part]; c.quarantined && ok {
			r := t.newReport(Summary, now, []fleet.PartID{c.part})
			r.Engines, r.Origin = c.engines, c.origin
			t.publish(r, now)
		}
	}
}

// newReport returns a report of this VM's counts of the parts. If they are too many, those of which
// most runs went well are left out. The caller holds mu.
func (t *Tracker) newReport(kind Kind, now time.Duration, parts []fleet.PartID) Report {
	r := Report{VM: t.cfg.VM, Instance: t.instance, Kind: kind, Number: rand.Uint64(), At: time.Now().UnixMilli()}
	for _, id := range parts {
		r.Parts = append(r.Parts, PartCount{id, t.countsOf(id).get(now, id)})
	}
	if len(r.Parts) > maxReportParts {
		slices.SortStableFunc(r.Parts, func(a, b PartCount) int { return a.Sound - b.Sound })
		r.Parts = r.Parts[:maxReportParts]
	}
	for _, p := range r.Parts {
		r.Since = append(r.Since, t.since.get(now, p.Part))
	}
	return r
}

// publish applies a report of this VM and queues it for the log. The caller holds mu.
func (t *Tracker) publish(r Report, now time.Duration) []change {
	t.queue = append(t.queue, r)
	if len(t.queue) > maxQueued {
		t.queue = t.queue[1:]
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
	return t.account.apply(r, now, false)
}

// Apply applies reports from the log, in their order. Those of the first call were made before this VM
// started. Reports older than Lifetime by this VM's clock are ignored, invalid ones are recorded as odd.
func (t *Tracker) Apply(reports []Report) {
	t.mu.Lock()
	now, oldest := t.cfg.Now(), time.Now().Add(-Lifetime).UnixMilli()
	old := !t.applied
	t.applied = true
	var changes []change
	for _, r := range reports {
		if err := r.Validate(); err != nil {
			t.cfg.Events.Record(event.EntryOdd, timeline.Fields{"reason": err.Error()})
			continue
		}
		if r.Kind == Lift {
			t.forgetWritten(r.Parts[0].Part)
		}
		if r.At >= oldest {
			changes = append(changes, t.account.apply(r, now, old)...)
		}
	}
	t.summarize(changes, now)
	t.mu.Unlock()
	t.record(changes)
}

// Run writes this VM's reports to the log until ctx ends, and returns the error of ctx.
func (t *Tracker) Run(ctx context.Context) error {
	ticks := time.NewTicker(vouchInterval)
	defer ticks.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.wake:
		case <-ticks.C:
			t.tick()
		}
		t.writeQueue(ctx)
	}
	return ctx.Err()
}

// tick releases parts whose time is over, and vouches for those that are close to a quarantine
// although runs with them went well here.
func (t *Tracker) tick() {
	t.mu.Lock()
	now := t.cfg.Now()
	t.queueRewrites(now)
	changes := t.account.update(now)
	for _, c := range changes {
		if c.expired {
			t.since.forget(c.part)
		}
	}
	t.summarize(changes, now)
	for id, p := range t.account.parts {
		at, vouched := t.vouched[id]
		if len(p.engines) < minCrashes-1 || t.countsOf(id).get(now, id) == 0 || vouched && now-at < revouchAfter {
			continue
		}
		if sound, _, crashed := p.recent(now); sound <= vouchFactor*crashed {
			t.vouched[id] = now
			changes = append(changes, t.publish(t.newReport(Vouch, now, []fleet.PartID{id}), now)...)
		}
	}
	maps.DeleteFunc(t.vouched, func(_ fleet.PartID, at time.Duration) bool { return now-at >= revouchAfter })
	maps.DeleteFunc(t.witnessed, func(_ fleet.PartID, at time.Duration) bool { return now-at >= countLifetime })
	t.mu.Unlock()
	t.record(changes)
}

// writeQueue writes the queued reports, the oldest first, until none is left or one cannot be written.
// A report stays queued until it is written.
func (t *Tracker) writeQueue(ctx context.Context) {
	for r, ok := t.next(); ok && ctx.Err() == nil; r, ok = t.next() {
		if err := t.write(ctx, r); err != nil {
			t.cfg.Events.Record(event.GatewayFault, timeline.Fields{"reason": "crash report of request " + string(r.Request) + ": " + err.Error()})
			loop.Sleep(ctx, publishPause)
			return
		}
		t.mu.Lock()
		t.recordWritten(r)
		t.mu.Unlock()
	}
}

// next returns the oldest queued report, and whether there is one.
func (t *Tracker) next() (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.queue) == 0 {
		return Report{}, false
	}
	return t.queue[0], true
}

func (t *Tracker) write(ctx context.Context, r Report) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	return t.cfg.Log.WriteReport(ctx, r)
}

func (t *Tracker) record(changes []change) {
	for _, c := range changes {
		if !c.quarantined {
			t.cfg.Events.Record(event.PartReleased, timeline.Fields{"part": string(c.part)})
			continue
		}
		var engines []string
		for _, e := range c.engines {
			engines = append(engines, string(e.Upstream))
		}
		fields := timeline.Fields{"part": string(c.part), "count": strconv.Itoa(len(engines)), "engines": strings.Join(engines, " ")}
		if c.origin != nil {
			fields["team"], fields["route"] = string(c.origin.Team), string(c.origin.Route)
		}
		t.cfg.Events.Record(event.PartQuarantined, fields)
	}
}
