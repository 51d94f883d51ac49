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
	noticeLeaving   = "leaving"
	noticeWait      = "wait"
	noticeLimit     = "intake"
	noticeMalformed = "odd"
)

// notices takes over what upstreams say of themselves in their answers, and tells
// operators.
type noticeHandler struct {
	wire    Wire
	events  *timeline.Recorder
	metrics *metric.Set

	mu sync.Mutex
	// odd are the headers that were told as odd, by upstream.
	reported map[*roster.Upstream]map[string]bool
}

func newNoticeHandler(cfg Config) *noticeHandler {
	return &noticeHandler{wire: cfg.Wire, events: cfg.Events, metrics: cfg.Metrics, reported: make(map[*roster.Upstream]map[string]bool)}
}

// hear takes over the notice in the head of an answer, to a request or to a question of this
// VM's own. Another start of the upstream answers what was not meant for it with 421.
func (n *noticeHandler) receive(u *roster.Upstream, status int, h http.Header) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	r := n.wire.ReadSaid(status, h)
	// A report may leave out what the answers to requests name.
	served := r.Request != "" && status >= http.StatusOK && status < http.StatusMultipleChoices
	before, after := u.Hear(r.Notice, served, time.Now())
	countNotice(n.metrics.Notice, r.Notice.Leaving, r.Notice.Wait > 0, r.Notice.Limited)
	if len(r.Odd) > 0 {
		n.metrics.Notice(noticeMalformed)
	}
	if before.Named = after.Named; before != after {
		n.events.Record(event.UpstreamNotice, noticeFields(u, r.Request, after))
	}
	for _, o := range r.Odd {
		if n.markReported(u, o.Name) {
			n.events.Record(event.NoticeOdd, timeline.Fields{
				"upstream": string(u.ID), "request": string(r.Request), "header": o.Name, "value": truncate(o.Value),
			})
		}
	}
}

// tell counts what an upstream has said, by the names of metrics.
func countNotice(count func(string), leaving, wait, intake bool) {
	if leaving {
		count(noticeLeaving)
	}
	if wait {
		count(noticeWait)
	}
	if intake {
		count(noticeLimit)
	}
}

// written counts a request that is written to an upstream that has spoken of itself.
func (n *noticeHandler) countWritten(u *roster.Upstream) {
	s := u.Standing(time.Now())
	countNotice(n.metrics.Noticed, s.Leaving, !s.Until.IsZero(), s.Limited)
}

// first reports whether a header of an upstream has not been told as odd before.
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
		u.OnGone(func() { n.forget(u) })
	}
	return !seen
}

func (n *noticeHandler) forget(u *roster.Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.reported, u)
}

func noticeFields(u *roster.Upstream, id fleet.RequestID, s roster.Standing) timeline.Fields {
	f := timeline.Fields{"upstream": string(u.ID), "request": string(id), "leaving": strconv.FormatBool(s.Leaving)}
	if s.Limited {
		f["intake"] = s.Intake.String()
	}
	if !s.Until.IsZero() {
		f["wait_ms"] = timeline.Millis(time.Until(s.Until))
	}
	return f
}

// maxOddValue is how much of an odd header the log shows.
const maxLoggedValue = 64

func truncate(v string) string {
	return v[:min(len(v), maxLoggedValue)]
}
