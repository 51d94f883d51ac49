package measure

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// writeMarkdown writes a result as a Markdown section with a table. elapsed is the
// duration of the run.
func writeMarkdown(w io.Writer, t Table, r Result, elapsed time.Duration) error {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\nGoal: %s\n\nSeed %d, took %s.\n\n", t.Name, t.Goal, t.Seed, elapsed.Round(time.Millisecond))
	b.WriteString(markdownRow(r.Header))
	b.WriteString(strings.Repeat("|---", len(r.Header)) + "|\n")
	for _, row := range r.Rows {
		b.WriteString(markdownRow(row))
	}
	for _, note := range r.Notes {
		b.WriteString("\n" + note + "\n")
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func markdownRow(cells []string) string {
	return "| " + strings.Join(cells, " | ") + " |\n"
}
