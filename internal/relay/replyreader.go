package relay

import (
	"bufio"
	"io"

	"github.com/pkg/errors"
)

// ErrReplyTooLong is returned when a reply has more bytes than allowed.
var ErrReplyTooLong = errors.New("reply is longer than allowed")

// ReplyReader reads replies from an upstream. An upstream in trouble may send bytes
// without end, so it reads only as many as the protocol allows for each part of a
// reply.
type ReplyReader struct {
	*bufio.Reader
	source *limitedSource
	// observe is called with what the head of a reply says of the upstream; nil if
	// nobody asks.
	observe func(UpstreamState)
}

// NewReplyReader returns a reader that reads nothing until Allow is called.
func NewReplyReader(source io.Reader) *ReplyReader {
	limited := &limitedSource{source: source}
	return &ReplyReader{Reader: bufio.NewReaderSize(limited, bufferLength), source: limited}
}

// Report passes on what the head of a reply says of the upstream. A protocol calls it as
// soon as it has read a head, as the rest of the reply may never come.
func (r *ReplyReader) Report(state UpstreamState) {
	if r.observe != nil {
		r.observe(state)
	}
}

// Allow lets the reader take up to count bytes from its source from now on; what is
// buffered already comes in addition.
func (r *ReplyReader) Allow(count int) {
	r.source.left = count
}

// limitedSource passes on a limited number of bytes.
type limitedSource struct {
	source io.Reader
	left   int
}

// Read implements io.Reader.
func (s *limitedSource) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, ErrReplyTooLong
	}
	n, err := s.source.Read(b[:min(len(b), s.left)])
	s.left -= n
	return n, err
}
