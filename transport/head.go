package transport

import (
	"bytes"
	"io"
)

// maxHeadLines is the most lines of a head. Each takes some 100 bytes of memory besides its own.
const maxHeadLines = 128

// headLines reads from a connection, and fails at a head of more than maxHeadLines lines. It is not safe for
// concurrent use.
type headLines struct {
	r io.Reader
	// counting is set from begin until the empty line that ends the head.
	counting bool
	lines    int
	// lineBytes is the length of the current line so far, without CR.
	lineBytes int
}

// begin starts the count of a head whose first bytes have been read already. It fails if they have too
// many lines.
func (h *headLines) begin(read []byte) error {
	h.counting, h.lines, h.lineBytes = true, 0, 0
	return h.scan(read)
}

// Read reads from the connection and counts the lines.
func (h *headLines) Read(b []byte) (int, error) {
	n, err := h.r.Read(b)
	if err := h.scan(b[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// scan counts the lines in b up to the empty line that ends the head. It fails if there are too many.
func (h *headLines) scan(b []byte) error {
	for h.counting {
		line, rest, ended := bytes.Cut(b, []byte{'\n'})
		h.lineBytes += len(bytes.TrimSuffix(line, []byte{'\r'}))
		if !ended {
			return nil
		}
		h.counting = h.lineBytes > 0
		if h.counting {
			h.lines++
		}
		if h.lines > maxHeadLines {
			return errHeadTooLong
		}
		b, h.lineBytes = rest, 0
	}
	return nil
}
