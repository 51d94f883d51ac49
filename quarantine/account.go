// Package quarantine finds the parts of prompts, and the requests as a whole, that crash engines, over all VMs, and
// stops requests with them. A request as a whole counts as a part that is named by its fingerprint.
//
// A VM that loses a run together with its engine reports the parts of its prompt. Parts that sound
// requests share with a fatal one are in as many reports, so that each report also says how many runs
// with each part have lately gone well at the reporting VM. A VM at which runs went well vouches for a
// part that is close to a quarantine. A part is quarantined once several engines have crashed under it,
// lately more of them than runs went well by the reports of all VMs. All VMs read the reports from one
// log.
package quarantine

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanfall/fleet"
)

// Bounds of an account.
const (
	// minCrashes is the number of engines that must have crashed under a part.
	minCrashes = 3
	// maxParts bounds the parts of prompts in an account, and the fingerprints. Callers can send any number
	// of both.
	maxParts = 1024
	// maxEngines bounds the engines that are kept for a part.
	maxEngines = 16
	// maxReports bounds the reports that are recognised when they are read again.
	maxReports = 2048
	// decisionTime is the time from the first crash under a part until it is quarantined. In this time
	// VMs at which runs with it go well vouch for it.
	decisionTime = time.Second
	// countLifetime is how long a count of sound runs, and a crash, count against each other.
	countLifetime = 2 * countWindow
	// Lifetime is how long after its last crash a part is quarantined. A new version of the model
	// may have made it sound. If it has not, the next crash quarantines it again.
	Lifetime = time.Hour
	// doubtedTerm is the same for a part with which runs have gone well, the first time. Each further
	// time is four times as long.
	doubtedTerm = 5 * time.Second
)

// EngineStart identifies one start of an engine.
type EngineStart struct {
	Upstream fleet.UpstreamID `json:"upstream"`
	// Born is the start, in Unix milliseconds.
	Born int64 `json:"born"`
}

// PartCount is the number of runs with a part that went well at one VM in the last [countWindow], or
// up to twice that.
type PartCount struct {
	Part  fleet.PartID `json:"part"`
	Sound int          `json:"sound"`
}

// Kind is the kind of a report.
type Kind string

// The kinds of reports.
const (
	// Crash reports a run that ended with its engine.
	Crash Kind = "crash"
	// Vouch says that runs with a part went well.
	Vouch Kind = "vouch"
	// Summary lists the engines that crashed under a part, for VMs that start later.
	Summary Kind = "summary"
	// Lift ends the quarantine of a part by order of an operator.
	Lift Kind = "lift"
)

// Report is what one VM reports about the parts of a prompt.
type Report struct {
	// VM and Number identify the report. Number is random.
	VM     fleet.VMID `json:"vm"`
	Number uint64     `json:"number"`
	// Instance identifies the process that made the counts. It is random.
	Instance uint64 `json:"instance"`
	Kind     Kind   `json:"kind"`
	// Engines are the engines that crashed under the parts, as far as the report is about them.
	Engines []EngineStart `json:"engines,omitempty"`
	// Request is the request that was running at the crash, "" in reports of other kinds.
	Request fleet.RequestID `json:"request,omitempty"`
	// Origin is where that request came from, nil if it is not known.
	Origin *Origin `json:"origin,omitempty"`
	// At is the time of the report, in Unix milliseconds by the clock of the VM.
	At    int64       `json:"at"`
	Parts []PartCount `json:"parts"`
	// Since holds for each part how many of its sound runs ended after the first crash under it was
	// known, and after its last quarantine expired. VMs of earlier versions leave it out.
	Since []int `json:"since,omitempty"`
}

// Numbers of keys under which the log keeps the newest report of each kind.
const (
	crashKeys   = 512
	vouchKeys   = 1024
	summaryKeys = 1024
	liftKeys    = 1024
)

// Key returns the key of the report in the log. Their number is bounded, so that a report may replace
// another one. A vouch replaces the last one of the same VM for its part, a summary or a lift that of its
// part.
func (r *Report) Key() string {
	n := r.Number % crashKeys
	switch r.Kind {
	case Vouch:
		n = xxhash.Sum64String(string(r.VM)+" "+string(r.Parts[0].Part)) % vouchKeys
	case Summary:
		n = xxhash.Sum64String(string(r.Parts[0].Part)) % summaryKeys
	case Lift:
		n = xxhash.Sum64String(string(r.Parts[0].Part)) % liftKeys
	}
	return fmt.Sprintf("%s-%d", r.Kind, n)
}

// maxReportParts is the largest number of parts in a report.
const maxReportParts = 64

// Validate returns an error if the report cannot come from a VM of this version.
func (r *Report) Validate() error {
	if !slices.Contains([]Kind{Crash, Vouch, Summary, Lift}, r.Kind) {
		return fmt.Errorf("crash report of VM %q of the kind %q", r.VM, r.Kind)
	}
	if r.VM == "" || len(r.Parts) == 0 || len(r.Parts) > maxReportParts || len(r.Engines) > maxEngines {
		return fmt.Errorf("crash report of VM %q with %d parts and %d engines", r.VM, len(r.Parts), len(r.Engines))
	}
	if r.Kind == Lift && (len(r.Parts) > 1 || len(r.Engines) > 0) {
		return fmt.Errorf("lift by VM %q with %d parts and %d engines", r.VM, len(r.Parts), len(r.Engines))
	}
	for _, p := range r.Parts {
		if p.Part == "" || p.Sound < 0 {
			return fmt.Errorf("crash report of VM %q: part %q with %d sound runs", r.VM, p.Part, p.Sound)
		}
	}
	return r.validateSince()
}

func (r *Report) validateSince() error {
	if len(r.Since) != 0 && len(r.Since) != len(r.Parts) || slices.ContainsFunc(r.Since, func(n int) bool { return n < 0 }) {
		return fmt.Errorf("crash report of VM %q with the counts %v for %d parts", r.VM, r.Since, len(r.Parts))
	}
	return nil
}

// since returns the number of sound runs with the i-th part that Since counts, or all of them if the VM
// does not tell these apart.
func (r *Report) since(i int) int {
	if len(r.Since) == 0 {
		return r.Parts[i].Sound
	}
	return r.Since[i]
}

// reportID identifies a report.
type reportID struct {
	vm     fleet.VMID
	number uint64
}

// partState is what the reports say of one part.
type partState struct {
	engines []crashedEngine
	// counts are those of the last report of each process.
	counts map[uint64]receivedCount
	// firstCrash and lastCrash are the times of the first and the last report of a crash.
	firstCrash, lastCrash time.Duration
	// origin is where a request with this fingerprint came from, nil for parts of prompts.
	origin *Origin
	// everSound is set once a run with the part went well. releases is how often the part was released
	// although nothing more was known of it.
	everSound   bool
	releases    int
	quarantined bool
}

// term returns how long after the last crash the part is quarantined. A part with which runs have gone
// well may be innocent, and while it is refused nothing can show that.
func (p *partState) term() time.Duration {
	if !p.everSound {
		return Lifetime
	}
	return min(doubtedTerm<<min(2*p.releases, 16), Lifetime)
}

// crashedEngine is an engine whose crash was first reported at a time.
type crashedEngine struct {
	EngineStart
	at time.Duration
}

// receivedCount holds the numbers of sound runs in a report that was received at a time: all, and those
// that ended after the first crash under the part.
type receivedCount struct {
	sound, since int
	at           time.Duration
}

// recent returns the runs that went well, those of them since the first crash, and the engines that
// crashed, without those before countLifetime.
func (p *partState) recent(now time.Duration) (sound, since, crashed int) {
	for instance, c := range p.counts {
		if now-c.at > countLifetime {
			delete(p.counts, instance)
			continue
		}
		sound += c.sound
		since += c.since
	}
	for _, e := range p.engines {
		if now-e.at <= countLifetime {
			crashed++
		}
	}
	return sound, since, crashed
}

// starts returns the engines that crashed under the part.
func (p *partState) starts() []EngineStart {
	out := make([]EngineStart, len(p.engines))
	for i, e := range p.engines {
		out[i] = e.EngineStart
	}
	return out
}

// crashedUnder reports whether an engine crashed under the part.
func (p *partState) crashedUnder(e EngineStart) bool {
	return slices.ContainsFunc(p.engines, func(c crashedEngine) bool { return c.EngineStart == e })
}

// account holds what all reports say. It is not safe for concurrent use.
type account struct {
	parts map[fleet.PartID]*partState
	// seen holds the last maxReports reports, in order in seenOrder.
	seen      map[reportID]bool
	seenOrder []reportID
}

func newAccount() *account {
	return &account{parts: make(map[fleet.PartID]*partState), seen: make(map[reportID]bool)}
}

// change is a part that was quarantined, or released from quarantine.
type change struct {
	part        fleet.PartID
	quarantined bool
	// expired is set if the quarantine ended because its term was over.
	expired bool
	engines []EngineStart
	origin  *Origin
}

// apply applies a report that was received at the time now, unless it has been applied before. old is
// set if it was made before this VM started. It returns the parts whose state changed.
func (a *account) apply(r Report, now time.Duration, old bool) []change {
	id := reportID{r.VM, r.Number}
	if a.seen[id] {
		return nil
	}
	a.remember(id)
	if r.Kind == Lift {
		return a.lift(r.Parts[0].Part)
	}
	var out []change
	for i, count := range r.Parts {
		p := a.parts[count.Part]
		if p == nil {
			if len(r.Engines) == 0 {
				continue // A vouch for a part that is not suspected.
			}
			p = &partState{counts: make(map[uint64]receivedCount), firstCrash: now}
			a.parts[count.Part] = p
		}
		if r.Origin != nil && IsFingerprint(count.Part) {
			p.origin = r.Origin
		}
		p.add(r, receivedCount{sound: count.Sound, since: r.since(i), at: now}, old)
		out = append(out, a.judge(count.Part, p, now)...)
	}
	a.evict()
	return out
}

// lift forgets all that is known of a part. It returns the change if the part was in quarantine.
func (a *account) lift(id fleet.PartID) []change {
	p := a.parts[id]
	delete(a.parts, id)
	if p == nil || !p.quarantined {
		return nil
	}
	return []change{{part: id}}
}

func (a *account) remember(id reportID) {
	a.seen[id] = true
	a.seenOrder = append(a.seenOrder, id)
	if len(a.seenOrder) > maxReports {
		delete(a.seen, a.seenOrder[0])
		a.seenOrder = a.seenOrder[1:]
	}
}

// add adds what a report says of the part. An old crash does not count as recent: this VM does not know
// all runs that went well at that time. The part of a summary was in quarantine.
func (p *partState) add(r Report, count receivedCount, old bool) {
	now := count.at
	at := now
	if old && r.Kind != Summary {
		at -= countLifetime + 1
	}
	for _, e := range r.Engines {
		p.lastCrash = now
		i := slices.IndexFunc(p.engines, func(c crashedEngine) bool { return c.EngineStart == e })
		switch {
		case i < 0:
			p.engines = append(p.engines, crashedEngine{e, at})
		case old && r.Kind == Summary:
			p.engines[i].at = at // The log holds the report of the crash before the summary.
		}
	}
	p.engines = p.engines[max(len(p.engines)-maxEngines, 0):]
	if r.Kind == Summary {
		p.firstCrash = min(p.firstCrash, now-decisionTime)
	}
	p.counts[r.Instance] = count
	p.everSound = p.everSound || count.sound > 0
}

// judge decides whether a part is in quarantine, and returns what changed by that. A part stays there
// until more runs with it went well than engines crashed. Once a quarantine has expired, only runs since
// then count: those before the first crash say nothing about a part that has become fatal since, and
// outweighed the crashes after each release until five more engines had ended.
func (a *account) judge(id fleet.PartID, p *partState, now time.Duration) []change {
	sound, since, crashed := p.recent(now)
	if p.releases > 0 {
		sound = since
	}
	switch {
	case p.quarantined && sound > crashed:
		p.quarantined = false
		return []change{{part: id}}
	case !p.quarantined && sound < crashed && now-p.firstCrash >= decisionTime && len(p.engines) >= minCrashes && a.unexplained(id, p) >= minUnexplained(id):
		p.quarantined = true
		return append(a.releaseExplained(), change{part: id, quarantined: true, engines: p.starts(), origin: p.origin})
	}
	return nil
}

// minUnexplained returns the number of engines that must have crashed under a part and that no other part explains.
// Two requests that crash engines run at the same ones at times. Of a request that only ran beside another one all
// crashes are explained, while a part is in many requests and is beside others at random.
func minUnexplained(id fleet.PartID) int {
	if IsFingerprint(id) {
		return 1
	}
	return minCrashes
}

// unexplained returns the number of engines that crashed under a part and under no other part that is
// in quarantine and with which no run has gone well.
func (a *account) unexplained(id fleet.PartID, p *partState) int {
	n := len(p.engines)
	for _, e := range p.engines {
		for other, o := range a.parts {
			if other != id && o.quarantined && !o.everSound && o.crashedUnder(e.EngineStart) {
				n--
				break
			}
		}
	}
	return n
}

// releaseExplained releases the parts with which runs have gone well and whose crashes another part
// explains.
func (a *account) releaseExplained() []change {
	var out []change
	for id, p := range a.parts {
		if p.quarantined && p.everSound && a.unexplained(id, p) < minUnexplained(id) {
			p.quarantined = false
			out = append(out, change{part: id})
		}
	}
	return out
}

// evict removes the parts of prompts with the oldest crashes, those in quarantine last, until at most maxParts are
// left, and likewise the fingerprints.
func (a *account) evict() {
	if len(a.parts) <= maxParts {
		return
	}
	for _, fingerprints := range []bool{false, true} {
		for a.evictOne(fingerprints) {
		}
	}
}

// evictOne removes one fingerprint or part of a prompt if there are more than maxParts, and reports whether it has.
func (a *account) evictOne(fingerprint bool) bool {
	var oldest fleet.PartID
	n := 0
	for id, p := range a.parts {
		if IsFingerprint(id) != fingerprint {
			continue
		}
		n++
		o := a.parts[oldest]
		if o == nil || o.quarantined && !p.quarantined || o.quarantined == p.quarantined && p.lastCrash < o.lastCrash {
			oldest = id
		}
	}
	if n <= maxParts {
		return false
	}
	delete(a.parts, oldest)
	return true
}

// update decides anew about all parts. It releases those whose term is over, and forgets the others
// after Lifetime. Of a released part one crash less than minCrashes is kept, and nothing of its runs.
func (a *account) update(now time.Duration) []change {
	out := a.judgeAll(now)
	for id, p := range a.parts {
		switch {
		case p.quarantined && now-p.lastCrash >= p.term():
			p.quarantined, p.lastCrash = false, now
			p.releases++
			clear(p.counts)
			p.engines = p.engines[max(len(p.engines)-(minCrashes-1), 0):]
			out = append(out, change{part: id, expired: true})
		case !p.quarantined && now-p.lastCrash >= Lifetime:
			delete(a.parts, id)
		}
	}
	return out
}

// judgeAll decides about all parts, the fingerprints first: a request that crashes engines explains the crashes
// under the parts of its prompt.
func (a *account) judgeAll(now time.Duration) []change {
	var out []change
	for _, fingerprints := range []bool{true, false} {
		for id, p := range a.parts {
			if IsFingerprint(id) == fingerprints {
				out = append(out, a.judge(id, p, now)...)
			}
		}
	}
	return out
}

// first returns the first of the parts that is quarantined.
func (a *account) first(parts []fleet.PartID) (fleet.PartID, bool) {
	for _, id := range parts {
		if p := a.parts[id]; p != nil && p.quarantined {
			return id, true
		}
	}
	return "", false
}

// suspected reports whether an engine has crashed under one of the parts of which no more runs went
// well than crashed.
func (a *account) suspected(parts []fleet.PartID, now time.Duration) bool {
	return slices.ContainsFunc(parts, func(id fleet.PartID) bool {
		p := a.parts[id]
		if p == nil {
			return false
		}
		sound, _, crashed := p.recent(now)
		return len(p.engines) > 0 && sound <= crashed
	})
}
