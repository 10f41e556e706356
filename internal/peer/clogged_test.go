package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/wire"
)

// throttledListener accepts connections that write few bytes at a time.
type throttledListener struct {
	net.Listener
}

func (l throttledListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return throttledConn{conn}, err
}

type throttledConn struct {
	net.Conn
}

func (c throttledConn) Write(b []byte) (written int, err error) {
	const chunk, pause = 4 << 10, 20 * time.Millisecond
	for written < len(b) && err == nil {
		if len(b) > chunk {
			time.Sleep(pause)
		}
		n := 0
		n, err = c.Conn.Write(b[written:min(written+chunk, len(b))])
		written += n
	}
	return written, err
}

// longHandler answers each call with a long reply.
type longHandler struct{}

func (longHandler) Handle(_ context.Context, _ *wire.Call, send func(*wire.Reply) error) {
	_ = send(&wire.Reply{Body: &wire.Reply_Forwarded{Forwarded: &wire.Forwarded{Answer: make([]byte, 200<<10)}}})
}

// TestCloggedLinkIsNotSilent: a link on which a long reply was arriving was closed, as the
// answer to the ping had to wait behind it.
func TestCloggedLinkIsNotSilent(t *testing.T) {
	for name, ping := range map[string]func(n *Network, address string){
		"retire":  func(n *Network, _ string) { n.Retire("vm-1") },
		"confirm": func(n *Network, address string) { _ = n.Confirm(t.Context(), "vm-1", address) },
	} {
		t.Run(name, func(t *testing.T) {
			plain, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = NewNetwork(testConfig("vm-1", longHandler{})).Serve(t.Context(), throttledListener{plain}) }()
			network := NewNetwork(testConfig("vm-2", nil))
			stream, err := network.Call(t.Context(), "vm-1", plain.Addr().String(), &wire.Call{})
			if err != nil {
				t.Fatal(err)
			}
			defer stream.Close()
			time.Sleep(100 * time.Millisecond)
			ping(network, plain.Addr().String())
			if _, err := stream.Receive(); err != nil {
				t.Errorf("the call in progress: %v", err)
			}
		})
	}
}
