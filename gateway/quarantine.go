package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"toucanfall/fleet"
	"toucanfall/platform"
	"toucanfall/quarantine"
	"toucanfall/settings"
)

// quarantineOptions are the arguments of the commands on parts of prompts and requests in quarantine.
type quarantineOptions struct {
	List struct {
		Settings string `long:"settings" required:"true" description:"settings file of a VM"`
	} `command:"list" description:"list the parts and requests in quarantine, with the engines that crashed under each"`
	Lift struct {
		Settings string `long:"settings" required:"true" description:"settings file of a VM"`
		Args     struct {
			Part string `positional-arg-name:"PART"`
		} `positional-args:"yes" required:"yes"`
	} `command:"lift" description:"end the quarantine of one part or request on all VMs"`
}

// commandTimeout bounds the calls of a command to the store, retries of its client included.
const commandTimeout = 10 * time.Second

// runQuarantine runs one of the commands.
func runQuarantine(command string, opts *quarantineOptions, stdout, stderr io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	file := opts.List.Settings
	if command == "lift" {
		file = opts.Lift.Settings
	}
	cfg, err := settings.ReadGateway(file)
	if err != nil {
		return err
	}
	store := platform.NewStore(cfg.Store, cfg.StorePartitions, func(string, error) {})
	if command == "lift" {
		return liftPart(ctx, store, cfg.VM, fleet.PartID(opts.Lift.Args.Part), stdout)
	}
	return listParts(ctx, store, stdout, stderr)
}

// listParts prints the parts and requests in quarantine, one a line: the part or the fingerprint of the request,
// for a request its team and route, and the engines that crashed under it. Malformed reports are named on stderr.
func listParts(ctx context.Context, store *platform.Store, stdout, stderr io.Writer) error {
	reports, _, malformed, err := store.ReadReports(ctx, platform.Cursor{}, 0)
	if err != nil {
		return fmt.Errorf("crash reports cannot be read: %w", err)
	}
	if malformed != nil {
		_, _ = fmt.Fprintln(stderr, malformed)
	}
	for _, p := range quarantine.Quarantined(reports) {
		fields := []string{string(p.ID)}
		if p.Origin != nil {
			fields = append(fields, fmt.Sprintf("team=%q", p.Origin.Team), fmt.Sprintf("route=%q", p.Origin.Route))
		}
		for _, e := range p.Engines {
			fields = append(fields, string(e.Upstream))
		}
		if _, err := fmt.Fprintln(stdout, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return nil
}

// liftPart ends the quarantine of a part. VMs learn it as they learn crash reports. A part that is not in
// quarantine loses its counts.
func liftPart(ctx context.Context, store *platform.Store, vm fleet.VMID, part fleet.PartID, stdout io.Writer) error {
	if !platform.ValidPartID(part) && !quarantine.IsFingerprint(part) {
		return errors.New("a part is named by up to 64 hexadecimal digits in lower case, a request by its fingerprint as the list shows it")
	}
	r := quarantine.NewLift(vm, part)
	if err := store.WriteReport(ctx, r); err != nil {
		return fmt.Errorf("it is not known whether %q is lifted; repeat the command: %w", part, err)
	}
	_, err := fmt.Fprintln(stdout, part, "is lifted")
	return err
}
