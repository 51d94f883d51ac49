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
// claims wins.
package ledger
