package util

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// failingListener fails to accept with each of the errors, then accepts.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		return l.Listener.Accept()
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, err
}

func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

func newLoopbackListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// TestPassingErrorsDoNotEndAListener checks that errors of which net/http takes some for
// final are outlived.
func TestPassingErrorsDoNotEndAListener(t *testing.T) {
	failures := []error{acceptError(syscall.EMFILE), acceptError(syscall.ENOBUFS), acceptError(syscall.ENOMEM), acceptError(syscall.EPROTO)}
	reported := 0
	listener := NewPatientListener(&failingListener{Listener: newLoopbackListener(t), failures: failures}, func(error, time.Duration) { reported++ })
	go func() {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
	}()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	if reported != len(failures) {
		t.Errorf("%d errors were reported, want %d", reported, len(failures))
	}
}

// TestCloseEndsThePauseOfAListener checks that a node that ends doesn't wait for it.
func TestCloseEndsThePauseOfAListener(t *testing.T) {
	failures := make([]error, 100)
	for i := range failures {
		failures[i] = acceptError(syscall.EMFILE)
	}
	failing := &failingListener{Listener: newLoopbackListener(t), failures: failures}
	var listener *PatientListener
	var closed time.Time
	listener = NewPatientListener(failing, func(_ error, pause time.Duration) {
		if pause == maxAcceptPause {
			closed = time.Now()
			_ = listener.Close()
		}
	})
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accepting ended with %v", err)
	}
	if took := time.Since(closed); took > maxAcceptPause/2 {
		t.Errorf("accepting ended %v after the close", took)
	}
}
