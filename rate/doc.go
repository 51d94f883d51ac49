// Package rate holds teams to a rate and a burst over all VMs together.
//
// Every unit of a rate is minted by exactly one VM. Each data centre has a fixed
// share of every rate and burst; within it the share is split among the VMs of
// its mint list, which is part of the ordered state. [Terms] computes the split
// and [Minter] holds one token bucket for each team. A VM that is short of
// tokens for the request in hand borrows them from others; [Limiter] does that
// over a transport.
//
// [Minter] and [Keeper] decide and do no input or output: the time is an
// argument. The promise that they keep is checked by [Checker]: for every team
// and every interval, tokens admitted are at most burst + rate * interval.
//
// A VM may mint, and admit what it has minted, only while it holds a lease: it
// has read the log to its head a short time ago, or another minting VM of its
// data centre has vouched that it has confirmed no takeover. A VM that takes a
// share over waits until every lease that may stand has run out.
package rate
