package daemon

import (
	"context"

	"toucanfall/fleet"
	"toucanfall/keyring"
	"toucanfall/ledger"
)

// heedWithdrawal observes the log for withdrawals that no operator or peer
// told this VM.
func (d *Daemon) applyWithdrawal(_ ledger.Raw, r ledger.Record, v ledger.Verdict) {
	if key, ok := ledger.WithdrawnKey(r); ok && v.Accepted() {
		d.keyring.Withdraw(keyring.Withdrawal{Key: key, By: r.Proposer, At: r.At})
		d.keyring.Settle(key)
	}
}

// keyPeers calls the other VMs about withdrawals.
type keyPeers struct{ daemon *Daemon }

// Peers returns the other VMs.
func (p keyPeers) Peers() ([]keyring.Peer, bool) {
	var out []keyring.Peer
	for _, m := range p.daemon.members.Members() {
		out = append(out, keyring.Peer{VM: m.VM.ID, Address: m.VM.Address, Digest: m.Beat.Withdrawals, Answering: m.Answering})
	}
	return out, p.daemon.members.Known()
}

// Tell hands withdrawals to a peer.
func (p keyPeers) Tell(ctx context.Context, address string, ws []keyring.Withdrawal) error {
	return p.daemon.links.Call(ctx, address, "Keys.Tell", ws, &None{})
}

// Compare asks a peer for the withdrawals that differ.
func (p keyPeers) Compare(ctx context.Context, address string, b keyring.Buckets) (keyring.Difference, error) {
	var d keyring.Difference
	err := p.daemon.links.Call(ctx, address, "Keys.Compare", b, &d)
	return d, err
}

// keyService is what this VM offers its peers about withdrawals.
type keyService struct{ daemon *Daemon }

// Tell takes withdrawals from a peer.
func (s *keyService) Tell(ws []keyring.Withdrawal, _ *None) error {
	s.daemon.spread.Hear(ws)
	return nil
}

// Compare answers with the withdrawals that differ.
func (s *keyService) Compare(b keyring.Buckets, reply *keyring.Difference) error {
	*reply = s.daemon.keyring.Difference(b)
	return nil
}

// keyLog is the log as far as withdrawals go.
type keyLog struct {
	follower *ledger.Follower
	loaded   func() bool
}

// Reachable reports whether the log answers.
func (l keyLog) Reachable() bool { return l.follower.Reachable() }

// Loaded reports whether the ordered state was loaded.
func (l keyLog) Loaded() bool { return l.loaded() }

// Logged returns the withdrawals of the ordered state.
func (l keyLog) Logged() []keyring.Withdrawal {
	var out []keyring.Withdrawal
	for _, e := range l.follower.State.Withdrawn.Entries() {
		out = append(out, keyring.Withdrawal{Key: e.Value.Key, By: e.Proposer})
	}
	return out
}

// Has reports whether the ordered state holds the withdrawal of a key.
func (l keyLog) Has(id fleet.KeyID) bool {
	_, ok := l.follower.State.Withdrawn.Get(id)
	return ok
}

// Append appends a withdrawal in the name of the operator who gave it.
func (l keyLog) Append(ctx context.Context, w keyring.Withdrawal) error {
	r, err := ledger.NewRecord(ledger.KindWithdraw, w.By, w.At, 0, ledger.Withdrawal{Key: w.Key})
	if err != nil {
		return err
	}
	v, err := l.follower.Propose(ctx, r)
	if err != nil {
		return err
	}
	return v.Err()
}
