// Package wire holds the protobuf messages that nodes exchange and their
// length-prefixed framing.
package wire

import (
	"bufio"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes is the size of the largest message accepted from a peer. The
// largest ones sent hold all upstreams of a large deployment or a configuration.
const MaxMessageBytes = 16 << 20

var unmarshalOptions = protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}

// Write writes one message, prefixed with its length, in a single call of
// w.Write.
func Write(w io.Writer, message proto.Message) error {
	_, err := protodelim.MarshalTo(w, message)
	return errors.WithStack(err)
}

// Read reads one message. It returns io.EOF if the stream ends between two
// messages.
func Read(r *bufio.Reader, message proto.Message) error {
	err := unmarshalOptions.UnmarshalFrom(r, message)
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return errors.WithStack(err)
}
