package prefill

import (
	"math"
	"time"
)

// Prior of an engine's speed, as observations that never decay: the time to the first event
// without other prompts, and with priorTokens of them.
const (
	priorLatency       = 40 * time.Millisecond
	priorTokens        = 6000.0
	priorTokensLatency = 340 * time.Millisecond
	priorWeight        = 1.0
)

// Bounds of the estimates and of the window.
const (
	// sampleDecay is the time constant with which observations lose their weight.
	sampleDecay = 10 * time.Second
	minLatency  = 5 * time.Millisecond
	// maxLatencyFraction bounds the estimated latency to a part of the pause, so that some
	// window is left.
	maxLatencyFraction = 0.5
	// minMillisPerToken and maxMillisPerToken bound the estimated reading time of a token.
	minMillisPerToken = 1.0 / 200
	maxMillisPerToken = 1.0 / 4
	// maxSample and maxSampleTokens bound one observation: a longer time was not spent reading
	// prompts, and more tokens were not granted.
	maxSample       = 3 * time.Second
	maxSampleTokens = 2 * maxWindow
	// pauseFraction is the part of the permitted pause that prompts may fill.
	pauseFraction = 0.65
	minWindow     = 1500
	maxWindow     = 40000
)

// estimator estimates an engine's reading speed by linear regression of the time to the first
// event on the prompt tokens that were outstanding when the credit was granted. The sums of
// the observations decay.
type estimator struct {
	weight, tokens, millis, tokensSquared, tokensMillis float64
	updated                                             time.Time
}

// add adds an observation.
func (e *estimator) add(now time.Time, tokens float64, latency time.Duration) {
	e.decay(now)
	ms := millis(min(latency, maxSample))
	tokens = min(tokens, maxSampleTokens)
	e.weight++
	e.tokens += tokens
	e.millis += ms
	e.tokensSquared += tokens * tokens
	e.tokensMillis += tokens * ms
}

func (e *estimator) decay(now time.Time) {
	f := math.Exp(-float64(now.Sub(e.updated)) / float64(sampleDecay))
	if e.updated.IsZero() {
		f = 0
	}
	e.updated = now
	e.weight *= f
	e.tokens *= f
	e.millis *= f
	e.tokensSquared *= f
	e.tokensMillis *= f
}

// estimate returns the latency without prompts and the reading time of a token, both in ms.
func (e *estimator) estimate(now time.Time) (latency, perToken float64) {
	e.decay(now)
	n := e.weight + 2*priorWeight
	x := e.tokens + priorWeight*priorTokens
	y := e.millis + priorWeight*(millis(priorLatency)+millis(priorTokensLatency))
	xx := e.tokensSquared + priorWeight*priorTokens*priorTokens
	xy := e.tokensMillis + priorWeight*priorTokens*millis(priorTokensLatency)
	perToken = min(max((n*xy-x*y)/(n*xx-x*x), minMillisPerToken), maxMillisPerToken)
	return max((y-perToken*x)/n, millis(minLatency)), perToken
}

// window returns how many outstanding tokens pause a stream for no longer than maxPause.
func (e *estimator) window(now time.Time, maxPause time.Duration) float64 {
	latency, perToken := e.estimate(now)
	pause := millis(maxPause)
	latency = min(latency, maxLatencyFraction*pause)
	return min(max((pauseFraction*pause-latency)/perToken, minWindow), maxWindow)
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func fromMillis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
