package measure

import (
	"encoding/gob"
	"fmt"
	"net/rpc"

	"toucanfall/rate"
)

// RateMessages measures the encoded size of the messages of lending as net/rpc sends them.
var RateMessages = Table{
	Name: "rate_messages",
	Goal: "control traffic of a VM stays within 7 KB a second at 400 VMs",
	Run:  runRateMessages,
}

// Size and load of the target fleet, for the estimate in the notes.
const (
	rateTargetVMs      = 400
	rateTargetRequests = 2300 // per second
)

// byteCounter is a writer that counts bytes and discards them.
type byteCounter int

// Write counts the bytes of b.
func (c *byteCounter) Write(b []byte) (int, error) {
	*c += byteCounter(len(b))
	return len(b), nil
}

// encodedSize returns the size in bytes of a message on a connection that has already
// carried the type descriptions of its types.
func encodedSize(header, body any) (int, error) {
	var n byteCounter
	enc := gob.NewEncoder(&n)
	previous := byteCounter(0)
	for range 2 {
		previous = n
		for _, v := range []any{header, body} {
			if err := enc.Encode(v); err != nil {
				return 0, fmt.Errorf("encode message: %w", err)
			}
		}
	}
	return int(n - previous), nil
}

func runRateMessages(uint64) (Result, error) {
	r := Result{Header: []string{"message", "bytes"}}
	id := rate.AskID("entry-at-1-a/3w5e11264sg9v/1y2p0ij32e8e7/1")
	sum := 0
	for _, m := range []struct {
		name         string
		header, body any
	}{
		{"ask", rpc.Request{ServiceMethod: "Rate.Borrow", Seq: 1 << 20}, rate.Ask{ID: id, Key: "quotes", From: "entry-at-1-a", Want: 600 * rate.One}},
		{"its answer", rpc.Response{ServiceMethod: "Rate.Borrow", Seq: 1 << 20}, rate.Answer{ID: id, Given: 600 * rate.One, Level: 1000 * rate.One}},
		{"notice of landing", rpc.Request{ServiceMethod: "Rate.Return", Seq: 1 << 20}, rate.Return{ID: id, Landed: true}},
		{"its answer", rpc.Response{ServiceMethod: "Rate.Return", Seq: 1 << 20}, struct{ Unused bool }{}},
	} {
		n, err := encodedSize(m.header, m.body)
		if err != nil {
			return Result{}, err
		}
		sum += n
		r.Rows = append(r.Rows, []string{m.name, fmt.Sprint(n)})
	}
	digest := make(rate.Digest, 0, 16)
	for i := range 16 {
		digest = append(digest, rate.Level{Key: rate.Key(fmt.Sprintf("team-%04d", i)), Amount: rate.Amount(1000+i) * rate.One})
	}
	n, err := encodedSize(digest, digest)
	if err != nil {
		return Result{}, err
	}
	r.Rows = append(r.Rows, []string{"sixteen levels in a heartbeat", fmt.Sprint(n / 2)})
	perVM := float64(rateTargetRequests) / rateTargetVMs
	r.Notes = append(r.Notes,
		fmt.Sprintf("A loan takes all four, %d bytes, without TCP and IP headers. Worked out, not measured: at %d VMs and %d requests a second a VM serves %.2f; with one loan a request, as borrower and as lender, that is %.1f KB a second for each VM. Balancing takes at most four loans a second for each team that a VM mints, which is %.1f KB for 7.5 teams if all of them are always uneven.", sum, rateTargetVMs, rateTargetRequests, perVM, 2*perVM*float64(sum)/1000, 4*7.5*float64(sum)/1000),
	)
	return r, nil
}
