package relay

import (
	"bufio"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/pkg/memory"
)

// ErrReplyTooLong is returned when a reply has more bytes than allowed.
var ErrReplyTooLong = errors.New("reply is longer than allowed")

// ReplyReader reads replies from an upstream. An upstream in trouble may send bytes
// without end, so it reads only as many as the protocol allows for each part of a
// reply.
type ReplyReader struct {
	*bufio.Reader
	source *limitedSource
	// exchange is what the reply belongs to.
	exchange exchange
}

// exchange is the part of an attempt that the reader of its reply needs.
type exchange struct {
	// observe is called with what the head of a reply says of the upstream; nil if
	// nobody asks.
	observe func(UpstreamState)
	// lease holds the memory of the reply, which may wait for it until the deadline.
	lease    *memory.Lease
	deadline time.Time
}

// begin lets the next reply belong to the exchange.
func (r *ReplyReader) begin(e exchange) {
	r.exchange, r.source.exchange = e, e
	r.source.headBytes = 0
}

// NewReplyReader returns a reader that reads nothing until Allow is called.
func NewReplyReader(source io.Reader) *ReplyReader {
	limited := &limitedSource{source: source}
	return &ReplyReader{Reader: bufio.NewReaderSize(limited, bufferLength), source: limited}
}

// Report passes on what the head of a reply says of the upstream. A protocol calls it as
// soon as it has read a head, as the rest of the reply may never come.
func (r *ReplyReader) Report(state UpstreamState) {
	if r.exchange.observe != nil {
		r.exchange.observe(state)
	}
}

// AllowHead lets the reader take up to count bytes of a head from its source from now on;
// what is buffered already comes in addition.
func (r *ReplyReader) AllowHead(count int) {
	r.source.left, r.source.head = count, true
}

// ReadBody reads a body of up to limit bytes. announced is the length that the upstream
// states; negative if it states none.
func (r *ReplyReader) ReadBody(body io.Reader, announced int64, limit int) (memory.Buffer, error) {
	if announced > int64(limit) {
		return memory.Buffer{}, errors.WithStack(ErrReplyTooLong)
	}
	r.source.left, r.source.head = limit, false
	return memory.ReadAll(memory.Source{
		Reader: body, Announced: announced, Lease: r.exchange.lease, Free: smallReplyBytes, Deadline: r.exchange.deadline,
	})
}

// limitedSource passes on a limited number of bytes. It takes memory for those of a head,
// which others keep as they parse it.
type limitedSource struct {
	source   io.Reader
	exchange exchange
	left     int
	// head is true while a head is read, headBytes the length of what came of it.
	head      bool
	headBytes int
}

// Read implements io.Reader.
func (s *limitedSource) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, ErrReplyTooLong
	}
	n, err := s.source.Read(b[:min(len(b), s.left)])
	s.left -= n
	if !s.head || n == 0 {
		return n, err
	}
	s.headBytes += n
	if excess := min(n, s.headBytes-smallHeadBytes); excess > 0 {
		if err := s.exchange.lease.Reserve(headFactor*memory.Bytes(excess), s.exchange.deadline); err != nil {
			return 0, err
		}
	}
	return n, err
}
