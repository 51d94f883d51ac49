package operator

import (
	"github.com/labstack/echo/v4"

	"toucanfall/fleet"
	"toucanfall/ledger"
)

// EnginePlacement describes the memory of one engine.
type EnginePlacement struct {
	Engine         ledger.PlacedEngine `json:"engine"`
	Revision       fleet.Revision      `json:"revision"`
	WeightCapacity fleet.Bytes         `json:"room_bytes"`
	Reserved       fleet.Bytes         `json:"reserved_bytes"`
	Fenced         bool                `json:"fenced"`
}

// Placement is the answer to a placement query: the placers, and the memory of each engine that
// has not been removed.
type Placement struct {
	Placers []ledger.Entry[ledger.PlacerClaim] `json:"placers"`
	Engines []EnginePlacement                  `json:"engines"`
}

func (q *Queries) placement(echo.Context) (any, error) {
	p := Placement{Placers: q.State.Placers.Entries()}
	for _, e := range q.State.Engines.Entries() {
		if e.Value.Gone {
			continue
		}
		p.Engines = append(p.Engines, EnginePlacement{
			Engine:         e.Value,
			Revision:       e.Revision,
			WeightCapacity: q.State.WeightCapacity(e.Value),
			Reserved:       e.Value.Reserved(),
			Fenced:         q.State.Fenced(e.Value),
		})
	}
	return p, nil
}
