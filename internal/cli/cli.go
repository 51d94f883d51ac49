// Package cli holds what the commands share in reading their arguments.
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
	// ExitUsage stands for wrong arguments and for faults in settings.
	ExitUsage = 2
)

// Parse reads args into opts. If it returns false, the command ends with the
// returned exit code: help was asked for, or the arguments are wrong.
func Parse(opts any, args []string, stderr io.Writer) (int, bool) {
	_, err := flags.NewParser(opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	return Exit(err, stderr)
}

// Exit reports err on stderr and returns the exit code that it leads to.
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
