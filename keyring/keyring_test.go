package keyring_test

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"toucanfall/fleet"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/timeline"
)

func newKeyring() (*keyring.Keyring, *timeline.Recorder) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	recorder := timeline.New("a", 64, logger)
	return keyring.New(ledger.NewState(), recorder), recorder
}

// A withdrawal from a VM whose wall clock is ahead must be recorded with a later
// stamp than its command.
func TestWithdrawalIsOrderedAfterItsCommand(t *testing.T) {
	is := is.New(t)
	k, rec := newKeyring()
	at := timeline.Stamp{WallMS: time.Now().Add(time.Second).UnixMilli()}
	is.True(k.Withdraw(keyring.Withdrawal{Key: "k", At: at}))
	entries := rec.Entries(timeline.Filter{Name: "key_heard_withdrawn"})
	is.Equal(len(entries), 1)
	is.True(at.Before(entries[0].At))
	is.True(!k.Withdraw(keyring.Withdrawal{Key: "k", At: at})) // already known
}

func withdrawAll(k *keyring.Keyring, ids []string) {
	for _, id := range ids {
		k.Withdraw(keyring.Withdrawal{Key: fleet.KeyID(id)})
	}
}

func receive(k *keyring.Keyring, ws []keyring.Withdrawal) {
	for _, w := range ws {
		k.Withdraw(w)
	}
}

// One exchange of differences in each direction must make two keyrings equal, and
// equal keyrings must exchange nothing.
func TestRandomDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, _ := newKeyring()
		b, _ := newKeyring()
		ids := rapid.SliceOf(rapid.StringMatching(`[a-z0-9]{1,4}`))
		ofA, ofB := ids.Draw(t, "a"), ids.Draw(t, "b")
		withdrawAll(a, ofA)
		withdrawAll(b, ofB)
		fromB, fromA := b.Difference(a.Buckets()), a.Difference(b.Buckets())
		receive(a, fromB.Withdrawals)
		receive(b, fromA.Withdrawals)
		for _, id := range append(ofA, ofB...) {
			if key := fleet.KeyID(id); !a.Withdrawn(key) || !b.Withdrawn(key) {
				t.Fatalf("%q is not withdrawn in both keyrings", id)
			}
		}
		if a.Digest() != b.Digest() || len(a.Difference(b.Buckets()).Withdrawals) > 0 {
			t.Fatal("the keyrings still differ")
		}
		for _, ring := range []*keyring.Keyring{a, b} {
			if err := ring.Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
