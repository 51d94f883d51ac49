package serving

import "time"

// pacing measures how the pieces of an answer came: callers judge a stream by
// its first event and by the longest pause after it.
type answerTiming struct {
	received     time.Time
	firstChunk   time.Duration
	longestPause time.Duration
	// longestAt is when the longest pause ended.
	longestPauseEnd time.Duration
	lastChunk       time.Time
	chunks          int
}

// piece notes that a piece of the answer went to the caller.
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
