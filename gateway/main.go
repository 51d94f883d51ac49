package gateway

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/internal/cli"
	"toucanfall/internal/logline"
	"toucanfall/settings"
)

type options struct {
	Gateway struct {
		Settings string `long:"settings" required:"true" description:"settings file, made from the template in deploy/"`
		Check    bool   `long:"check" description:"check the settings and end"`
	} `command:"gateway" description:"run the gateway of this VM"`
	Quarantine quarantineOptions `command:"quarantine" description:"parts of prompts that crashed engines"`
}

// Main runs the toucanfall command with args and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	// SIGHUP ends a process that does not handle it, and may arrive at any time, so it is
	// handled before the settings are read.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.ParseArgs(args); err != nil {
		code, _ := cli.Exit(err, stderr)
		return code
	}
	if parser.Active.Name == "quarantine" {
		code, _ := cli.Exit(runQuarantine(parser.Active.Active.Name, &opts.Quarantine, stdout, stderr), stderr)
		return code
	}
	cfg, err := settings.ReadGateway(opts.Gateway.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return cli.ExitUsage
	}
	if opts.Gateway.Check {
		return cli.ExitOK
	}
	if err := runGateway(cfg, opts.Gateway.Settings, hup, stdout, stderr); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return cli.ExitFailure
	}
	return cli.ExitOK
}

// heapFraction is the fraction of a VM's memory that the heap may take before garbage is
// collected more often; the rest is for stacks and sockets.
const heapFraction = 0.6

// droppedLinesRecord formats the log record that reports how many lines were dropped. It
// bypasses the logger, whose output waits for this record.
func droppedLinesRecord(vm fleet.VMID, n int) []byte {
	ev := event.LinesLeftOut
	// Strings and numbers can always be encoded.
	b, _ := cli.NewFormatter().Format(&logrus.Entry{
		Time: time.Now(), Level: ev.Level, Message: ev.Name,
		Data: logrus.Fields{"event": int(ev.Number), "process": string(vm), "lines": strconv.Itoa(n)},
	})
	return b
}

func runGateway(cfg *settings.Gateway, file string, hup <-chan os.Signal, stdout, stderr io.Writer) error {
	log := logline.New(stdout, func(n int) []byte { return droppedLinesRecord(cfg.VM, n) })
	defer func() {
		if err := log.Close(); err != nil {
			_, _ = fmt.Fprintln(stderr, err)
		}
	}()
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryMB<<20) * heapFraction))
	}
	g, err := New(cfg, cli.NewLogger(log, cfg.LogLevel))
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	go g.reload(ctx, file, hup)
	return g.Run(ctx)
}
