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
	// maxLineBytes bounds one line of an engine's stream.
	maxLineBytes = 64 << 10
	// lineBufferBytes is enough for a line of usual length.
	lineBufferBytes = 1 << 10
	// drainTimeout bounds the wait for the end of a stream after its last chunk.
	// A connection can be reused only if the stream was read to its end.
	drainTimeout = time.Second
	// maxTrailerBytes bounds the data that may follow the last chunk.
	maxTrailerBytes = 64
)

// Errors of streams.
var (
	// ErrTruncated is returned by Next if the stream ended before its last
	// chunk.
	ErrTruncated = errors.New("the stream ended before its last chunk")
	// ErrLineTooLong is returned by Next for a line of more than maxLineBytes.
	ErrLineTooLong = fmt.Errorf("the stream has a line of more than %d bytes", maxLineBytes)
)

// doneMarker is the line that may follow the last chunk.
var doneMarker = []byte("data: [DONE]")

// dataPrefix is the prefix of lines that carry chunks.
var dataPrefix = []byte("data: ")

// Stream reads the chunks of an engine's answer. It must be closed, and must
// not be used by several goroutines concurrently.
type Stream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	reader *bufio.Reader
	// longLine holds a line that does not fit into the reader's buffer.
	longLine []byte
	// finished is set once the last chunk was read.
	finished bool
}

// NewStream returns a stream that reads an answer from body. It calls cancel to
// abort the request, which closes its connection.
func NewStream(body io.ReadCloser, cancel context.CancelFunc) *Stream {
	return &Stream{body: body, cancel: cancel, reader: bufio.NewReaderSize(body, lineBufferBytes)}
}

// Next returns the next chunk, and io.EOF after the last one. It skips lines
// that carry no chunk.
func (s *Stream) Next() (Chunk, error) {
	if s.finished {
		return Chunk{}, io.EOF
	}
	for {
		line, err := s.readLine()
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
		s.finished = c.Finish != ""
		return c, nil
	}
}

// readLine returns the next line, which is valid until the next call.
func (s *Stream) readLine() ([]byte, error) {
	part, err := s.reader.ReadSlice('\n')
	if err == nil {
		return part, nil
	}
	s.longLine = s.longLine[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		s.longLine = append(s.longLine, part...)
		if len(s.longLine) > maxLineBytes {
			return nil, ErrLineTooLong
		}
		part, err = s.reader.ReadSlice('\n')
	}
	s.longLine = append(s.longLine, part...)
	return s.longLine, err
}

// HasBufferedChunk reports whether another complete chunk is buffered, so that
// a writer can delay its flush.
func (s *Stream) HasBufferedChunk() bool {
	b, _ := s.reader.Peek(s.reader.Buffered())
	start := bytes.Index(b, dataPrefix)
	return start >= 0 && bytes.IndexByte(b[start:], '\n') >= 0
}

// Close ends the stream. If the last chunk was not read, it closes the
// connection, so that remaining data cannot be taken for the response to another
// request; the engine then stops generating. Otherwise it drains the stream in
// the background, so that the connection can be reused.
func (s *Stream) Close() error {
	if !s.finished {
		s.cancel()
		return s.body.Close()
	}
	go s.drain()
	return nil
}

// drain reads the rest of the stream. It closes the connection if anything but
// the done marker follows.
func (s *Stream) drain() {
	t := time.AfterFunc(drainTimeout, s.cancel)
	defer t.Stop()
	rest, err := io.ReadAll(io.LimitReader(s.reader, maxTrailerBytes))
	rest = bytes.TrimSpace(rest)
	if err != nil || (len(rest) > 0 && !bytes.Equal(rest, doneMarker)) {
		s.cancel()
	}
	// The answer is complete, so an error on closing does not matter.
	_ = s.body.Close()
	s.cancel()
}
