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

// control returns a client of the operators' listener of a VM.
func (p *fleetFixture) control(i int) *control.Client {
	return control.NewClient("http://"+p.operatorAddresses[i], "op", nil)
}

// setLogFaults sets the faults of the log stand-in, given as JSON.
func (p *fleetFixture) setLogFaults(t *testing.T, set string) {
	resp, err := http.Post("http://"+p.logAddress+"/faults", "application/json", strings.NewReader(set))
	is.New(t).NoErr(err)
	is.New(t).NoErr(resp.Body.Close())
}

// completionFaultKind runs a short completion request on a VM and returns the
// kind of its fault.
func (p *fleetFixture) completionFaultKind(t *testing.T, i int) fault.Kind {
	_, err := p.caller(i).Complete(t.Context(), "textdesk", "x", 1, nil)
	return fault.KindOf(err)
}

// responds reports whether a VM answers within 100 ms. SIGSTOP takes a moment
// to stop all threads.
func (p *fleetFixture) responds(i int) bool {
	hc := &http.Client{Timeout: 100 * time.Millisecond}
	resp, err := hc.Get("http://" + p.callerAddresses[i] + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// TestKeyWithdrawnWhileVMIsFrozen guards against a VM that keeps accepting a
// key that was withdrawn while its process was stopped. The withdrawal happens
// during a log outage and an open stream. On resuming, the VM must end the
// stream and reject the key; the log must get the withdrawal after the outage.
func TestKeyWithdrawnWhileVMIsFrozen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newFleetFixture(t, "100ms")
	p.setLogFaults(t, `{"outage":true}`)
	waitUntil(t, "VM 0 to report the log as unreachable", func() bool {
		var st operator.Status
		return p.control(0).Query(t.Context(), "status", nil, &st) == nil && !st.VMs[0].LogReachable
	})
	started, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		n := 0
		_, err := p.caller(1).Complete(context.Background(), "textdesk", "long", 500, func(string) {
			if n++; n == 3 {
				close(started)
			}
		})
		ended <- err
	}()
	<-started
	// The process is stopped for less than the timeout for engines that give no
	// answer, so that only the withdrawal can end the stream.
	p.vmProcesses[1].signal(t, syscall.SIGSTOP)
	waitUntil(t, "VM 1 to stop answering", func() bool { return !p.responds(1) })
	o, err := p.control(0).Command(t.Context(), ledger.KindWithdraw, 0, ledger.Withdrawal{Key: "k1"})
	is.NoErr(err)
	is.True(o.NotLogged)
	is.Equal(o.Reach.Missed, []fleet.VMID{"v2"})
	p.vmProcesses[1].signal(t, syscall.SIGCONT)
	is.Equal(p.completionFaultKind(t, 0), fault.KeyWithdrawn)
	waitUntil(t, "the resumed VM to reject the key", func() bool { return p.completionFaultKind(t, 1) == fault.KeyWithdrawn })
	is.Equal(fault.KindOf(<-ended), fault.KeyWithdrawn)

	p.setLogFaults(t, `{}`)
	waitUntil(t, "the withdrawal to be logged", func() bool {
		var keys []operator.KeyStatus
		return p.control(1).Query(t.Context(), "keys", nil, &keys) == nil && len(keys) == 1 && keys[0].Logged
	})
}
