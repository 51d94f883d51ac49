package control

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/cli"
	"toucanfall/settings"
)

// Exit codes of toucanctl beside those of package cli.
const (
	// ExitConflict tells that another change came first.
	ExitConflict = 3
	// ExitUnavailable tells that the VM or the log cannot be reached now.
	ExitUnavailable = 4
)

// description is shown by --help.
const description = `Carries out operators' commands and queries at any VM.

Exit codes:
0  done
1  refused or failed; the message says why
2  the arguments or the proposed value are wrong
3  another change came first; the current value and its revision are shown
4  the VM or the platform's log cannot be reached; try again. After
   "key withdraw" the key is refused on the VMs that are listed, and the VMs
   write the withdrawal to the log when they can.`

// Options are the arguments that all commands share.
type Options struct {
	VM             string `long:"vm" env:"TOUCAN_VM" value-name:"URL" default:"http://127.0.0.1:7001" description:"operators' listener of any VM"`
	CredentialFile string `long:"credential-file" env:"TOUCAN_CREDENTIAL_FILE" value-name:"FILE" description:"file that holds the operator's credential"`
	JSON           bool   `long:"json" description:"print JSON instead of a table"`

	Certificate string `long:"certificate" env:"TOUCAN_CERTIFICATE" value-name:"FILE" description:"own certificate, for a listener with mutual TLS"`
	Key         string `long:"key" env:"TOUCAN_KEY" value-name:"FILE" description:"key of the own certificate"`
	Authority   string `long:"authority" env:"TOUCAN_AUTHORITY" value-name:"FILE" description:"authority that signs the VM's certificate"`
}

// session is what a command works with.
type session struct {
	opts   *Options
	stdout io.Writer
	stderr io.Writer
}

func (s *session) client() (*Client, error) {
	if s.opts.CredentialFile == "" {
		return nil, usageError(errors.New("no credential: set --credential-file or TOUCAN_CREDENTIAL_FILE"))
	}
	b, err := os.ReadFile(s.opts.CredentialFile)
	if err != nil {
		return nil, usageError(fmt.Errorf("cannot read the credential: %w", err))
	}
	config, err := s.tls()
	if err != nil {
		return nil, usageError(err)
	}
	return NewClient(strings.TrimSuffix(s.opts.VM, "/"), fleet.Secret(strings.TrimSpace(string(b))), config), nil
}

// tls returns the config for a listener with mutual TLS, nil if none is wanted.
func (s *session) tls() (*tls.Config, error) {
	files := settings.TLS{Certificate: s.opts.Certificate, Key: s.opts.Key, Authority: s.opts.Authority}
	if files == (settings.TLS{}) {
		return nil, nil
	}
	if files.Certificate == "" || files.Key == "" || files.Authority == "" {
		return nil, errors.New("--certificate, --key and --authority belong together")
	}
	return files.Load()
}

// table prints rows for people, or v as JSON.
func (s *session) printTable(v any, header string, rows []string) error {
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
func joinCells(cells ...any) string {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	return strings.Join(texts, "\t")
}

// Main runs toucanctl with the given arguments and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	opts := &Options{}
	s := &session{opts: opts, stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("toucanctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("General", "", opts); err != nil {
		return reportError(err, stderr)
	}
	parser.LongDescription = description
	if err := addCommands(parser, s); err != nil {
		return reportError(err, stderr)
	}
	_, err := parser.ParseArgs(args)
	return reportError(err, stderr)
}

// usage marks an error of the arguments.
func usageError(err error) error {
	return &flags.Error{Type: flags.ErrMarshal, Message: err.Error()}
}

// exit reports err and returns the exit code that it leads to.
func reportError(err error, stderr io.Writer) int {
	code, failed := cli.Exit(err, stderr)
	if failed || code != cli.ExitFailure {
		return code
	}
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		return exitCode(rejected.Verdict.Fault)
	}
	return exitCode(fault.KindOf(err))
}

func exitCode(kind fault.Kind) int {
	switch kind {
	case fault.Conflict:
		return ExitConflict
	case fault.InvalidRequest:
		return cli.ExitUsage
	case fault.StoreUnavailable, fault.NotReady, fault.Stopping, fault.Overloaded:
		return ExitUnavailable
	default:
		return cli.ExitFailure
	}
}

// background is the context of a command; the client bounds each call.
func background() context.Context {
	return context.Background()
}
