// Package cli holds the argument parsing, exit codes and log format that the commands share.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of all commands.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage is returned for invalid arguments or settings.
	ExitUsage = 2
)

// Parse parses args into opts. If it returns false, the command must exit with the returned
// code, because help was requested or the arguments are invalid.
func Parse(opts any, args []string, stderr io.Writer) (int, bool) {
	_, err := flags.NewParser(opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	return Exit(err, stderr)
}

// Exit prints err on stderr and returns the matching exit code. It reports true if err is nil.
func Exit(err error, stderr io.Writer) (int, bool) {
	if err == nil {
		return ExitOK, true
	}
	_, _ = fmt.Fprintln(stderr, err)
	var fe *flags.Error
	switch {
	case !errors.As(err, &fe):
		return ExitFailure, false
	case fe.Type == flags.ErrHelp:
		return ExitOK, false
	default:
		return ExitUsage, false
	}
}
