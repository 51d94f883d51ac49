package relay

import (
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/crew"
)

// Times of a question.
const (
	// leastHold is how long a question is held that there is no news for, though there
	// is a younger proof: so many messages a second a VM gets at most without news.
	minAnswerDelay = 150 * time.Millisecond
	// mostHold is when a question is answered in any case.
	maxAnswerDelay = 400 * time.Millisecond
)

// ServiceName is the name of the service at peers.
const ServiceName = "Relay"

// ServiceConfig holds the dependencies of a Service.
type ServiceConfig struct {
	Directory *Directory
	Catalogue *catalogue.Holder
	Crew      *crew.Crew
	// Self names this VM in marks.
	Self crew.Member
	// Now is a clock that goes on while the machine sleeps.
	Now func() time.Duration
}

// Service answers the questions of other VMs from what this one knows.
type Service struct {
	cfg            ServiceConfig
	packedDocument packedCache[catalogue.Version]

	mu sync.Mutex
	// changed is closed when something is learned.
	changed chan struct{}
}

// NewService returns a service.
func NewService(cfg ServiceConfig) *Service {
	return &Service{cfg: cfg, changed: make(chan struct{})}
}

// Learned tells that this VM has learned something, or has a younger proof.
func (s *Service) Learned() {
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

// Peer is the service as peers call it.
type Peer struct{ s *Service }

// Peer returns what peers may call.
func (s *Service) Peer() *Peer {
	return &Peer{s}
}

// Follow answers a question once there is news.
func (p *Peer) Follow(in Ask, out *News) error {
	receivedAt := p.s.cfg.Now()
	p.s.waitForNews(in)
	*out = p.s.answer(in, receivedAt)
	return nil
}

// hold waits until the question is worth an answer.
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

// hasNews reports whether this VM knows something that the asking one does not.
func (s *Service) hasNews(in Ask) bool {
	version, _, ok := s.cfg.Catalogue.Proof()
	members, _ := s.cfg.Crew.Roll()
	membersChanged := in.Mark.VM == s.cfg.Self.VM() && members.Print != in.Mark.Print
	return ok && version > in.Config || s.cfg.Directory.hasUpdateFor(in.Directory) || membersChanged
}

// younger reports whether this VM has a younger proof than one that it gave.
func (s *Service) hasNewerConfirmation(m Mark) bool {
	_, config := s.cfg.Catalogue.Proved()
	_, directory := s.cfg.Directory.Proof()
	if config == 0 || directory == 0 {
		return false // This VM has just started itself.
	}
	return m.VM != s.cfg.Self.VM() || directory > m.Directory || config > m.Config
}

// answer tells what this VM knows, to a question that came at a time.
func (s *Service) answer(in Ask, receivedAt time.Duration) News {
	now := s.cfg.Now()
	out := News{Held: now - receivedAt, ConfigAge: Unknown, RollAge: Unknown, Mark: Mark{VM: s.cfg.Self.VM()}}
	s.cfg.Directory.fillNews(in.Directory, now, &out)
	cfg, confirmedAt := s.cfg.Catalogue.Proved()
	if confirmedAt > 0 {
		out.ConfigAge, out.Mark.Config = now-confirmedAt, confirmedAt
	}
	if cfg != nil {
		out.Config = cfg.Version
		if cfg.Version > in.Config {
			out.Document = s.packedDocument.get(cfg.Version, func() any { return cfg.Document })
		}
	}
	if members, at := s.cfg.Crew.Roll(); len(members.Members) > 0 {
		out.Coordinator, out.Print, out.RollAge, out.Mark.Print = members.Coordinator, members.Print, now-at, members.Print
		if members.Print != in.Members {
			out.Members = members.Members
		}
	}
	return out
}
