package serving

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
)

// Guards against a wrong reason in the log: a bound of our own that looks like a fault of the upstream or
// of the client.
func TestBreakReason(t *testing.T) {
	for _, c := range []struct {
		err, cause error
		want       BreakReason
	}{
		{errors.New("the stream broke off"), nil, BreakUpstream},
		{fmt.Errorf("the stream broke off: %w", &breakError{BreakNoMemory, errors.New("no memory")}), nil, BreakNoMemory},
		{&clientDisconnected{fmt.Errorf("write: %w", os.ErrDeadlineExceeded)}, nil, BreakReaderSlow},
		{&clientDisconnected{errors.New("reset")}, context.Canceled, BreakClientGone},
		{context.DeadlineExceeded, context.DeadlineExceeded, BreakTimeout},
		{context.Canceled, context.Canceled, BreakClientGone},
		{context.Canceled, errStopped, BreakStop},
	} {
		is.New(t).Equal(breakReason(c.err, c.cause), c.want)
	}
}
