package fault_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/fault"
)

func TestTableHasEachKindOnce(t *testing.T) {
	is := is.New(t)
	seen := make(map[fault.Kind]bool)
	for _, a := range fault.Table {
		is.True(!seen[a.Kind])
		is.True(a.Status >= 400)
		is.True(a.Summary != "")
		seen[a.Kind] = true
	}
}

func TestWrappedErrorKeepsItsKind(t *testing.T) {
	is := is.New(t)
	cause := errors.New("cause")
	err := fmt.Errorf("while serving: %w", fault.New(fault.Overloaded, "queue: %w", cause))
	is.Equal(fault.KindOf(err), fault.Overloaded)
	is.True(errors.Is(err, cause))
	is.Equal(fault.KindOf(errors.New("other")), fault.Internal)
}

func ExampleDescribe() {
	err := fault.New(fault.RateLimited, "team %q is over its rate", "quotes").WithRetryAfter(1500 * time.Millisecond)
	status, after, body := fault.Describe(err, "r-1")
	fmt.Println(status, after, body.Error.NotRun)
	// Output: 429 1.5s true
}
