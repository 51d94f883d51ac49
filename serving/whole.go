package serving

import (
	"encoding/json"
	"errors"
	"net/http"

	"toucanfall/ingress"
	"toucanfall/transport"
)

// incomingAnswer is an upstream's answer that is sent on to a client.
//
// The end of an answer is what tells its reader that it is whole, and the system closes the connections of a killed
// process as at a regular end. So the end of a frame shows that an answer is whole, and the end of a connection does
// not. An answer without a frame counts as whole if it is a JSON document that cannot go on, or if its upstream
// answers after the end and has not been started since (confirm). The client gets it in a frame, whose end is sent
// once that is known, or, if its protocol has none, with a connection that a kill of this process resets
// (connectionEnd). Otherwise the client gets an error, or sees the answer break off.
type incomingAnswer struct {
	*transport.Answer
	// onProgress is called for each part of an answer that is sent on as it is received, but not for events
	// without content (see hasProgress).
	onProgress func()
	// confirm asks the upstream, after the end of its answer, whether it still lives.
	confirm func() Evidence
	// evidence is what decided about the end of an answer without a frame, "" if nothing was asked.
	evidence Evidence
}

// confirmEnd returns an error unless the end of the answer, which has been read, is the end of its frame or the
// upstream confirms it.
func (in *incomingAnswer) confirmEnd() error {
	if in.Framing != transport.Unframed {
		return nil
	}
	if in.evidence = in.confirm(); in.evidence.showsWhole() {
		return nil
	}
	return in.evidence.unconfirmedError()
}

// checkWhole returns an error unless something shows that an answer with the body b is whole.
func (in *incomingAnswer) checkWhole(b []byte) error {
	if in.Framing == transport.Unframed && transport.IsJSON(in.Header) {
		switch {
		case transport.IsUnfinished(b):
			return errors.New("the answer broke off: its document is unfinished")
		case isClosedDocument(b):
			in.evidence = EvidenceDocument
			return nil
		}
	}
	return in.confirmEnd()
}

// isClosedDocument reports whether b is a JSON document that more bytes cannot make another one. The digits of a
// number may go on.
func isClosedDocument(b []byte) bool {
	if !json.Valid(b) {
		return false
	}
	last := b[len(b)-1]
	return last < '0' || last > '9'
}

// connectionEnd marks the end of an answer that ends with its connection, as answers of unknown length do for
// clients of HTTP/1.0. The methods of nil do nothing.
type connectionEnd struct {
	rc *http.ResponseController
	// conn is the client's connection, nil if the server does not name it.
	conn *ingress.Conn
	// withheld is set while an answer without a frame is not complete.
	withheld bool
}

// newConnectionEnd returns nil for requests whose answers can be framed whatever their length.
func newConnectionEnd(rc *http.ResponseController, r *http.Request) *connectionEnd {
	if r.ProtoAtLeast(1, 1) || r.Method == http.MethodHead {
		return nil
	}
	return &connectionEnd{rc: rc, conn: ingress.ConnOf(r.Context())}
}

// withhold makes every end of the connection a reset, whether this process or the system closes it, until complete is
// called. Errors of SetLinger are those of a connection that is closed already.
func (e *connectionEnd) withhold() {
	if e == nil || e.withheld {
		return
	}
	e.withheld = true
	if e.conn != nil {
		_ = e.conn.SetLinger(0)
	}
}

// complete makes the end of the connection a regular one, after the bytes of the answer.
func (e *connectionEnd) complete() error {
	if e == nil || !e.withheld {
		return nil
	}
	e.withheld = false
	if err := e.rc.Flush(); err != nil {
		return err
	}
	if e.conn != nil {
		return e.conn.SetLinger(-1)
	}
	return nil
}

// reset resets the connection of an answer that is not complete, also where conn is nil.
func (e *connectionEnd) reset() error {
	if e == nil || !e.withheld {
		return nil
	}
	conn, _, err := e.rc.Hijack()
	if err != nil {
		return err
	}
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0) // Fails only on a connection that is closed already.
	}
	return conn.Close()
}
