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

// Guards against earned tokens that last longer than the bound on retries assumes, or that are counted
// twice, whatever is earned, taken and put back.
func TestEarningsExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := RetryLimit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		e := limit.newEarnings()
		lifetime := earningSlots * e.slotLength
		now := time.Hour
		var earned, returned []time.Duration
		var taken Tokens
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			e.advance(now)
			switch action := rapid.IntRange(0, 2).Draw(t, "action"); {
			case action == 0:
				*e.slot(0) += e.perRequest
				earned = append(earned, now)
			case action == 1:
				taken += e.take(1)
			case taken >= 1:
				taken--
				before := e.sum()
				e.putBack(1)
				if math.Abs(float64(e.sum()-before-1)) > 1e-9 {
					t.Fatalf("%g tokens after one was put back to %g", e.sum(), before)
				}
				returned = append(returned, now)
			}
			var recent Tokens
			for _, at := range returned {
				if now-at < (earningSlots-ownSlots)*e.slotLength {
					recent++
				}
			}
			for _, at := range earned {
				if now-at < lifetime {
					recent += e.perRequest
				}
			}
			if e.sum() > recent+1e-9 || taken+e.sum() > Tokens(len(earned))*e.perRequest+1e-9 {
				t.Fatalf("%g tokens of %g earned recently, %g taken", e.sum(), recent, taken)
			}
		}
	})
}
