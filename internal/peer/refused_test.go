package peer

import (
	"net"
	"syscall"
	"testing"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/wire"
)

// TestRefusedConnectionIsTold: the cause of ErrUnreachable was lost, so that a member whose
// process had ended was suspected as slowly as one that is cut off.
func TestRefusedConnectionIsTold(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	_, err = NewNetwork(testConfig("vm-2", nil)).CallUnary(t.Context(), "vm-1", listener.Addr().String(), &wire.Call{})
	if !errors.Is(err, ErrUnreachable) || !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("got %v, want unreachable and refused", err)
	}
}
