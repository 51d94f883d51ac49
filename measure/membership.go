package measure

import (
	"fmt"
	"time"

	"toucanfall/membership"
)

// Times of one measurement of heartbeats.
const (
	heartbeatWarmUp = 1500 * time.Millisecond
	heartbeatWindow = 3 * time.Second
)

// todayTeams is the number of teams of a fleet of today.
const todayTeams = 5

// Goals and sizes of heartbeats in the fleet of the target.
const (
	// controlBytes is what one VM may spend for control, in bytes a second.
	controlBytes = 7000
	// headerBytes is what TCP and IP add to a segment, and segmentsPerCall the
	// segments of a call: request, answer and an acknowledgement of each.
	headerBytes     = 52
	segmentsPerCall = 4
	// digestBytes is what one VM tells of a third one: number, incarnation,
	// offset, digest of withdrawals and flags.
	digestBytes = 32
)

// targetWay is a way to exchange heartbeats in the largest fleet.
type targetWay struct {
	name string
	// called is the number of VMs that a VM calls in each interval.
	called   int
	interval time.Duration
}

var targetWays = []targetWay{
	{"full mesh", targetVMs - 1, membership.HeartbeatInterval},
	{"fan-out 8 each 0.5 s", 8, membership.HeartbeatInterval},
	{"fan-out 8 each 1 s", 8, 2 * membership.HeartbeatInterval},
	{"fan-out 4 each 1 s", 4, 2 * membership.HeartbeatInterval},
}

// Heartbeats is the table of what heartbeats cost.
var Heartbeats = Table{
	Name: "heartbeats",
	Goal: "7 KB a second and VM for all control at 400 VMs; full mesh at 7, constant fan-out at 400.",
	Seed: 1,
	Run:  measureHeartbeats,
}

// heartbeatCost is what one VM spends.
type heartbeatCost struct {
	vms int
	// payload is in bytes a second, sent and received, for calls made and
	// calls answered.
	payload float64
	// calls is the number of calls made and answered in a second.
	calls float64
}

// wire adds the headers of TCP and IP.
func (c heartbeatCost) wire() float64 {
	return c.payload + c.calls*segmentsPerCall*headerBytes
}

// to works the cost out for another way.
func (c heartbeatCost) to(w targetWay) heartbeatCost {
	factor := float64(w.called) / float64(c.vms-1) * float64(membership.HeartbeatInterval) / float64(w.interval)
	return heartbeatCost{payload: c.payload * factor, calls: c.calls * factor}
}

// refresh returns how often news of all VMs can go round in what the
// heartbeats leave of the goal.
func (c heartbeatCost) refresh() string {
	left := controlBytes - c.wire()
	if left <= 0 {
		return "no room"
	}
	return fmt.Sprintf("%.1f s", targetVMs*digestBytes/left)
}

func measureHeartbeats(uint64) (Result, error) {
	r := Result{Header: []string{"VMs", "way", "figure", "payload B/s", "with TCP/IP headers B/s", "share of 7 KB/s", "news of 400 VMs in the rest, each"}}
	var last heartbeatCost
	bare, err := heartbeatsOf(7, 0)
	if err != nil {
		return Result{}, err
	}
	r.Rows = append(r.Rows, costRow(7, "full mesh, no levels of teams", "measured", bare, ""))
	for _, n := range []int{3, 5, 7} {
		c, err := heartbeatsOf(n, todayTeams)
		if err != nil {
			return Result{}, err
		}
		r.Rows = append(r.Rows, costRow(n, "full mesh", "measured", c, ""))
		last = c
	}
	for _, w := range targetWays {
		c := last.to(w)
		r.Rows = append(r.Rows, costRow(targetVMs, w.name, "worked out", c, c.refresh()))
	}
	r.Notes = []string{
		fmt.Sprintf("Each VM calls the others every %v; bytes are counted at the connections, net/rpc over loopback, for calls made and answered.", membership.HeartbeatInterval),
		fmt.Sprintf("Heartbeats carry the levels of %d teams, but for the first row.", todayTeams),
		fmt.Sprintf("Headers are reckoned at %d segments a call and %d bytes each; they were not measured.", segmentsPerCall, headerBytes),
		fmt.Sprintf("News of one VM is reckoned at %d bytes. Only the full mesh is built.", digestBytes),
	}
	return r, nil
}

func costRow(n int, way, figure string, c heartbeatCost, refresh string) []string {
	return []string{
		fmt.Sprint(n), way, figure,
		fmt.Sprintf("%.0f", c.payload),
		fmt.Sprintf("%.0f", c.wire()),
		fmt.Sprintf("%.0f%%", 100*c.wire()/controlBytes),
		refresh,
	}
}

// heartbeatsOf measures n VMs after their connections stand.
func heartbeatsOf(n, teams int) (heartbeatCost, error) {
	f, err := startVMs(n, teams)
	if err != nil {
		return heartbeatCost{}, err
	}
	defer f.close()
	time.Sleep(heartbeatWarmUp)
	bytes, calls := f.traffic()
	begin := time.Now()
	time.Sleep(heartbeatWindow)
	bytesAfter, callsAfter := f.traffic()
	seconds := time.Since(begin).Seconds()
	// Each byte and call concerns the VM at either end.
	perVM := 2 / float64(n) / seconds
	return heartbeatCost{
		vms:     n,
		payload: float64(bytesAfter-bytes) * perVM,
		calls:   float64(callsAfter-calls) * perVM,
	}, nil
}

// traffic returns the bytes and calls of all VMs so far.
func (f *vms) traffic() (bytes, calls int64) {
	for _, v := range f.all {
		bytes += v.sent.Load() + v.received.Load()
		calls += v.calls.Load()
	}
	return bytes, calls
}
