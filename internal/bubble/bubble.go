// Package bubble runs randomised checks under a paused clock.
package bubble

import (
	"testing"
	"testing/synctest"
)

// Run runs f in a bubble of its own, in which time passes only while every
// goroutine waits. A panic of f, by which a check of rapid ends, is handed on
// outside the bubble, where rapid expects it.
func Run(t *testing.T, f func()) {
	var failed any
	synctest.Test(t, func(*testing.T) {
		defer func() { failed = recover() }()
		f()
	})
	if failed != nil {
		panic(failed)
	}
}
