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

// Limit returns a team's rate limit across all VMs.
func (r *rates) Limit(key rate.Key) rate.Limit {
	scope := settings.Scope{Team: fleet.TeamID(key)}
	return rate.NewLimit(
		settings.Number(r.state.Setting, scope, settings.RateTokensPerSecond),
		settings.Number(r.state.Setting, scope, settings.BurstTokens),
	)
}

// Own returns the VM's share of a limit.
func (r *rates) Own(key rate.Key) rate.Limit {
	return r.buckets.ActiveShare(time.Now(), key)
}

// Lenders returns the available VMs that hold a share of a key's limit.
func (r *rates) Lenders(key rate.Key) []rate.Lender {
	limit := r.Limit(key)
	var out []rate.Lender
	for _, m := range r.daemon.members.Members() {
		if !m.Answering {
			continue
		}
		e, _ := r.state.Minters.Get(m.Beat.DataCentre)
		own := rate.ShareOf(e.Value, m.VM.ID, len(r.daemon.cfg.DataCentres), key, limit)
		if own.Rate > 0 || own.Burst > 0 {
			out = append(out, rate.Lender{VM: m.VM.ID, Own: own})
		}
	}
	return out
}

// Borrow requests tokens from a VM. It fails if the VM does not answer.
func (r *rates) Borrow(ctx context.Context, to fleet.VMID, request rate.Ask) (rate.Answer, error) {
	address, ok := r.address(to)
	if !ok {
		return rate.Answer{}, fmt.Errorf("vm %q does not answer", to)
	}
	var answer rate.Answer
	err := r.daemon.peerClient.Call(ctx, address, "Rate.Borrow", request, &answer)
	return answer, err
}

// Return returns borrowed tokens to a VM. It fails if the VM does not answer.
func (r *rates) Return(ctx context.Context, to fleet.VMID, returned rate.Return) error {
	address, ok := r.address(to)
	if !ok {
		return fmt.Errorf("vm %q does not answer", to)
	}
	return r.daemon.peerClient.Call(ctx, address, "Rate.Return", returned, &None{})
}

// receiveLevels stores the bucket levels from another VM's heartbeat.
func (r *rates) receiveLevels(m membership.Member) {
	r.peerLevels.ReceiveDigest(time.Now(), m.VM.ID, m.Beat.Levels)
}

// rateService serves loans and share confirmations to peers over net/rpc.
type rateService struct {
	rates *rates
}

// Borrow lends tokens to a peer. It fails if the request is malformed.
func (s *rateService) Borrow(request rate.Ask, reply *rate.Answer) error {
	if err := request.Check(); err != nil {
		return err
	}
	*reply = s.rates.buckets.Lend(time.Now(), request)
	return nil
}

// Return takes back tokens that were lent to a peer.
func (s *rateService) Return(returned rate.Return, _ *None) error {
	s.rates.buckets.AcceptReturn(time.Now(), returned)
	return nil
}

// Vouch reports whether this VM confirms the share of another VM.
func (s *rateService) Vouch(args rate.VouchArgs, reply *rate.VouchReply) error {
	r := s.rates
	e, _ := r.state.Minters.Get(r.daemon.cfg.DataCentre)
	reply.Vouched = rate.Confirms(time.Now(), r.buckets, e.Value, r.daemon.cfg.VM, args.For)
	return nil
}
