// Package measure contains the measurements of docs/MEASURES.md. Each compares a policy
// with its baselines in one run, with a fixed seed.
package measure

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Table describes one measurement, whose result is printed as a table.
type Table struct {
	// Name selects the table on the command line, in snake_case.
	Name string
	// Goal states the target that the figures are compared with.
	Goal string
	// Seed is passed to Run.
	Seed uint64
	// Run measures and returns the result. Measurements without random draws ignore
	// the seed.
	Run func(seed uint64) (Result, error)
}

// Result is the result of a measurement. Each row has a cell for each column of Header.
type Result struct {
	Header []string
	Rows   [][]string
	// Notes say how to read the figures, one sentence each.
	Notes []string
}

// Registry contains all tables in the order of docs/MEASURES.md.
var Registry = []Table{
	ServingCost,
	LedgerFold,
	LedgerState,
	Heartbeats,
	Propagation,
	Rates,
	RateMessages,
	Fairness,
	FirstToken,
	Dispatch,
	Placement,
}

// Print runs the tables with the given names, or all if names is empty, and writes
// their results to w as Markdown. It stops at the first table that fails, and ignores
// unknown names.
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

// newDiscardLogger returns a logger whose output is discarded.
func newDiscardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}
