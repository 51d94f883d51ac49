// Package fleet defines the identifiers, units and domain types that every
// other package shares: VMs, data centres, teams, keys, models, adapters,
// routes and upstreams.
//
// The domain types have JSON tags and are validated when they are decoded, so a
// value received over the network is valid wherever it is used.
package fleet
