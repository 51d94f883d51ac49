package relay

import (
	"fmt"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/group"
	"toucanfall/internal/logpos"
	"toucanfall/quarantine"
	"toucanfall/timeline"
)

// Times for which a request is held.
const (
	// minAnswerDelay is how long a request is held if there is only a newer confirmation
	// for it and no update. It limits the rate of messages to a VM without updates.
	minAnswerDelay = 150 * time.Millisecond
	// maxAnswerDelay is how long a request is held at most.
	maxAnswerDelay = 400 * time.Millisecond
)

// ServiceName is the name under which the service is registered for peers.
const ServiceName = "Relay"

// ReportLog holds the crash reports that this VM knows.
type ReportLog interface {
	// Since returns the reports after a position, the position up to which the log was read, and when
	// it was last confirmed on the clock of the service, 0 if never.
	Since(from Position) ([]quarantine.Report, Position, time.Duration)
}

// ServiceConfig holds the dependencies of a Service.
type ServiceConfig struct {
	Directory  *Directory
	Catalogue  *catalogue.Holder
	Membership *group.Membership
	Reports    ReportLog
	// ApplyDocument is called with a configuration document of a higher version than this VM's.
	ApplyDocument func(document []byte) error
	Events        *timeline.Recorder
	// Self identifies this VM in marks.
	Self group.Member
	// Now is a monotonic clock that also counts suspended time.
	Now func() time.Duration
}

// Service answers the requests of other VMs from the state of this one. It is safe for
// concurrent use.
type Service struct {
	cfg            ServiceConfig
	packedDocument packedCache[catalogue.Version]
	transfers      *transfers

	mu sync.Mutex
	// changed is closed and replaced at each call of NotifyFollowers. It is guarded by mu.
	changed chan struct{}
}

// NewService returns a service. Register its [Service.Peer] under [ServiceName].
func NewService(cfg ServiceConfig) *Service {
	return &Service{cfg: cfg, transfers: newTransfers(), changed: make(chan struct{})}
}

// NotifyFollowers wakes the held requests. It must be called after this VM has applied an
// update or a newer confirmation.
func (s *Service) NotifyFollowers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) changeSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Peer holds the methods that peers may call.
type Peer struct{ s *Service }

// Peer returns the receiver to register for calls by peers.
func (s *Service) Peer() *Peer {
	return &Peer{s}
}

// Follow answers a request once there is an update or a newer confirmation, and at the
// latest after maxAnswerDelay. The large parts of an answer are left out while others receive
// theirs. It never fails.
func (p *Peer) Follow(in Ask, out *News) error {
	s, receivedAt := p.s, p.s.cfg.Now()
	s.applyDocument(&in)
	s.transfers.end(in.VM)
	s.waitForNews(in)
	*out = s.answer(in, receivedAt)
	if out.size() <= maxSmallAnswer || in.VM == "" {
		return nil // VMs of earlier versions do not name themselves, and do not wait for a transfer.
	}
	begun := s.transfers.wait(in.VM, out.size(), maxAnswerDelay-(s.cfg.Now()-receivedAt), s.cfg.Now)
	*out = s.answer(in, receivedAt) // The state may have changed during the wait.
	if !begun {
		out.withholdLarge()
	}
	return nil
}

// applyDocument applies the configuration in a request if it is newer than this VM's.
func (s *Service) applyDocument(in *Ask) {
	if version, _, _ := s.cfg.Catalogue.ConfirmedVersion(); len(in.Document) == 0 || in.Config <= version {
		return
	}
	b, err := in.Configuration()
	if err == nil {
		err = s.cfg.ApplyDocument(b)
	}
	if err != nil {
		s.cfg.Events.Record(event.GatewayFault, timeline.Fields{"reason": fmt.Sprintf("configuration %d of a follower: %v", in.Config, err)})
	}
}

// PackedDocument returns this VM's configuration for an [Ask], nil if it has no higher version than the
// given one.
func (s *Service) PackedDocument(than catalogue.Version) []byte {
	cfg, _ := s.cfg.Catalogue.Confirmed()
	if cfg == nil || cfg.Version <= than {
		return nil
	}
	return s.packedDocument.get(cfg.Version, func() any { return cfg.Document })
}

// addEras returns the request with the current eras added to its positions if its VM knows only offsets.
// The offsets of such a VM may be of a former era, which it cannot tell either when it reads the store.
func (s *Service) addEras(in Ask) Ask {
	if in.KnowsEras {
		return in
	}
	directory, _ := s.cfg.Directory.ConfirmedPosition()
	_, reports, _ := s.cfg.Reports.Since(in.Reports)
	evacuations := s.cfg.Catalogue.Evacuations().Position
	in.Directory = logpos.At(directory.Era(), in.Directory.Offset())
	in.Reports = logpos.At(reports.Era(), in.Reports.Offset())
	in.Evacuations = logpos.At(evacuations.Era(), in.Evacuations.Offset())
	return in
}

// removeEras leaves only the offsets of the positions of an answer.
func removeEras(n *News) {
	n.Directory = Position(n.Directory.Offset())
	n.ReportsAt = Position(n.ReportsAt.Offset())
	n.EvacuationsAt = Position(n.EvacuationsAt.Offset())
}

// waitForNews waits until there is an update, or after minAnswerDelay a newer confirmation,
// but no longer than maxAnswerDelay.
func (s *Service) waitForNews(in Ask) {
	minTimer, maxTimer := time.NewTimer(minAnswerDelay), time.NewTimer(maxAnswerDelay)
	defer minTimer.Stop()
	defer maxTimer.Stop()
	beforeMin := true
	for {
		changed := s.changeSignal()
		if s.hasNews(in) || !beforeMin && s.hasNewerConfirmation(in.Mark) {
			return
		}
		select {
		case <-changed:
		case <-minTimer.C:
			beforeMin = false
		case <-maxTimer.C:
			return
		}
	}
}

// hasNews reports whether this VM has an update for the requester.
func (s *Service) hasNews(in Ask) bool {
	in = s.addEras(in)
	version, _, ok := s.cfg.Catalogue.ConfirmedVersion()
	members, _ := s.cfg.Membership.MemberList()
	membersChanged := in.Mark.VM == s.cfg.Self.VM() && members.Fingerprint != in.Mark.Print
	_, reports, _ := s.cfg.Reports.Since(in.Reports)
	reportsAdded := in.WantsReports && reports > in.Reports
	evacuations := s.cfg.Catalogue.Evacuations()
	evacuationsChanged := in.WantsEvacuations && evacuations.Known && evacuations.Position > in.Evacuations
	return ok && version > in.Config || evacuationsChanged || s.cfg.Directory.hasUpdateFor(in.Directory) || membersChanged || reportsAdded
}

// hasNewerConfirmation reports whether this VM has a newer confirmation than the one in the
// mark that it sent earlier.
func (s *Service) hasNewerConfirmation(m Mark) bool {
	_, config := s.cfg.Catalogue.Confirmed()
	_, directory := s.cfg.Directory.ConfirmedPosition()
	if config == 0 || directory == 0 {
		return false // This VM has just started itself.
	}
	return m.VM != s.cfg.Self.VM() || directory > m.Directory || config > m.Config
}

// answer returns what this VM knows, for a request that was received at receivedAt.
func (s *Service) answer(in Ask, receivedAt time.Duration) News {
	now := s.cfg.Now()
	in = s.addEras(in)
	out := News{Held: now - receivedAt, ConfigAge: UnknownAge, RollAge: UnknownAge, Mark: Mark{VM: s.cfg.Self.VM()}}
	s.cfg.Directory.fillNews(in.Directory, now, &out)
	// The confirmation is read first: one that comes later may be of later evacuations.
	cfg, confirmedAt := s.cfg.Catalogue.Confirmed()
	if e := s.cfg.Catalogue.Evacuations(); in.WantsEvacuations && e.Known {
		out.Evacuated, out.EvacuationsAt, out.HasEvacuations = e.DataCentres, e.Position, true
	}
	if confirmedAt > 0 {
		out.ConfigAge, out.Mark.Config = now-confirmedAt, confirmedAt
	}
	if cfg != nil {
		out.Config = cfg.Version
		if cfg.Version > in.Config {
			out.Document = s.packedDocument.get(cfg.Version, func() any { return cfg.Document })
		}
	}
	if reports, position, at := s.cfg.Reports.Since(in.Reports); at > 0 && in.WantsReports {
		out.Reports, out.ReportsAt, out.ReportsAge, out.HasReports = reports, position, now-at, true
	}
	if members, at := s.cfg.Membership.MemberList(); len(members.Members) > 0 {
		out.Coordinator, out.Print, out.RollAge, out.Mark.Print = members.Coordinator, members.Fingerprint, now-at, members.Fingerprint
		if members.Fingerprint != in.Members {
			out.Members = members.Members
		}
	}
	if !in.KnowsEras {
		removeEras(&out)
	}
	return out
}
