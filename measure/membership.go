package measure

import (
	"fmt"
	"time"

	"toucanfall/membership"
)

// Durations of one measurement of heartbeats.
const (
	heartbeatWarmUp = 1500 * time.Millisecond
	heartbeatWindow = 3 * time.Second
)

// currentTeams is the number of teams in a fleet of today's size.
const currentTeams = 5

// Limits and sizes of heartbeats in the target fleet.
const (
	// controlBytesPerSecond is the limit of a VM's control traffic.
	controlBytesPerSecond = 7000
	// segmentHeaderBytes is the size of the TCP and IP headers of a segment, and
	// segmentsPerCall the number of segments of a call: request, answer and an
	// acknowledgement of each.
	segmentHeaderBytes = 52
	segmentsPerCall    = 4
	// vmStateBytes is the size of what one VM reports about a third one: number,
	// incarnation, offset, digest of withdrawals and flags.
	vmStateBytes = 32
)

// heartbeatScheme is a scheme of exchanging heartbeats in the target fleet.
type heartbeatScheme struct {
	name string
	// fanOut is the number of VMs that a VM calls in each interval.
	fanOut   int
	interval time.Duration
}

var heartbeatSchemes = []heartbeatScheme{
	{"full mesh", targetVMs - 1, membership.HeartbeatInterval},
	{"fan-out 8 each 0.5 s", 8, membership.HeartbeatInterval},
	{"fan-out 8 each 1 s", 8, 2 * membership.HeartbeatInterval},
	{"fan-out 4 each 1 s", 4, 2 * membership.HeartbeatInterval},
}

// Heartbeats measures the network traffic of heartbeats.
var Heartbeats = Table{
	Name: "heartbeats",
	Goal: "7 KB a second and VM for all control at 400 VMs; full mesh at 7, constant fan-out at 400.",
	Seed: 1,
	Run:  measureHeartbeats,
}

// heartbeatCost is the heartbeat traffic of one VM.
type heartbeatCost struct {
	// vms is the number of VMs in the fleet.
	vms int
	// payloadRate is in bytes per second, sent and received, for calls made and calls
	// answered.
	payloadRate float64
	// callRate is the number of calls made and answered per second.
	callRate float64
}

// wireRate returns the traffic with TCP and IP headers, in bytes per second.
func (c heartbeatCost) wireRate() float64 {
	return c.payloadRate + c.callRate*segmentsPerCall*segmentHeaderBytes
}

// scaledTo returns the cost extrapolated to a scheme in the target fleet.
func (c heartbeatCost) scaledTo(s heartbeatScheme) heartbeatCost {
	factor := float64(s.fanOut) / float64(c.vms-1) * float64(membership.HeartbeatInterval) / float64(s.interval)
	return heartbeatCost{payloadRate: c.payloadRate * factor, callRate: c.callRate * factor}
}

// refreshInterval returns the interval at which a VM can receive the state of all VMs
// within the part of controlBytesPerSecond that heartbeats leave free.
func (c heartbeatCost) refreshInterval() string {
	remaining := controlBytesPerSecond - c.wireRate()
	if remaining <= 0 {
		return "no room"
	}
	return fmt.Sprintf("%.1f s", targetVMs*vmStateBytes/remaining)
}

func measureHeartbeats(uint64) (Result, error) {
	r := Result{Header: []string{"VMs", "way", "figure", "payload B/s", "with TCP/IP headers B/s", "share of 7 KB/s", "news of 400 VMs in the rest, each"}}
	var last heartbeatCost
	withoutLevels, err := measureHeartbeatCost(7, 0)
	if err != nil {
		return Result{}, err
	}
	r.Rows = append(r.Rows, heartbeatRow(7, "full mesh, no levels of teams", "measured", withoutLevels, ""))
	for _, n := range []int{3, 5, 7} {
		c, err := measureHeartbeatCost(n, currentTeams)
		if err != nil {
			return Result{}, err
		}
		r.Rows = append(r.Rows, heartbeatRow(n, "full mesh", "measured", c, ""))
		last = c
	}
	for _, s := range heartbeatSchemes {
		c := last.scaledTo(s)
		r.Rows = append(r.Rows, heartbeatRow(targetVMs, s.name, "worked out", c, c.refreshInterval()))
	}
	r.Notes = []string{
		fmt.Sprintf("Each VM calls the others every %v; bytes are counted at the connections, net/rpc over loopback, for calls made and answered.", membership.HeartbeatInterval),
		fmt.Sprintf("Heartbeats carry the levels of %d teams, but for the first row.", currentTeams),
		fmt.Sprintf("Headers are reckoned at %d segments a call and %d bytes each; they were not measured.", segmentsPerCall, segmentHeaderBytes),
		fmt.Sprintf("News of one VM is reckoned at %d bytes. Only the full mesh is built.", vmStateBytes),
	}
	return r, nil
}

func heartbeatRow(n int, scheme, figure string, c heartbeatCost, refreshInterval string) []string {
	return []string{
		fmt.Sprint(n), scheme, figure,
		fmt.Sprintf("%.0f", c.payloadRate),
		fmt.Sprintf("%.0f", c.wireRate()),
		fmt.Sprintf("%.0f%%", 100*c.wireRate()/controlBytesPerSecond),
		refreshInterval,
	}
}

// measureHeartbeatCost measures the heartbeats of n VMs after their connections are
// established.
func measureHeartbeatCost(n, teams int) (heartbeatCost, error) {
	c, err := startVMs(n, teams)
	if err != nil {
		return heartbeatCost{}, err
	}
	defer c.close()
	time.Sleep(heartbeatWarmUp)
	bytes, calls := c.traffic()
	begin := time.Now()
	time.Sleep(heartbeatWindow)
	bytesAfter, callsAfter := c.traffic()
	seconds := time.Since(begin).Seconds()
	// Each byte and each call counts for the VMs at both ends.
	perVM := 2 / float64(n) / seconds
	return heartbeatCost{
		vms:         n,
		payloadRate: float64(bytesAfter-bytes) * perVM,
		callRate:    float64(callsAfter-calls) * perVM,
	}, nil
}

// traffic returns the numbers of bytes and of heartbeat calls of all VMs since their
// start.
func (c *vmCluster) traffic() (bytes, calls int64) {
	for _, v := range c.vms {
		bytes += v.sent.Load() + v.received.Load()
		calls += v.calls.Load()
	}
	return bytes, calls
}
