package util

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the pause after a connection could not be accepted.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// PatientListener is a listener whose Accept fails only once it is closed. Any other error,
// such as a lack of file descriptors or memory, passes: Accept tries again after a pause.
type PatientListener struct {
	net.Listener
	// failed is called with each error that passes, and the pause after it.
	failed func(err error, pause time.Duration)
	closed chan struct{}
	once   sync.Once
}

// NewPatientListener returns a listener that reports the errors that pass.
func NewPatientListener(listener net.Listener, failed func(err error, pause time.Duration)) *PatientListener {
	return &PatientListener{Listener: listener, failed: failed, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *PatientListener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.failed(err, pause)
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-l.closed:
			timer.Stop()
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (l *PatientListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
