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

// Exit codes of toucanctl in addition to those of package cli.
const (
	// ExitConflict means that the entity was changed after the given base revision.
	ExitConflict = 3
	// ExitUnavailable means that the VM or the log is unreachable, or the VM is not
	// ready, stopping or overloaded.
	ExitUnavailable = 4
)

// description is the long description printed by --help.
const description = `Carries out operators' commands and queries at any VM.

Exit codes:
0  done
1  refused or failed; the message says why
2  the arguments or the proposed value are wrong
3  another change came first; the current value and its revision are shown
4  the VM or the platform's log cannot be reached; try again. After
   "key withdraw" the key is refused on the VMs that are listed, and the VMs
   write the withdrawal to the log when they can.`

// Options are the command-line options that all commands share.
type Options struct {
	VM             string `long:"vm" env:"TOUCAN_VM" value-name:"URL" default:"http://127.0.0.1:7001" description:"operators' listener of any VM"`
	CredentialFile string `long:"credential-file" env:"TOUCAN_CREDENTIAL_FILE" value-name:"FILE" description:"file that holds the operator's credential"`
	JSON           bool   `long:"json" description:"print JSON instead of a table"`

	Certificate string `long:"certificate" env:"TOUCAN_CERTIFICATE" value-name:"FILE" description:"own certificate, for a listener with mutual TLS"`
	Key         string `long:"key" env:"TOUCAN_KEY" value-name:"FILE" description:"key of the own certificate"`
	Authority   string `long:"authority" env:"TOUCAN_AUTHORITY" value-name:"FILE" description:"authority that signs the VM's certificate"`
}

// session holds the shared options and the output streams of a command.
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

// tls returns the configuration for mutual TLS, or nil if none of its options is set.
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

// printTable prints header and rows as an aligned table, or v as JSON with --json.
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

// joinCells formats the cells of a table row, separated by tabs.
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

// usageError marks err as an error in the arguments, for which the exit code is
// [cli.ExitUsage].
func usageError(err error) error {
	return &flags.Error{Type: flags.ErrMarshal, Message: err.Error()}
}

// reportError prints err, if it is not nil, and returns the matching exit code.
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

// background returns the context of a command. It has no deadline, because the client bounds
// each request by clientTimeout.
func background() context.Context {
	return context.Background()
}
