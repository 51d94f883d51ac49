package group

import (
	"time"

	"toucanfall/internal/logpos"
)

// ObserveEra records the era of the store. If it is a later one, this VM gives up its claim and its share of
// the rates until its next join, which it makes at once: both rest on records that may be lost.
func (m *Membership) ObserveEra(era int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.enterEra(era) {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

// enterEra is ObserveEra without the join. It reports whether the era is a later one. The first era that
// this process learns by a join is not: nothing rests on a former one. The caller holds mu.
func (m *Membership) enterEra(era int64) bool {
	if era <= m.era {
		return false
	}
	joined := m.joinedEra == m.era
	m.era = era
	if m.confirmedAt == 0 {
		return false
	}
	m.eraSeenAt = m.cfg.Now()
	if m.leaving {
		return true
	}
	// Partitions that others hold in the former era may be assigned to this VM, and the other way round. As
	// long as some VM may use its former share, none uses more than its own. VMs that are in contact with the
	// store learn of the era by their next join.
	if joined {
		m.formerShare = m.share
	}
	m.formerUntil = m.confirmedAt + m.followerInterval() + m.followerSessionTimeout()
	m.ownClaimAllowedAt = m.ordersAllowedAt
	m.loseLeadership(min(m.eraSeenAt, m.confirmedAt+leadershipLease))
	m.memberListGeneration, m.rereadOwners = -1, true
	m.setShare(m.share, m.eraSeenAt) // Nothing accrues from now on; tokens that have accrued stay.
	return true
}

// copyWait returns until when this VM, to which partition 0 was assigned at since, has to wait before it
// makes the first claim in an era of the store. The last claims before may be lost, so it waits as for a holder
// that did not release its claim.
func (m *Membership) copyWait(last Claim, since time.Duration) time.Duration {
	if logpos.Position(last.Next).Era() == 0 || !last.copied() {
		return 0
	}
	return max(since, m.eraSeenAt) + m.successorWait()
}
