// Package fleet defines the identifiers, units and domain types that every
// other package shares: VMs, data centres, teams, keys, models, adapters,
// routes and upstreams.
//
// Domain types carry their JSON tags and check themselves when they are
// decoded, so a value that came over the wire is valid wherever it is used.
package fleet
