package daemon

import (
	"context"

	"toucanfall/fleet"
	"toucanfall/keyring"
	"toucanfall/ledger"
)

// applyWithdrawal withdraws a key for an accepted record of the log. It covers
// withdrawals that this VM received neither from an operator nor from a peer.
func (d *Daemon) applyWithdrawal(_ ledger.Raw, r ledger.Record, v ledger.Verdict) {
	if key, ok := ledger.WithdrawnKey(r); ok && v.Accepted() {
		d.keyring.Withdraw(keyring.Withdrawal{Key: key, By: r.Proposer, At: r.At})
		d.keyring.MarkLogged(key)
	}
}

// keyPeers exchanges key withdrawals with the other VMs.
type keyPeers struct{ daemon *Daemon }

// Peers returns the other VMs, and whether the VM list was read.
func (p keyPeers) Peers() ([]keyring.Peer, bool) {
	var out []keyring.Peer
	for _, m := range p.daemon.members.Members() {
		out = append(out, keyring.Peer{VM: m.VM.ID, Address: m.VM.Address, Digest: m.Beat.Withdrawals, Answering: m.Answering})
	}
	return out, p.daemon.members.ListRead()
}

// Tell sends withdrawals to the peer at an address.
func (p keyPeers) Tell(ctx context.Context, address string, ws []keyring.Withdrawal) error {
	return p.daemon.peerClient.Call(ctx, address, "Keys.Tell", ws, &None{})
}

// Compare sends the digests of this VM's withdrawals to a peer, which returns
// those of the buckets that differ.
func (p keyPeers) Compare(ctx context.Context, address string, b keyring.Buckets) (keyring.Difference, error) {
	var d keyring.Difference
	err := p.daemon.peerClient.Call(ctx, address, "Keys.Compare", b, &d)
	return d, err
}

// keyService serves key withdrawals to peers over net/rpc.
type keyService struct{ daemon *Daemon }

// Tell receives withdrawals from a peer.
func (s *keyService) Tell(ws []keyring.Withdrawal, _ *None) error {
	s.daemon.replicator.Receive(ws)
	return nil
}

// Compare returns the withdrawals of this VM in the buckets that differ from b.
func (s *keyService) Compare(b keyring.Buckets, reply *keyring.Difference) error {
	*reply = s.daemon.keyring.Difference(b)
	return nil
}

// keyLog gives the keyring access to the withdrawals in the log.
type keyLog struct {
	follower *ledger.Follower
	loaded   func() bool
}

// Reachable reports whether the log answers.
func (l keyLog) Reachable() bool { return l.follower.Reachable() }

// Loaded reports whether the replicated state was loaded.
func (l keyLog) Loaded() bool { return l.loaded() }

// Logged returns the withdrawals in the replicated state.
func (l keyLog) Logged() []keyring.Withdrawal {
	var out []keyring.Withdrawal
	for _, e := range l.follower.State.Withdrawn.Entries() {
		out = append(out, keyring.Withdrawal{Key: e.Value.Key, By: e.Proposer})
	}
	return out
}

// Has reports whether the replicated state has a withdrawal of the key.
func (l keyLog) Has(id fleet.KeyID) bool {
	_, ok := l.follower.State.Withdrawn.Get(id)
	return ok
}

// Append proposes a withdrawal on behalf of the operator who issued it. It
// fails if the record is not appended or is rejected.
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
