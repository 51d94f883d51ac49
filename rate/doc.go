// Package rate is a distributed token bucket rate limiter: it limits each team
// to a rate and a burst over all VMs together.
//
// Each data centre has a fixed share of every rate and burst. Within a data
// centre the share is split among the share holders: the VMs of its mint list,
// which is part of the replicated state. [ShareOf] computes the split, and
// [Buckets] holds one token bucket for each team or other [Key]. No part of a rate is ever
// refilled on two VMs. A VM that has too few tokens for a request borrows the
// rest from other share holders; [Limiter] does this over the network.
//
// [Buckets] and [ShareManager] do no I/O and take the time as an argument.
// [Checker] checks their invariant: for every team and every interval, the
// tokens admitted are at most burst + rate * interval.
//
// A VM may refill its buckets, and admit requests from them, only while it holds
// a lease. A lease requires that the VM has recently read the log to its head,
// or that another share holder of its data centre has recently confirmed that
// it knows of no takeover of the VM. A share is taken over only after every
// lease that its holder may still have has expired.
package rate
