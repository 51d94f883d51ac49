package control

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

// commandGroup groups the subcommands for one kind of entity.
type commandGroup struct {
	name, text  string
	subcommands []subcommand
}

// subcommand is a command of toucanctl. run holds its options and implements flags.Commander.
type subcommand struct {
	name, text string
	run        any
}

// commandGroups returns the commands that have subcommands.
func commandGroups(s *session) []commandGroup {
	return []commandGroup{
		{"settings", "the settings tree", []subcommand{
			{"show", "show what is set, or the effective values of a scope and where they come from", &showSettings{session: s}},
			{"set", "change one value", &setSetting{session: s}},
		}},
		{"team", "teams", []subcommand{
			{"put", "make or change a team", &putTeam{session: s}},
			{"list", "list teams", &listTeams{session: s}},
		}},
		{"key", "callers' keys", []subcommand{
			{"create", "make a key of a team and show its secret once", &createKey{session: s}},
			{"withdraw", "withdraw a key permanently", &withdrawKey{session: s}},
			{"list", "list keys without their secrets", &listKeys{session: s}},
		}},
		{"model", "models", []subcommand{
			{"put", "make or change a model", &putModel{session: s}},
			{"list", "list models", &listModels{session: s}},
		}},
		{"adapter", "adapters", []subcommand{
			{"put", "make or change an adapter", &putAdapter{session: s}},
			{"list", "list adapters", &listAdapters{session: s}},
		}},
		{"route", "routes", []subcommand{
			{"put", "make or change a route", &putRoute{session: s}},
			{"list", "list routes", &listRoutes{session: s}},
		}},
		{"operator", "operators", []subcommand{
			{"put", "make or change an operator and show a new credential once", &putOperator{session: s}},
			{"list", "list operators", &listOperators{session: s}},
		}},
		{"placement", "models in engines' memory", []subcommand{
			{"list", "show the memory of every engine and what it is reserved for", &listPlacement{session: s}},
			{"clear", "release memory of weights that the engine does not report, after making sure that no order for them can still arrive", &clearPlacement{session: s}},
		}},
		{"upstream", "upstreams", []subcommand{
			{"list", "list upstreams with load and resident models", &listUpstreams{session: s}},
		}},
	}
}

// topLevelCommands returns the commands without subcommands.
func topLevelCommands(s *session) []subcommand {
	return []subcommand{
		{"status", "show the applied offset of every VM", &statusCommand{session: s}},
		{"history", "show who changed a setting or an entity", &showHistory{session: s}},
		{"timeline", "show events of all processes in order", &showTimeline{session: s}},
		{"secret", "make a random credential and its hash", &secretCommand{session: s}},
	}
}

// addCommands adds all commands to parser.
func addCommands(parser *flags.Parser, s *session) error {
	for _, n := range commandGroups(s) {
		group, err := parser.AddCommand(n.name, n.text, n.text, &struct{}{})
		if err != nil {
			return fmt.Errorf("command %s: %w", n.name, err)
		}
		if err := addSubcommands(group, n.subcommands); err != nil {
			return err
		}
	}
	return addSubcommands(parser.Command, topLevelCommands(s))
}

func addSubcommands(into *flags.Command, entries []subcommand) error {
	for _, e := range entries {
		if _, err := into.AddCommand(e.name, e.text, e.text, e.run); err != nil {
			return fmt.Errorf("command %s: %w", e.name, err)
		}
	}
	return nil
}
