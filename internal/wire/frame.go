// Package wire holds the protobuf messages that nodes exchange and their
// length-prefixed framing.
package wire

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/bronzereach/bronzereach/pkg/memory"
)

// MaxMessageBytes is the size of the largest message accepted from a peer. The
// largest ones sent hold all upstreams of a large deployment or a configuration.
const MaxMessageBytes = 16 << 20

const (
	// smallMessageBytes are those of a message that are not taken from an account, so that
	// exchanges between nodes go on while it is used up.
	smallMessageBytes = 4 * memory.Kilobyte
	// memoryTimeout is how long a message waits for memory.
	memoryTimeout = 2 * time.Second
)

// ErrTooLong means that a message is longer than allowed.
var ErrTooLong = errors.New("the message is longer than allowed")

// Write writes one message, prefixed with its length, in a single call of
// w.Write.
func Write(w io.Writer, message proto.Message) error {
	_, err := protodelim.MarshalTo(w, message)
	return errors.WithStack(err)
}

// Allowance bounds what a message may take.
type Allowance struct {
	// MaxBytes is its greatest length.
	MaxBytes uint64
	// Lease holds its bytes and those of its decoded form; nil for no bound.
	Lease *memory.Lease
}

// Read reads one message. Memory is taken as its bytes come, not as they are announced. It
// returns io.EOF if the stream ends between two messages.
func Read(r *bufio.Reader, message proto.Message, allowed Allowance) error {
	length, err := binary.ReadUvarint(r)
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if err != nil {
		return errors.WithStack(err)
	}
	if length > allowed.MaxBytes {
		return errors.WithStack(ErrTooLong)
	}
	deadline := time.Now().Add(memoryTimeout)
	body, err := memory.ReadAll(memory.Source{
		Reader: &truncatedReader{reader: r, left: int64(length)}, Announced: int64(length),
		Lease: allowed.Lease, Free: smallMessageBytes, Deadline: deadline,
	})
	if err != nil {
		return err
	}
	if decoded := memory.Bytes(length) - smallMessageBytes; decoded > 0 {
		if err := allowed.Lease.Reserve(decoded, deadline); err != nil {
			return err
		}
	}
	return errors.WithStack(proto.Unmarshal(body.Bytes(), message))
}

// truncatedReader reads a number of bytes. It returns io.ErrUnexpectedEOF if the stream ends
// before.
type truncatedReader struct {
	reader io.Reader
	left   int64
}

// Read implements io.Reader.
func (t *truncatedReader) Read(b []byte) (int, error) {
	if t.left == 0 {
		return 0, io.EOF
	}
	n, err := t.reader.Read(b[:min(int64(len(b)), t.left)])
	t.left -= int64(n)
	if errors.Is(err, io.EOF) && t.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
