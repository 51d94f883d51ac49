package measure

import (
	"fmt"
	"time"
)

// runServingCost measures directly and through the VM, alone and with streams
// open.
func runServingCost(uint64) (Result, error) {
	b, err := newBench()
	if err != nil {
		return Result{}, err
	}
	defer b.close()
	var alone, crowded [2]requestCost
	var open [2]streamCost
	for i, via := range []bool{false, true} {
		if alone[i], err = b.requests(via); err != nil {
			return Result{}, err
		}
		open[i], err = b.streams(via, func() error {
			var err error
			crowded[i], err = b.requests(via)
			return err
		})
		if err != nil {
			return Result{}, err
		}
	}
	return costResult(alone, crowded, open), nil
}

func costResult(alone, crowded [2]requestCost, open [2]streamCost) Result {
	us := func(n int64) string { return fmt.Sprintf("%d us", n) }
	row := func(name string, direct, via, added string) []string { return []string{name, direct, via, added} }
	var rows [][]string
	for _, c := range []struct {
		name string
		cost [2]requestCost
	}{{"alone", alone}, {"1,000 streams open", crowded}} {
		for _, q := range []float64{50, 99} {
			direct, via := c.cost[0].latency.ValueAtQuantile(q), c.cost[1].latency.ValueAtQuantile(q)
			rows = append(rows, row(fmt.Sprintf("request p%.0f, %s", q, c.name), us(direct), us(via), us(via-direct)))
		}
	}
	perCore := func(n int64, d time.Duration) string { return fmt.Sprintf("%.0f", float64(n)/d.Seconds()) }
	rows = append(rows,
		row("requests/s per core, alone", perCore(costRequests, alone[0].cpu), perCore(costRequests, alone[1].cpu), perCore(costRequests, alone[1].cpu-alone[0].cpu)),
		row("streamed tokens/s", perCore(open[0].tokens, costStreamTime), perCore(open[1].tokens, costStreamTime), ""),
		row("streamed tokens/s per core", perCore(open[0].tokens, open[0].cpu), perCore(open[1].tokens, open[1].cpu), perCore(open[1].tokens, open[1].cpu-open[0].cpu)),
		row("memory per open stream", kb(open[0].memory), kb(open[1].memory), kb(open[1].memory-open[0].memory)),
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

func kb(n int64) string {
	return fmt.Sprintf("%.1f KB", float64(n)/costStreams/1024)
}
