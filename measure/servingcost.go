package measure

import (
	"fmt"
	"time"
)

// runServingCost measures requests sent directly to the engine and through the VM, without
// and with open streams.
func runServingCost(uint64) (Result, error) {
	b, err := newBench()
	if err != nil {
		return Result{}, err
	}
	defer b.close()
	var idle, loaded [2]requestCost
	var streams [2]streamCost
	for i, viaVM := range []bool{false, true} {
		if idle[i], err = b.measureRequests(viaVM); err != nil {
			return Result{}, err
		}
		streams[i], err = b.measureStreams(viaVM, func() error {
			var err error
			loaded[i], err = b.measureRequests(viaVM)
			return err
		})
		if err != nil {
			return Result{}, err
		}
	}
	return costResult(idle, loaded, streams), nil
}

// costResult formats the measurements. Index 0 is direct, index 1 through the VM.
func costResult(idle, loaded [2]requestCost, streams [2]streamCost) Result {
	microseconds := func(n int64) string { return fmt.Sprintf("%d us", n) }
	row := func(name string, direct, via, added string) []string { return []string{name, direct, via, added} }
	var rows [][]string
	for _, c := range []struct {
		name string
		cost [2]requestCost
	}{{"alone", idle}, {"1,000 streams open", loaded}} {
		for _, q := range []float64{50, 99} {
			direct, via := c.cost[0].latency.ValueAtQuantile(q), c.cost[1].latency.ValueAtQuantile(q)
			rows = append(rows, row(fmt.Sprintf("request p%.0f, %s", q, c.name), microseconds(direct), microseconds(via), microseconds(via-direct)))
		}
	}
	formatRate := func(n int64, d time.Duration) string { return fmt.Sprintf("%.0f", float64(n)/d.Seconds()) }
	rows = append(rows,
		row("requests/s per core, alone", formatRate(costRequests, idle[0].cpu), formatRate(costRequests, idle[1].cpu), formatRate(costRequests, idle[1].cpu-idle[0].cpu)),
		row("streamed tokens/s", formatRate(streams[0].tokens, costStreamWindow), formatRate(streams[1].tokens, costStreamWindow), ""),
		row("streamed tokens/s per core", formatRate(streams[0].tokens, streams[0].cpu), formatRate(streams[1].tokens, streams[1].cpu), formatRate(streams[1].tokens, streams[1].cpu-streams[0].cpu)),
		row("memory per open stream", kbPerStream(streams[0].memory), kbPerStream(streams[1].memory), kbPerStream(streams[1].memory-streams[0].memory)),
	)
	return Result{
		Header: []string{"measure", "direct", "through the VM", "by the VM alone"},
		Rows:   rows,
		Notes: []string{
			"Caller, VM and stand-ins share one process, so that the last column is the difference of the other two: added time, or what the VM's part of processor time and memory comes to.",
			"Requests are for one token, by 4 callers at once; streams have 45 ms between tokens.",
		},
	}
}

// kbPerStream formats a number of bytes used by costStreams streams.
func kbPerStream(n int64) string {
	return fmt.Sprintf("%.1f KB", float64(n)/costStreams/1024)
}
