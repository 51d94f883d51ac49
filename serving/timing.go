package serving

import "time"

// answerTiming measures when the chunks of an answer were sent: callers judge a stream by the time
// to its first event and by the longest pause after it. All durations except longestPause are
// measured from received.
type answerTiming struct {
	received     time.Time
	firstChunk   time.Duration
	longestPause time.Duration
	// longestPauseEnd is when the longest pause ended.
	longestPauseEnd time.Duration
	lastChunk       time.Time
	chunks          int
}

// recordChunk records that a chunk of the answer was sent to the client.
func (p *answerTiming) recordChunk(now time.Time) {
	if p.chunks == 0 {
		p.firstChunk = now.Sub(p.received)
	} else {
		if d := now.Sub(p.lastChunk); d > p.longestPause {
			p.longestPause, p.longestPauseEnd = d, now.Sub(p.received)
		}
	}
	p.lastChunk = now
	p.chunks++
}
