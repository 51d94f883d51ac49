// Package ledger replicates the state that all VMs share as a state machine
// over an append-only log.
//
// The platform's log alone determines the order of changes. Every VM reads the
// log from its beginning (or from a snapshot) and applies each record to a
// [State] with [State.Apply]. Applying a record is deterministic: the result
// depends only on the records before it, not on a wall clock, random numbers or
// map iteration order. Two VMs with the same applied offset therefore have the
// same state.
//
// A change is proposed as a [Record] and appended to the log. It counts as
// accepted only once the [Follower] reads it back and applying it yields an
// accepting [Verdict]. An append whose answer was lost is retried with the same
// record, so the log may contain duplicates. Records of every kind are
// idempotent: a record names the revision that it was based on, or adds to a
// set that only grows, or is one of several claims of which the first wins. A
// duplicate of a rejected record is rejected too.
//
// # Adding a table
//
// The whole state is kept in tables, because snapshots and digests are computed
// from them. A new [Table] needs:
//
//   - a field of State, exported or not, created by newTable in NewState with a
//     name that never changes;
//   - one line in State.tables (tables.go), without which TestTablesAreListed
//     fails;
//   - if something is derived from the table, such as an index or a sum, a
//     function that rebuilds it, called in State.rebuildIndexes (snapshot.go).
//
// The keys and values of a table must survive a round trip through JSON.
package ledger
