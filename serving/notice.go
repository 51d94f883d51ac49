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

// Values of the label of the notice metrics.
const (
	noticeLeaving   = "leaving"
	noticeWait      = "wait"
	noticeLimit     = "intake"
	noticeCold      = "cold"
	noticeMalformed = "odd"
)

// noticeHandler applies the notices in upstreams' answers, and reports them to operators.
type noticeHandler struct {
	wire    Wire
	events  *timeline.Recorder
	metrics *metric.Set

	mu sync.Mutex
	// reported holds the malformed headers that were logged, by upstream. Guarded by mu.
	reported map[*roster.Upstream]map[string]bool
}

func newNoticeHandler(cfg Config) *noticeHandler {
	return &noticeHandler{wire: cfg.Wire, events: cfg.Events, metrics: cfg.Metrics, reported: make(map[*roster.Upstream]map[string]bool)}
}

// receive applies the notice in the headers of an answer to a client's request or to one of this
// VM's own. Status 421 is ignored: it comes from another start of the upstream, for which the
// request was not meant.
func (n *noticeHandler) receive(u *roster.Upstream, status int, h http.Header) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	r := n.wire.ReadNotice(status, h)
	// An answer that names no client's request may leave out the limit although answers to requests
	// announce it, so it must not end the limit.
	served := r.Request != "" && status >= http.StatusOK && status < http.StatusMultipleChoices
	before, after := u.ApplyNotice(r.Notice, served, time.Now())
	countNotice(n.metrics.Notice, r.Notice.Leaving, r.Notice.Wait > 0, r.Notice.Limited, r.Notice.Cold > 0)
	if len(r.Malformed) > 0 {
		n.metrics.Notice(noticeMalformed)
	}
	before.AnnouncedAt, before.ColdUntil = after.AnnouncedAt, after.ColdUntil
	if before != after {
		n.events.Record(event.UpstreamNotice, noticeFields(u, r.Request, after))
	}
	for _, o := range r.Malformed {
		if n.markReported(u, o.Name) {
			n.events.Record(event.NoticeOdd, timeline.Fields{
				"upstream": string(u.ID), "request": string(r.Request), "header": o.Name, "value": truncate(o.Value),
			})
		}
	}
}

// countNotice counts a notice by the label values of the metrics.
func countNotice(count func(string), leaving, wait, limited, cold bool) {
	if leaving {
		count(noticeLeaving)
	}
	if wait {
		count(noticeWait)
	}
	if limited {
		count(noticeLimit)
	}
	if cold {
		count(noticeCold)
	}
}

// countWritten counts a request that is written to an upstream with an active notice.
func (n *noticeHandler) countWritten(u *roster.Upstream) {
	s := u.NoticeStatus(time.Now())
	countNotice(n.metrics.NoticedSend, s.Leaving, !s.WaitUntil.IsZero(), !s.AnnouncedAt.IsZero(), s.ColdIntake > 0)
}

// markReported records that a malformed header of an upstream is logged, and reports whether it
// was not logged before.
func (n *noticeHandler) markReported(u *roster.Upstream, header string) bool {
	n.mu.Lock()
	headers, ok := n.reported[u]
	if !ok {
		headers = make(map[string]bool)
		n.reported[u] = headers
	}
	seen := headers[header]
	headers[header] = true
	n.mu.Unlock()
	if !ok {
		u.OnRemoved(func() { n.forget(u) })
	}
	return !seen
}

func (n *noticeHandler) forget(u *roster.Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.reported, u)
}

func noticeFields(u *roster.Upstream, id fleet.RequestID, s roster.NoticeStatus) timeline.Fields {
	f := timeline.Fields{"upstream": string(u.ID), "request": string(id), "leaving": strconv.FormatBool(s.Leaving)}
	if !s.AnnouncedAt.IsZero() {
		f["intake"] = s.Announced.String()
	}
	if s.ColdIntake > 0 {
		f["cold_ms"] = timeline.Millis(time.Until(s.ColdUntil))
	}
	if !s.WaitUntil.IsZero() {
		f["wait_ms"] = timeline.Millis(time.Until(s.WaitUntil))
	}
	return f
}

// maxLoggedValue is how many bytes of a malformed header's value are logged.
const maxLoggedValue = 64

func truncate(v string) string {
	return v[:min(len(v), maxLoggedValue)]
}
