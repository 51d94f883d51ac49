package daemon

import (
	"fmt"
	"io"
	"os"
	"os/signal"

	"toucanfall/internal/cli"
	"toucanfall/settings"
)

// options are the command line of toucand.
type options struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings file of this process, in JSON"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
}

// Main runs toucand with the given arguments and returns its exit code.
func Main(args []string, stderr io.Writer) int {
	var opts options
	if code, ok := cli.Parse(&opts, args, stderr); !ok {
		return code
	}
	cfg, err := settings.ReadProcess(opts.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return cli.ExitUsage
	}
	if opts.Check {
		return cli.ExitOK
	}
	return serve(cfg, stderr)
}

func serve(cfg *settings.Process, stderr io.Writer) int {
	logger := cli.NewLogger(stderr, cfg.LogLevel) // The level was checked with the settings.
	d, err := New(cfg, NewTCP(), logger)
	if err != nil {
		logger.WithError(err).Error("cannot start")
		return cli.ExitFailure
	}
	signals := make(chan os.Signal, len(StopSignals))
	signal.Notify(signals, StopSignals...)
	if err := d.Run(signals); err != nil {
		logger.WithError(err).Error("ended by an error")
		return cli.ExitFailure
	}
	return cli.ExitOK
}
