package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
)

// shortListener fails to accept for lack of buffers, which net/http takes for final, some
// times.
type shortListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	return l.Listener.Accept()
}

func TestShortageOfBuffersDoesNotEndANode(t *testing.T) {
	options := DefaultOptions()
	options.VM, options.CallerAddress, options.PeerAddress, options.Platform = "vm-0", "127.0.0.1:0", "127.0.0.1:0", "http://127.0.0.1:1"
	n, err := New(options, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	short := &shortListener{Listener: n.callers}
	short.failures.Store(3)
	n.callers = short
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + n.CallerAddress() + MetricsPath)
	if err != nil {
		t.Error(err)
	} else {
		_ = response.Body.Close()
	}
	select {
	case err := <-ended:
		t.Fatalf("the node ended: %v", err)
	default:
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("the node ended with %v", err)
	}
}
