package peer

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/timer"
)

// shortListener fails to accept as if descriptors were short, some times.
type shortListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

func TestShortageOfDescriptorsDoesNotEndTheNetwork(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	short := &shortListener{Listener: listener}
	short.failures.Store(4)
	network := func(vm string) *Network {
		return NewNetwork(Config{VM: vm, Clock: &timeline.Clock{}, Timers: timer.NewService(), Log: logr.Discard()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- network("vm-0").Serve(ctx, short) }()
	dialled, done := context.WithTimeout(ctx, 2*time.Second)
	defer done()
	if vm, err := network("vm-1").DialAddress(dialled, listener.Addr().String()); err != nil || vm != "vm-0" {
		t.Errorf("dialled %q, error %v", vm, err)
	}
	cancel()
	if err := <-served; !errors.Is(err, context.Canceled) {
		t.Errorf("served until %v", err)
	}
}
