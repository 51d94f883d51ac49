package control_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"toucanfall/control"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/ledger"
)

// TestCommandWithoutAnswerHasUnknownOutcome checks that a command is not reported as "not run"
// if the VM read it and closed the connection before answering. A VM that refuses
// connections is reported as unavailable.
func TestCommandWithoutAnswerHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received.Add(1)
		panic(http.ErrAbortHandler)
	}))
	c := control.NewClient(s.URL, "secret", nil)
	_, err := c.Command(context.Background(), ledger.KindTeam, 0, &fleet.Team{ID: "quotes"})
	is.Equal(received.Load(), int64(1))
	is.Equal(fault.KindOf(err), fault.OutcomeUnknown)
	is.True(!fault.Lookup(fault.KindOf(err)).NotRun)

	s.Close()
	_, err = c.Command(context.Background(), ledger.KindTeam, 0, &fleet.Team{ID: "quotes"})
	is.Equal(fault.KindOf(err), fault.StoreUnavailable)
}
