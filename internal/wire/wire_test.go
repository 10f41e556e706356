package wire

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzRead: no bytes of a peer lead to a panic or to more memory than they
// announce, and what is written is read back.
func FuzzRead(f *testing.F) {
	var buffer bytes.Buffer
	if err := Write(&buffer, &Call{Clock: 7, Body: &Call_Batch{Batch: &Batch{RequestId: "r", Query: []byte("q")}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(buffer.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 0x00})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		call := &Call{}
		err := Read(bufio.NewReader(bytes.NewReader(data)), call)
		if len(data) == 0 && err != io.EOF {
			t.Fatalf("no bytes: %v", err)
		}
		if err != nil {
			return
		}
		var again bytes.Buffer
		if err := Write(&again, call); err != nil {
			t.Fatal(err)
		}
		back := &Call{}
		if err := Read(bufio.NewReader(&again), back); err != nil || !proto.Equal(call, back) {
			t.Fatalf("%v came back as %v: %v", call, back, err)
		}
	})
}
