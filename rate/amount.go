package rate

import (
	"math"
	"math/bits"
	"time"

	"toucanfall/fleet"
)

// Key identifies a limited resource: the tokens of a team, or another resource
// that the whole fleet shares.
type Key string

// TeamKey returns the key for the tokens of a team.
func TeamKey(team fleet.TeamID) Key {
	return Key(team)
}

// Amount is a number of tokens in millionths. Sums of integers are exact.
type Amount int64

// One is the amount of one token.
const One Amount = 1_000_000

// maxAmount bounds amounts that come from settings. The sum of two of them does
// not overflow.
const maxAmount Amount = math.MaxInt64 / 4

// FromTokens converts n tokens to an amount, at most maxAmount.
func FromTokens(n fleet.Tokens) Amount {
	if n >= fleet.Tokens(maxAmount/One) {
		return maxAmount
	}
	return Amount(n) * One
}

// fromFloat converts a number of tokens from the settings to an amount, at most
// maxAmount.
func fromFloat(n float64) Amount {
	if n >= float64(maxAmount/One) {
		return maxAmount
	}
	return Amount(n * float64(One))
}

// Tokens converts a to tokens, rounded down.
func (a Amount) Tokens() fleet.Tokens {
	return fleet.Tokens(a / One)
}

// Limit is a rate per second and a burst.
type Limit struct {
	Rate  Amount `json:"rate"`
	Burst Amount `json:"burst"`
}

// NewLimit returns a limit given in tokens per second and tokens.
func NewLimit(ratePerSecond, burst float64) Limit {
	return Limit{Rate: fromFloat(ratePerSecond), Burst: fromFloat(burst)}
}

// Accrued returns the amount that accrues at the rate in d, rounded down.
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

// AccrualTime returns how long a takes to accrue at the rate, rounded up.
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
