// Package bubble runs randomised checks under a paused clock.
package bubble

import (
	"flag"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// Check runs random checks, each in a bubble of its own, in which time passes
// only while every goroutine waits. A panic, by which a failed check ends, is
// handed on outside the bubble, where rapid expects it.
func Check(t *testing.T, check func(t *rapid.T)) {
	rapid.Check(t, func(rt *rapid.T) {
		var failed any
		synctest.Test(t, func(*testing.T) {
			defer func() { failed = recover() }()
			check(rt)
		})
		if failed != nil {
			panic(failed)
		}
	})
}

// Default gives a flag of rapid another default for the length of a test. A
// value of the command line stays.
func SetFlagDefault(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Value.Set(f.DefValue) })
}
