package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
)

// Requests that a caller sends again have the same fingerprint, whatever their ids and queries, which it does not
// cover.
func ExampleFingerprint() {
	first := Fingerprint("team", "POST", "h.example", "/status/7", []byte("body"))
	again := Fingerprint("team", "POST", "H.example", "/status/7", []byte("body"))
	fmt.Println(first, again == first)
	// Output: r-07efab8344b656918b5e64c2b4896903 true
}

// Guards against requests that are refused for another request, of the same team or of another one (LOST).
func TestFingerprintsDiffer(t *testing.T) {
	is := is.New(t)
	seen := make(map[fleet.PartID]bool)
	for _, f := range [][5]string{
		{"team", "POST", "h", "/p", "body"}, {"other", "POST", "h", "/p", "body"}, {"team", "PUT", "h", "/p", "body"},
		{"team", "POST", "i", "/p", "body"}, {"team", "POST", "h", "/q", "body"}, {"team", "POST", "h", "/p", ""},
		{"tea", "mPOST", "h", "/p", "body"}, {"team", "POST", "h/", "p", "body"}, {"team", "POST", "h", "/pbody", ""},
	} {
		id := Fingerprint(fleet.TeamID(f[0]), f[1], f[2], f[3], []byte(f[4]))
		is.True(IsFingerprint(id))
		is.True(!seen[id])
		seen[id] = true
	}
	for _, id := range []fleet.PartID{"", "r-", "r-abc", "dead0bad", "r-A3a50b0fc8f0a04c7fcb7ce10ab0eb54", "a3a50b0fc8f0a04c7fcb7ce10ab0eb54"} {
		is.True(!IsFingerprint(id))
	}
}

// fingerprintOf returns the fingerprint of a request with a body.
func fingerprintOf(body string) fleet.PartID {
	return Fingerprint("team", "POST", "h", "/p", []byte(body))
}

// Guards against a request that goes on crashing engines, and against others that only ran beside it: a poll with
// which runs go well, one that comes seldom and was beside it each time, and a part of its prompt.
func TestThirdCrashQuarantinesRequest(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	fatal, poll, beside := fingerprintOf("fatal"), fingerprintOf(""), fingerprintOf("beside")
	now := applyEach(a, time.Hour, crashes(3, PartCount{fatal, 0}, PartCount{poll, 9}, PartCount{"part", 0})...)
	is.True(a.has(fatal))
	is.True(!a.has(poll))
	is.True(!a.has("part"))
	now = applyEach(a, now, crashes(3, PartCount{beside, 0})...) // The same engines.
	is.True(!a.has(beside))
	report := (&reporter{vm: "x"}).crash("another engine", PartCount{beside, 0})
	applyEach(a, now, report)
	is.True(a.has(beside))
}

// Guards against callers who invent bodies: they push out neither parts of prompts nor requests that are in
// quarantine, nor the counts of requests that come often.
func TestInventedRequestsPushOutNothing(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	fatal := fingerprintOf("fatal")
	now := applyEach(a, time.Hour, crashes(3, PartCount{fatal, 0})...)
	now = applyEach(a, now, crashes(2, PartCount{"suspected", 0})...)
	for i := range 3 * maxParts {
		a.apply((&reporter{vm: "x"}).crash("engine", PartCount{fingerprintOf(fmt.Sprint(i)), 0}), now, false)
	}
	is.True(a.has(fatal))
	is.True(a.suspected([]fleet.PartID{"suspected"}, now))
	is.True(len(a.parts) <= 2*maxParts)

	c := newCounts(now, maxCountedRequests, true)
	for i := range 5 * maxCountedRequests {
		c.add(now, fingerprintOf(fmt.Sprint(i)))
		if i%100 == 0 {
			c.add(now, "poll")
		}
	}
	is.True(c.get(now, "poll") >= maxCountedRequests/100)
	is.True(len(c.current)+len(c.previous) <= 2*maxCountedRequests)
}
