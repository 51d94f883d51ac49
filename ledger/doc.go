// Package ledger holds the ordered state that all VMs share.
//
// The platform's append-only log is the only thing that orders changes. Every
// VM reads the log from its beginning (or from a snapshot) and folds each
// record into a [State] by [State.Apply], which depends on nothing but the
// records before: no wall clock, no random number, no map order. So two VMs
// with the same applied offset have the same state.
//
// A change is proposed as a [Record], appended, and counts as accepted only
// when the [Follower] reads it back and the fold gives its [Verdict]. An append
// whose answer was lost is tried again with the same record. Every kind of
// record is therefore harmless when it stands twice: it names the revision that
// it was based on, or adds to a set that only grows, or the first of several
// claims wins. A copy of a rejected record is rejected too.
//
// # Adding a table
//
// All of the state stands in tables, because snapshots and digests are made
// from them. A new [Table] needs:
//
//   - a field of State, exported or not, made by newTable in NewState with a
//     name that never changes;
//   - one line in State.tables (tables.go), without which TestTablesAreListed
//     fails;
//   - if something is derived from the table, such as an index or a sum, a
//     function that rebuilds it, called in State.reindex (snapshot.go).
//
// The key of a table and its values must come out of JSON as they went in.
package ledger
