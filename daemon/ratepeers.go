package daemon

import (
	"context"
	"fmt"
	"time"

	"toucanfall/fleet"
	"toucanfall/membership"
	"toucanfall/rate"
	"toucanfall/settings"
)

// Limit returns what a team may use over all VMs together.
func (r *rates) Limit(key rate.Key) rate.Limit {
	scope := settings.Scope{Team: fleet.TeamID(key)}
	return rate.NewLimit(
		settings.Number(r.state.Setting, scope, settings.RateTokensPerSecond),
		settings.Number(r.state.Setting, scope, settings.BurstTokens),
	)
}

// Own returns the VM's share of a limit.
func (r *rates) Own(key rate.Key) rate.Limit {
	return r.shareHolder.Minting(time.Now(), key)
}

// Lenders returns the VMs that mint a key and answer.
func (r *rates) Lenders(key rate.Key) []rate.Lender {
	limit := r.Limit(key)
	var out []rate.Lender
	for _, m := range r.daemon.members.Members() {
		if !m.Answering {
			continue
		}
		e, _ := r.state.Minters.Get(m.Beat.DataCentre)
		own := rate.Terms(e.Value, m.VM.ID, len(r.daemon.cfg.DataCentres), key, limit)
		if own.Rate > 0 || own.Burst > 0 {
			out = append(out, rate.Lender{VM: m.VM.ID, Own: own})
		}
	}
	return out
}

// Borrow sends an ask to a VM.
func (r *rates) Borrow(ctx context.Context, to fleet.VMID, request rate.Ask) (rate.Answer, error) {
	address, ok := r.address(to)
	if !ok {
		return rate.Answer{}, fmt.Errorf("vm %q does not answer", to)
	}
	var answer rate.Answer
	err := r.daemon.links.Call(ctx, address, "Rate.Borrow", request, &answer)
	return answer, err
}

// Return gives tokens back to a VM.
func (r *rates) Return(ctx context.Context, to fleet.VMID, returned rate.Return) error {
	address, ok := r.address(to)
	if !ok {
		return fmt.Errorf("vm %q does not answer", to)
	}
	return r.daemon.links.Call(ctx, address, "Rate.Return", returned, &None{})
}

// heard takes the levels of another VM's heartbeat.
func (r *rates) receiveLevels(m membership.Member) {
	r.book.Heard(time.Now(), m.VM.ID, m.Beat.Levels)
}

// rateService is what this VM offers its peers.
type rateService struct {
	rates *rates
}

// Borrow answers an ask.
func (s *rateService) Borrow(request rate.Ask, reply *rate.Answer) error {
	if err := request.Check(); err != nil {
		return err
	}
	*reply = s.rates.shareHolder.Lend(time.Now(), request)
	return nil
}

// Return takes back what was lent.
func (s *rateService) Return(returned rate.Return, _ *None) error {
	s.rates.shareHolder.TakeBack(time.Now(), returned)
	return nil
}

// Vouch answers whether this VM vouches for another one.
func (s *rateService) Vouch(args rate.VouchArgs, reply *rate.VouchReply) error {
	r := s.rates
	e, _ := r.state.Minters.Get(r.daemon.cfg.DataCentre)
	reply.Vouched = rate.Vouch(time.Now(), r.shareHolder, e.Value, r.daemon.cfg.VM, args.For)
	return nil
}
