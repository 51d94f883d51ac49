// Package bubble runs rapid property checks under the virtual clock of testing/synctest.
package bubble

import (
	"flag"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// Check runs check as a rapid property, each case in its own synctest bubble, where
// time advances only while every goroutine is blocked. rapid reports a failed check by
// a panic and expects it on its own goroutine, so Check recovers the panic inside the
// bubble and raises it again outside.
func Check(t *testing.T, check func(t *rapid.T)) {
	rapid.Check(t, func(rt *rapid.T) {
		var panicValue any
		synctest.Test(t, func(*testing.T) {
			defer func() { panicValue = recover() }()
			check(rt)
		})
		if panicValue != nil {
			panic(panicValue)
		}
	})
}

// SetFlagDefault changes the default of a rapid flag until the test ends. A value set on
// the command line takes precedence.
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
