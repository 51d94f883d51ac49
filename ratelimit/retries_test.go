package ratelimit

import (
	"bytes"
	"encoding/gob"
	"math"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

// Guards against harm at pool hosts of earlier versions, or with an earlier configuration, by messages
// about accounts that they do not know.
func TestUnknownRetryAccountsAreIgnored(t *testing.T) {
	is := is.New(t)
	p := NewPool(func() time.Duration { return time.Hour }, func() bool { return false }, RetryLimit{})
	p.Configure(catalogue.NewConfig(1, nil, nil, []*catalogue.Team{{ID: "team", Rate: 100, Burst: 1000}}, catalogue.Limits{}))
	id := retryAccount("service")
	unknown := map[fleet.TeamID]Tokens{id: 5}
	given, err := p.Take(Deposit{VM: "1", Share: 1, Spare: unknown, Earned: unknown}, id, 1, 1)
	is.NoErr(err)
	is.Equal(given, Tokens(0))
	is.Equal(p.tokens[id], Tokens(0))
	given, err = p.Take(Deposit{VM: "1", Share: 1, Spare: map[fleet.TeamID]Tokens{"team": 5, id: 5}}, "team", 5, 5)
	is.NoErr(err)
	is.Equal(given, Tokens(5))
}

// Guards against deposits that VMs of earlier versions, which do not know earned tokens, cannot read.
func TestEarlierVersionsReadDeposits(t *testing.T) {
	is := is.New(t)
	id := retryAccount("service")
	var message bytes.Buffer
	is.NoErr(gob.NewEncoder(&message).Encode(Deposit{VM: "1", Share: 0.5, Spare: map[fleet.TeamID]Tokens{"team": 5, id: 1}, Earned: map[fleet.TeamID]Tokens{id: 1}}))
	var earlier struct {
		VM    fleet.VMID
		Share float64
		Spare map[fleet.TeamID]Tokens
	}
	is.NoErr(gob.NewDecoder(&message).Decode(&earlier))
	is.Equal(earlier.Share, 0.5)
	is.Equal(earlier.Spare, map[fleet.TeamID]Tokens{"team": 5, id: 1})
}

// Guards against a team whose name is the ID of a retry account: documents hold valid UTF-8 only.
func TestNoTeamNameIsRetryAccount(t *testing.T) {
	is := is.New(t)
	is.True(!utf8.ValidString(string(retryAccount("service"))))
	is.True(isRetryAccount(retryAccount("service")))
	is.True(!isRetryAccount("retries/service"))
}

// Guards against earned tokens of before a window that, with those of the window, exceed the ratio: for
// steady traffic they are those of the time for which earnings last.
func TestEarningsFitIntoRatio(t *testing.T) {
	is := is.New(t)
	is.True(earnedFraction*(1+float64(earningSlots)/slotsPerWindow) <= 1)
}

// earningsHistory is what was done with the earnings of an account.
type earningsHistory struct {
	*earnings
	now time.Duration
	// earned and returned hold the times at which tokens were earned and put back.
	earned, returned []time.Duration
	taken            Tokens
}

// step draws one action.
func (h *earningsHistory) step(t *rapid.T) {
	h.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
	h.advance(h.now)
	if limit := carriedFraction * h.since(h.earned, slotsPerWindow) * h.perRequest; h.sum() > limit+1e-9 {
		t.Fatalf("%g tokens are kept where the requests of the last window allow %g", h.sum(), limit)
	}
	switch action := rapid.IntRange(0, 2).Draw(t, "action"); {
	case action == 0:
		h.add(h.perRequest, 0)
		h.earned = append(h.earned, h.now)
	case action == 1:
		h.taken += h.take(1)
	case h.taken >= 1:
		h.taken--
		before := h.sum()
		h.putBack(1)
		if math.Abs(float64(h.sum()-before-1)) > 1e-9 {
			t.Fatalf("%g tokens after one was put back to %g", h.sum(), before)
		}
		h.returned = append(h.returned, h.now)
	}
}

// since returns the number of times that are less than a number of slots ago.
func (h *earningsHistory) since(times []time.Duration, slots time.Duration) Tokens {
	var n Tokens
	for _, at := range times {
		if h.now-at < slots*h.slotLength {
			n++
		}
	}
	return n
}

// Guards against earned tokens that last longer than the bound on retries assumes, or that are counted
// twice, whatever is earned, taken and put back.
func TestEarningsExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := RetryLimit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		h := &earningsHistory{earnings: limit.newEarnings(0), now: time.Hour}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			h.step(t)
			recent := h.since(h.earned, earningSlots)*h.perRequest + h.since(h.returned, earningSlots-ownSlots)
			if h.sum() > recent+1e-9 || h.taken+h.sum() > Tokens(len(h.earned))*h.perRequest+1e-9 {
				t.Fatalf("%g tokens, %g earned or returned recently, %g taken", h.sum(), recent, h.taken)
			}
		}
	})
}
