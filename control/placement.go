package control

import (
	"fmt"

	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/operator"
)

type listPlacement struct{ session *session }

// Execute shows one row for each reservation.
func (c *listPlacement) Execute([]string) error {
	var p operator.Placement
	if err := c.session.ask("placement", nil, &p); err != nil {
		return err
	}
	var rows []string
	for _, e := range p.Engines {
		for _, h := range e.Engine.Held {
			rows = append(rows, row(e.Engine.ID, e.Engine.DataCentre, e.Fenced, e.Reserved, e.WeightCapacity, h.Weights, h.Size, heldState(h), e.Revision))
		}
		if len(e.Engine.Held) == 0 {
			rows = append(rows, row(e.Engine.ID, e.Engine.DataCentre, e.Fenced, e.Reserved, e.WeightCapacity, "", "", "empty", e.Revision))
		}
	}
	return c.session.table(p, "ENGINE\tDATA CENTRE\tFENCED\tRESERVED\tROOM\tWEIGHTS\tSIZE\tSTATE\tREVISION", rows)
}

// heldState names how far a reservation is.
func heldState(h ledger.HeldWeights) string {
	switch {
	case h.Unload != 0 && h.Shown:
		return "unloading"
	case h.Unload != 0:
		return "unloaded, not settled"
	case h.Ready:
		return "ready"
	case h.Shown:
		return "loading"
	default:
		return "ordered, not shown"
	}
}

type clearPlacement struct {
	session *session
	Version string `long:"version" required:"true" description:"version of the model"`
	Adapter string `long:"adapter" description:"adapter, if not the model itself is meant"`
	based
	Args struct {
		Engine string `positional-arg-name:"ENGINE"`
		Model  string `positional-arg-name:"MODEL"`
	} `positional-args:"true" required:"true"`
}

// Execute clears one reservation. Without a revision the current one is used.
func (c *clearPlacement) Execute([]string) error {
	base := c.Base
	if base == 0 {
		var p operator.Placement
		if err := c.session.ask("placement", nil, &p); err != nil {
			return err
		}
		for _, e := range p.Engines {
			if string(e.Engine.ID) == c.Args.Engine {
				base = uint64(e.Revision)
			}
		}
		if base == 0 {
			return fmt.Errorf("engine %q is not known", c.Args.Engine)
		}
	}
	return c.session.propose(ledger.KindPlacementClear, base, &ledger.PlacementClear{
		Engine: fleet.UpstreamID(c.Args.Engine),
		Weights: ledger.Weights{
			Model:   fleet.ModelID(c.Args.Model),
			Version: c.Version,
			Adapter: fleet.AdapterID(c.Adapter),
		},
	})
}
