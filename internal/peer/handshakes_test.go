package peer

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/wire"
)

// TestSilentConnectionsMakeRoomForMembers guards against connections to the peers' address on
// which nothing comes: no more of them are open than allowed, and members get through.
func TestSilentConnectionsMakeRoomForMembers(t *testing.T) {
	const maximum, silent = 4, 12
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	config := testConfig("vm-1", panickingHandler{})
	config.MaxHandshakes = maximum
	go func() { _ = NewNetwork(config).Serve(t.Context(), listener) }()
	var conns []net.Conn
	for range silent {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	if _, err := NewNetwork(testConfig("vm-2", nil)).CallUnary(t.Context(), "vm-1", listener.Addr().String(), &wire.Call{}); err != nil {
		t.Errorf("a member didn't get through: %v", err)
	}
	// The connections are read side by side: one that is open is read until the deadline, after
	// which a read from one that was closed would end like a timeout.
	var readers sync.WaitGroup
	var open atomic.Int64
	until := time.Now().Add(handshakeTimeout / 4)
	for _, conn := range conns {
		_ = conn.SetReadDeadline(until)
		readers.Go(func() {
			if _, err := io.Copy(io.Discard, conn); isTimeout(err) {
				open.Add(1)
			}
		})
	}
	readers.Wait()
	if count := open.Load(); count > maximum {
		t.Errorf("%d silent connections are open, %d are allowed", count, maximum)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
