package daemon_test

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/control"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/operator"
)

func (p *fleetFixture) control(i int) *control.Client {
	return control.NewClient("http://"+p.operatorAddresses[i], "op", nil)
}

// faults sets the faults of the log.
func (p *fleetFixture) setLogFaults(t *testing.T, set string) {
	resp, err := http.Post("http://"+p.logAddress+"/faults", "application/json", strings.NewReader(set))
	is.New(t).NoErr(err)
	is.New(t).NoErr(resp.Body.Close())
}

// refused returns the kind of the refusal of a short draft.
func (p *fleetFixture) draftFaultKind(t *testing.T, i int) fault.Kind {
	_, err := p.caller(i).Draft(t.Context(), "textdesk", "x", 1, nil)
	return fault.KindOf(err)
}

// alive reports whether a VM answers at once. A signal takes a moment to stop
// all threads.
func (p *fleetFixture) responds(i int) bool {
	hc := &http.Client{Timeout: 100 * time.Millisecond}
	resp, err := hc.Get("http://" + p.callerAddresses[i] + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// TestKeyWithdrawnWhileVMIsFrozen withdraws a key in an outage of the log while
// the process of one VM is frozen in the middle of a stream. When it goes on,
// it ends the stream and refuses the key, and the log gets the withdrawal when
// it answers again.
func TestKeyWithdrawnWhileVMIsFrozen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newFleetFixture(t, "100ms")
	p.setLogFaults(t, `{"outage":true}`)
	waitUntil(t, "the VM notices the outage", func() bool {
		var st operator.Status
		return p.control(0).Query(t.Context(), "status", nil, &st) == nil && !st.VMs[0].LogReachable
	})
	started, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		n := 0
		_, err := p.caller(1).Draft(context.Background(), "textdesk", "long", 500, func(string) {
			if n++; n == 3 {
				close(started)
			}
		})
		ended <- err
	}()
	<-started
	// The freeze is shorter than the time after which an engine counts as
	// silent, so that the key alone ends the stream.
	p.vmProcesses[1].signal(t, syscall.SIGSTOP)
	waitUntil(t, "the VM stands still", func() bool { return !p.responds(1) })
	o, err := p.control(0).Command(t.Context(), ledger.KindWithdraw, 0, ledger.Withdrawal{Key: "k1"})
	is.NoErr(err)
	is.True(o.NotLogged)
	is.Equal(o.Reach.Missed, []fleet.VMID{"v2"})
	p.vmProcesses[1].signal(t, syscall.SIGCONT)
	is.Equal(p.draftFaultKind(t, 0), fault.KeyWithdrawn)
	waitUntil(t, "the frozen VM refuses the key", func() bool { return p.draftFaultKind(t, 1) == fault.KeyWithdrawn })
	is.Equal(fault.KindOf(<-ended), fault.KeyWithdrawn)

	p.setLogFaults(t, `{}`)
	waitUntil(t, "the withdrawal is in the log", func() bool {
		var keys []operator.KeyStatus
		return p.control(1).Query(t.Context(), "keys", nil, &keys) == nil && len(keys) == 1 && keys[0].Logged
	})
}
