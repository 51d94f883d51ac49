package serving

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/metric"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// Names of what upstreams say of themselves, in metrics.
const (
	noticeLeaving = "leaving"
	noticeWait    = "wait"
	noticeIntake  = "intake"
	noticeOdd     = "odd"
)

// notices takes over what upstreams say of themselves in their answers, and tells
// operators.
type notices struct {
	wire    Wire
	events  *timeline.Recorder
	metrics *metric.Set

	mu sync.Mutex
	// odd are the headers that were told as odd, by upstream.
	odd map[*roster.Upstream]map[string]bool
}

func newNotices(cfg Config) *notices {
	return &notices{wire: cfg.Wire, events: cfg.Events, metrics: cfg.Metrics, odd: make(map[*roster.Upstream]map[string]bool)}
}

// hear takes over the notice in the head of an answer, to a request or to a question of this
// VM's own. Another start of the upstream answers what was not meant for it with 421.
func (n *notices) hear(u *roster.Upstream, status int, h http.Header) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	r := n.wire.ReadNotice(status, h)
	// A report may leave out what the answers to requests name.
	served := r.Request != "" && status >= http.StatusOK && status < http.StatusMultipleChoices
	before, after := u.ApplyNotice(r.Notice, served, time.Now())
	tell(n.metrics.Notice, r.Notice.Leaving, r.Notice.Wait > 0, r.Notice.Limited)
	if len(r.Malformed) > 0 {
		n.metrics.Notice(noticeOdd)
	}
	if before.AnnouncedAt = after.AnnouncedAt; before != after {
		n.events.Record(event.UpstreamNotice, noticeFields(u, r.Request, after))
	}
	for _, o := range r.Malformed {
		if n.first(u, o.Name) {
			n.events.Record(event.NoticeOdd, timeline.Fields{
				"upstream": string(u.ID), "request": string(r.Request), "header": o.Name, "value": cut(o.Value),
			})
		}
	}
}

// tell counts what an upstream has said, by the names of metrics.
func tell(count func(string), leaving, wait, intake bool) {
	if leaving {
		count(noticeLeaving)
	}
	if wait {
		count(noticeWait)
	}
	if intake {
		count(noticeIntake)
	}
}

// written counts a request that is written to an upstream that has spoken of itself.
func (n *notices) written(u *roster.Upstream) {
	s := u.NoticeStatus(time.Now())
	tell(n.metrics.NoticedSend, s.Leaving, !s.WaitUntil.IsZero(), s.Limited)
}

// first reports whether a header of an upstream has not been told as odd before.
func (n *notices) first(u *roster.Upstream, header string) bool {
	n.mu.Lock()
	told, ok := n.odd[u]
	if !ok {
		told = make(map[string]bool)
		n.odd[u] = told
	}
	again := told[header]
	told[header] = true
	n.mu.Unlock()
	if !ok {
		u.OnRemoved(func() { n.forget(u) })
	}
	return !again
}

func (n *notices) forget(u *roster.Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.odd, u)
}

func noticeFields(u *roster.Upstream, id fleet.RequestID, s roster.NoticeStatus) timeline.Fields {
	f := timeline.Fields{"upstream": string(u.ID), "request": string(id), "leaving": strconv.FormatBool(s.Leaving)}
	if s.Limited {
		f["intake"] = s.Intake.String()
	}
	if !s.WaitUntil.IsZero() {
		f["wait_ms"] = timeline.Millis(time.Until(s.WaitUntil))
	}
	return f
}

// maxOddValue is how much of an odd header the log shows.
const maxOddValue = 64

func cut(v string) string {
	return v[:min(len(v), maxOddValue)]
}
