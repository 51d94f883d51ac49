// Package measure holds the measures that docs/MEASURES.md shows: each policy
// beside its baselines, in one run, with fixed seeds.
package measure

import (
	"fmt"
	"io"
	"time"
)

// Table is one measured table.
type Table struct {
	// Name selects the table on the command line, in snake_case.
	Name string
	// Goal states the target that the figures are held against.
	Goal string
	Seed uint64
	// Run measures and returns the rows.
	Run func(seed uint64) (Result, error)
}

// Result is what a run measured.
type Result struct {
	Header []string
	Rows   [][]string
	// Notes say how to read the figures, one sentence each.
	Notes []string
}

// Registry lists all tables in the order of docs/MEASURES.md.
var Registry = []Table{
	ServingCost,
	LedgerFold,
	LedgerState,
	Heartbeats,
	InForce,
	Rates,
	RateMessages,
	Fairness,
	FirstToken,
	Dispatch,
	Placement,
}

// Print runs the tables that names selects, all if it is empty, and writes
// them as Markdown.
func Print(w io.Writer, names []string) error {
	for _, t := range Registry {
		if !selected(t.Name, names) {
			continue
		}
		begin := time.Now()
		r, err := t.Run(t.Seed)
		if err != nil {
			return fmt.Errorf("table %s: %w", t.Name, err)
		}
		if err := writeMarkdown(w, t, r, time.Since(begin)); err != nil {
			return err
		}
	}
	return nil
}

func selected(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}
