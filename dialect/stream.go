package dialect

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	// maxLine bounds a line of an engine's stream in bytes.
	maxLine = 64 << 10
	// lineBuffer holds a usual line in bytes.
	lineBuffer = 1 << 10
	// drainTime bounds the wait for the end of a stream after its last chunk.
	// Only a stream that was read to its end leaves its connection usable.
	drainTime = time.Second
	// maxEpilogue bounds what may follow the last chunk in bytes.
	maxEpilogue = 64
)

// Errors of streams.
var (
	// ErrCutShort is returned by Next if the stream ended without its last
	// chunk.
	ErrTruncated = errors.New("the stream ended before its last chunk")
	// ErrLongLine is returned by Next for a line above the bound.
	ErrLineTooLong = fmt.Errorf("the stream has a line of more than %d bytes", maxLine)
)

// epilogue may follow the last chunk.
var epilogue = []byte("data: [DONE]")

// dataPrefix starts the lines that carry chunks.
var dataPrefix = []byte("data: ")

// Stream is an answer in progress. It must be closed.
type Stream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	lines  *bufio.Reader
	// long collects a line that does not fit the reader's buffer.
	long []byte
	over bool
}

// NewStream reads an answer from body. Cancel is called to abandon the request
// together with its connection.
func NewStream(body io.ReadCloser, cancel context.CancelFunc) *Stream {
	return &Stream{body: body, cancel: cancel, lines: bufio.NewReaderSize(body, lineBuffer)}
}

// Next returns the next chunk, and io.EOF after the last one.
func (s *Stream) Next() (Chunk, error) {
	if s.over {
		return Chunk{}, io.EOF
	}
	for {
		line, err := s.line()
		if errors.Is(err, io.EOF) {
			return Chunk{}, ErrTruncated
		}
		if err != nil {
			return Chunk{}, err
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		var c Chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return Chunk{}, fmt.Errorf("cannot decode a chunk: %w", err)
		}
		s.over = c.Finish != ""
		return c, nil
	}
}

// line returns the next line, which is valid until the next call.
func (s *Stream) line() ([]byte, error) {
	part, err := s.lines.ReadSlice('\n')
	if err == nil {
		return part, nil
	}
	s.long = s.long[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		s.long = append(s.long, part...)
		if len(s.long) > maxLine {
			return nil, ErrLineTooLong
		}
		part, err = s.lines.ReadSlice('\n')
	}
	s.long = append(s.long, part...)
	return s.long, err
}

// More reports whether a whole chunk has arrived already, so that a writer may
// put off its flush.
func (s *Stream) HasBufferedChunk() bool {
	b, _ := s.lines.Peek(s.lines.Buffered())
	at := bytes.Index(b, dataPrefix)
	return at >= 0 && bytes.IndexByte(b[at:], '\n') >= 0
}

// Close ends the stream. The connection of a request that is not over is
// closed, so that what still comes for it can never meet another request; the
// engine then stops generating.
func (s *Stream) Close() error {
	if !s.over {
		s.cancel()
		return s.body.Close()
	}
	go s.drain()
	return nil
}

// drain reads the end of the stream. Anything but the end gives the connection
// up.
func (s *Stream) drain() {
	t := time.AfterFunc(drainTime, s.cancel)
	defer t.Stop()
	rest, err := io.ReadAll(io.LimitReader(s.lines, maxEpilogue))
	rest = bytes.TrimSpace(rest)
	if err != nil || (len(rest) > 0 && !bytes.Equal(rest, epilogue)) {
		s.cancel()
	}
	// The answer is complete; how its connection closes does not matter.
	_ = s.body.Close()
	s.cancel()
}
