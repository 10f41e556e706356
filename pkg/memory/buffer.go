package memory

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

// Sizes of a buffer's chunks. The first ones are small, as most messages are. All are
// multiples of 16.
const (
	firstChunk Bytes = 4 * Kilobyte
	maxChunk   Bytes = 64 * Kilobyte
)

// Buffer holds a message in chunks, so that it grows without being copied. It is immutable
// once it has been read.
type Buffer struct {
	// chunks hold the message in order. None is empty, and all but the last hold a multiple
	// of 16 bytes.
	chunks [][]byte
	length int
}

// NewBuffer returns a buffer of bytes, which must not be changed afterwards.
func NewBuffer(bytes []byte) Buffer {
	if len(bytes) == 0 {
		return Buffer{}
	}
	return Buffer{chunks: [][]byte{bytes}, length: len(bytes)}
}

// Split returns a buffer of bytes, which must not be changed afterwards, in chunks.
func Split(bytes []byte) (b Buffer) {
	b.length = len(bytes)
	for len(bytes) > 0 {
		size := min(len(bytes), int(maxChunk))
		b.chunks, bytes = append(b.chunks, bytes[:size]), bytes[size:]
	}
	return b
}

// Len returns the length in bytes.
func (b Buffer) Len() int {
	return b.length
}

// Chunks returns the chunks in order; they must not be changed.
func (b Buffer) Chunks() [][]byte {
	return b.chunks
}

// Bytes returns the message as one slice, which must not be changed.
func (b Buffer) Bytes() []byte {
	if len(b.chunks) == 1 {
		return b.chunks[0]
	}
	all := make([]byte, 0, b.length)
	for _, chunk := range b.chunks {
		all = append(all, chunk...)
	}
	return all
}

// Reader returns a reader of the message.
func (b Buffer) Reader() io.Reader {
	return &bufferReader{chunks: b.chunks}
}

// bufferReader reads chunks.
type bufferReader struct {
	chunks [][]byte
	offset int
}

// Read implements io.Reader.
func (r *bufferReader) Read(b []byte) (int, error) {
	if len(r.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(b, r.chunks[0][r.offset:])
	r.offset += n
	if r.offset == len(r.chunks[0]) {
		r.chunks, r.offset = r.chunks[1:], 0
	}
	return n, nil
}

// Source describes a message that is to be read.
type Source struct {
	Reader io.Reader
	// Announced is the length that the sender states; negative if it states none.
	Announced int64
	// Lease holds the bytes. The first Free bytes are not taken from it.
	Lease *Lease
	Free  Bytes
	// Deadline is until when to wait for bytes.
	Deadline time.Time
}

// ReadAll reads a message to its end. Each chunk is reserved before it is read into, and
// none for what was only announced.
func ReadAll(s Source) (b Buffer, err error) {
	left, reserved := s.Announced, s.Free
	for size := firstChunk; ; size = min(4*size, maxChunk) {
		if s.Announced >= 0 {
			// A true length leaves no part of the last chunk unused.
			size = min(size, Bytes(left))
		}
		if size == 0 {
			return b, expectEnd(s.Reader)
		}
		if reserved -= size; reserved < 0 {
			if err := s.Lease.Reserve(-reserved, s.Deadline); err != nil {
				return b, err
			}
			reserved = 0
		}
		chunk := make([]byte, size)
		n, err := readChunk(s.Reader, chunk)
		if n > 0 {
			b.chunks, b.length = append(b.chunks, chunk[:n]), b.length+n
			s.Lease.Progressed()
		}
		left -= int64(n)
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, errors.WithStack(err)
		}
	}
}

// readChunk reads until the chunk is full. Unlike with io.ReadFull, io.EOF always means the
// reader's own end.
func readChunk(r io.Reader, chunk []byte) (n int, err error) {
	for n < len(chunk) && err == nil {
		var read int
		read, err = r.Read(chunk[n:])
		n += read
	}
	return n, err
}

// expectEnd returns an error unless the reader is at its end.
func expectEnd(r io.Reader) error {
	var rest [1]byte
	switch n, err := readChunk(r, rest[:]); {
	case n > 0:
		return errors.New("the message is longer than its stated length")
	case errors.Is(err, io.EOF):
		return nil
	default:
		return errors.WithStack(err)
	}
}
