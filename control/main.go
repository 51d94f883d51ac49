package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/cli"
)

// ExitConflict tells that another change came first.
const ExitConflict = 3

// Options are the arguments that all commands share.
type Options struct {
	VM             string `long:"vm" env:"TOUCAN_VM" value-name:"URL" default:"http://127.0.0.1:7001" description:"operators' listener of any VM"`
	CredentialFile string `long:"credential-file" env:"TOUCAN_CREDENTIAL_FILE" value-name:"FILE" description:"file that holds the operator's credential"`
	JSON           bool   `long:"json" description:"print JSON instead of a table"`
}

// session is what a command works with.
type session struct {
	opts   *Options
	stdout io.Writer
}

func (s *session) client() (*Client, error) {
	if s.opts.CredentialFile == "" {
		return nil, errors.New("no credential: set --credential-file or TOUCAN_CREDENTIAL_FILE")
	}
	b, err := os.ReadFile(s.opts.CredentialFile)
	if err != nil {
		return nil, fmt.Errorf("cannot read the credential: %w", err)
	}
	return NewClient(strings.TrimSuffix(s.opts.VM, "/"), fleet.Secret(strings.TrimSpace(string(b)))), nil
}

// table prints rows for people, or v as JSON.
func (s *session) table(v any, header string, rows []string) error {
	if s.opts.JSON {
		enc := json.NewEncoder(s.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, row)
	}
	return w.Flush()
}

// row joins the cells of a table's row.
func row(cells ...any) string {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	return strings.Join(texts, "\t")
}

// Main runs toucanctl with the given arguments and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	opts := &Options{}
	s := &session{opts: opts, stdout: stdout}
	parser := flags.NewNamedParser("toucanctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("General", "", opts); err != nil {
		return exit(err, stderr)
	}
	for _, c := range slices.Concat(commands(s), queries(s), placementCommands(s)) {
		if _, err := parser.AddCommand(c.name, c.text, c.text, c.run); err != nil {
			return exit(err, stderr)
		}
	}
	_, err := parser.ParseArgs(args)
	return exit(err, stderr)
}

func exit(err error, stderr io.Writer) int {
	code, _ := cli.Exit(err, stderr)
	var rejected *RejectedError
	if errors.As(err, &rejected) && rejected.Verdict.Fault == fault.Conflict {
		return ExitConflict
	}
	return code
}

// entry is a command of the command line.
type entry struct {
	name, text string
	run        any
}

// background is the context of a command; the client bounds each call.
func background() context.Context {
	return context.Background()
}
