package rate

import (
	"math"
	"math/bits"
	"time"

	"toucanfall/fleet"
)

// Key names what is limited: a team's tokens, or another thing that the whole
// fleet shares.
type Key string

// TeamKey returns the key of a team's tokens.
func TeamKey(team fleet.TeamID) Key {
	return Key(team)
}

// Amount counts millionths of a token, so that sums are exact.
type Amount int64

// One is the amount of one token.
const One Amount = 1_000_000

// maxAmount bounds amounts that come from settings. Two of them can be added.
const maxAmount Amount = math.MaxInt64 / 4

// FromTokens returns the amount of n tokens.
func FromTokens(n fleet.Tokens) Amount {
	if n >= fleet.Tokens(maxAmount/One) {
		return maxAmount
	}
	return Amount(n) * One
}

// fromNumber returns the amount of a number of tokens from the settings.
func fromNumber(n float64) Amount {
	if n >= float64(maxAmount/One) {
		return maxAmount
	}
	return Amount(n * float64(One))
}

// Tokens returns the whole tokens in a.
func (a Amount) Tokens() fleet.Tokens {
	return fleet.Tokens(a / One)
}

// Limit is a rate a second and a burst.
type Limit struct {
	Rate  Amount `json:"rate"`
	Burst Amount `json:"burst"`
}

// NewLimit returns the limit of settings in tokens.
func NewLimit(ratePerSecond, burst float64) Limit {
	return Limit{Rate: fromNumber(ratePerSecond), Burst: fromNumber(burst)}
}

// Minted returns what a rate yields in d, rounded down.
func (l Limit) Accrued(d time.Duration) Amount {
	if d <= 0 || l.Rate <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(l.Rate), uint64(d))
	if hi >= uint64(time.Second) {
		return maxAmount
	}
	q, _ := bits.Div64(hi, lo, uint64(time.Second))
	return Amount(min(q, uint64(maxAmount)))
}

// TimeFor returns how long the rate takes to yield a, rounded up.
func (l Limit) AccrualTime(a Amount) time.Duration {
	if a <= 0 {
		return 0
	}
	if l.Rate <= 0 {
		return math.MaxInt64
	}
	seconds := math.Ceil(float64(a) / float64(l.Rate) * float64(time.Second))
	if seconds >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(seconds)
}
