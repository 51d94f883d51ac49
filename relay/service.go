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
	leastHold = 150 * time.Millisecond
	// mostHold is when a question is answered in any case.
	mostHold = 400 * time.Millisecond
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
	cfg      ServiceConfig
	document packed[catalogue.Version]

	mu sync.Mutex
	// changed is closed when something is learned.
	changed chan struct{}
}

// NewService returns a service.
func NewService(cfg ServiceConfig) *Service {
	return &Service{cfg: cfg, changed: make(chan struct{})}
}

// Learned tells that this VM has learned something, or has a younger proof.
func (s *Service) NotifyFollowers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) next() <-chan struct{} {
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
	began := p.s.cfg.Now()
	p.s.hold(in)
	*out = p.s.answer(in, began)
	return nil
}

// hold waits until the question is worth an answer.
func (s *Service) hold(in Ask) {
	least, most := time.NewTimer(leastHold), time.NewTimer(mostHold)
	defer least.Stop()
	defer most.Stop()
	early := true
	for {
		changed := s.next()
		if s.hasNews(in) || !early && s.younger(in.Mark) {
			return
		}
		select {
		case <-changed:
		case <-least.C:
			early = false
		case <-most.C:
			return
		}
	}
}

// hasNews reports whether this VM knows something that the asking one does not.
func (s *Service) hasNews(in Ask) bool {
	version, _, ok := s.cfg.Catalogue.ConfirmedVersion()
	roll, _ := s.cfg.Crew.MemberList()
	moved := in.Mark.VM == s.cfg.Self.VM() && roll.Fingerprint != in.Mark.Print
	return ok && version > in.Config || s.cfg.Directory.newsFor(in.Directory) || moved
}

// younger reports whether this VM has a younger proof than one that it gave.
func (s *Service) younger(m Mark) bool {
	_, config := s.cfg.Catalogue.Confirmed()
	_, directory := s.cfg.Directory.ConfirmedPosition()
	if config == 0 || directory == 0 {
		return false // This VM has just started itself.
	}
	return m.VM != s.cfg.Self.VM() || directory > m.Directory || config > m.Config
}

// answer tells what this VM knows, to a question that came at a time.
func (s *Service) answer(in Ask, began time.Duration) News {
	now := s.cfg.Now()
	out := News{Held: now - began, ConfigAge: UnknownAge, RollAge: UnknownAge, Mark: Mark{VM: s.cfg.Self.VM()}}
	s.cfg.Directory.tell(in.Directory, now, &out)
	cfg, proved := s.cfg.Catalogue.Confirmed()
	if proved > 0 {
		out.ConfigAge, out.Mark.Config = now-proved, proved
	}
	if cfg != nil {
		out.Config = cfg.Version
		if cfg.Version > in.Config {
			out.Document = s.document.of(cfg.Version, func() any { return cfg.Document })
		}
	}
	if roll, at := s.cfg.Crew.MemberList(); len(roll.Members) > 0 {
		out.Coordinator, out.Print, out.RollAge, out.Mark.Print = roll.Coordinator, roll.Fingerprint, now-at, roll.Fingerprint
		if roll.Fingerprint != in.Members {
			out.Members = roll.Members
		}
	}
	return out
}
