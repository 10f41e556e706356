// Package wire holds the protobuf messages between nodes and their framing.
package wire

import (
	"bufio"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaximumFrame is the largest message accepted from a peer, in bytes.
const MaxMessageBytes = 256 << 20

var reader = protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}

// Write sends one message with its length in front, in a single call of the
// writer.
func Write(w io.Writer, message proto.Message) error {
	_, err := protodelim.MarshalTo(w, message)
	return errors.WithStack(err)
}

// Read receives one message. An end of the stream between two messages is
// io.EOF.
func Read(r *bufio.Reader, message proto.Message) error {
	err := reader.UnmarshalFrom(r, message)
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return errors.WithStack(err)
}
