package serving

import (
	"context"
	"errors"
	"fmt"
	"net"

	"toucanfall/roster"
)

// Evidence is what decided whether the end of an answer without a frame is its regular end. Its text is the field
// evidence of events and the label of the metric.
type Evidence string

// The evidence. The first four show that the answer is whole, the others do not.
const (
	// EvidenceDocument is a JSON document that cannot go on.
	EvidenceDocument Evidence = "document"
	// EvidenceKeptConnection is an answer of the upstream to a probe on a connection that was open before,
	// EvidenceNewConnection one on a new connection.
	EvidenceKeptConnection Evidence = "kept_connection"
	EvidenceNewConnection  Evidence = "new_connection"
	// EvidenceTraffic are bytes that the upstream sent later on another connection that was open before.
	EvidenceTraffic Evidence = "traffic"
	// EvidenceOtherStart is an answer of another start of the upstream, or of another one at its address, on a new
	// connection while all others have ended. EvidenceReplaced is the same on a connection that was open before: a
	// forwarder has passed the probe on.
	EvidenceOtherStart Evidence = "other_start"
	EvidenceReplaced   Evidence = "replaced"
	// EvidenceRefused is a port that refuses connections, while the upstream has ended all others. EvidenceLeft is the
	// same if the directory or the upstream itself said that it leaves.
	EvidenceRefused Evidence = "refused"
	EvidenceLeft    Evidence = "left"
	// EvidenceReset is a port that resets or closes each new connection.
	EvidenceReset Evidence = "reset"
	// EvidenceTimeout is a port to which no connection could be made in time, EvidenceNoAnswer a connection on which
	// no answer came in time.
	EvidenceTimeout  Evidence = "connect_timeout"
	EvidenceNoAnswer Evidence = "no_answer"
	// EvidenceCancelled is the end of the request while the upstream was asked.
	EvidenceCancelled Evidence = "cancelled"
	// EvidenceNone is an answer that was broken off for another reason.
	EvidenceNone Evidence = "none"
)

// showsWhole reports whether the evidence shows that an answer is whole.
func (e Evidence) showsWhole() bool {
	switch e {
	case EvidenceDocument, EvidenceKeptConnection, EvidenceNewConnection, EvidenceTraffic:
		return true
	}
	return false
}

// showsCut reports whether the evidence shows that the process has ended. open is set if connections are open that were
// open before its answer ended.
func (e Evidence) showsCut(open bool) bool {
	return e == EvidenceReplaced || !open && (e == EvidenceOtherStart || e.isRefusal())
}

// otherStart returns the evidence of an answer of another start of an upstream to a probe, where one of the same start
// would be the evidence by.
func otherStart(by Evidence) Evidence {
	if by == EvidenceKeptConnection {
		return EvidenceReplaced
	}
	return EvidenceOtherStart
}

// isRefusal reports whether the port refuses connections.
func (e Evidence) isRefusal() bool {
	return e == EvidenceRefused || e == EvidenceLeft
}

// unconfirmedError returns the error of an answer whose end the evidence does not confirm.
func (e Evidence) unconfirmedError() error {
	return &breakError{BreakUnconfirmed, fmt.Errorf("the answer broke off: nothing shows that its upstream lives on (%s)", e)}
}

// refusal returns the evidence of a refused connection.
func refusal(u *roster.Upstream) Evidence {
	if leaves(u) {
		return EvidenceLeft
	}
	return EvidenceRefused
}

// failedConnection returns the evidence of a connection that could not be made, or on which no answer came.
func failedConnection(err error, connected bool) Evidence {
	var netErr net.Error
	timeout := errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
	switch {
	case timeout && connected:
		return EvidenceNoAnswer
	case timeout:
		return EvidenceTimeout
	}
	return EvidenceReset
}
