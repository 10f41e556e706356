package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/util"
)

// Limits of an auxiliary server.
const (
	// auxiliaryHeaderBytes is what the head of a request may have. The requests are short
	// and have no body.
	auxiliaryHeaderBytes = 8 << 10
	// auxiliaryDescriptorShare is the share of the process's file descriptors that the
	// connections of one auxiliary server may use.
	auxiliaryDescriptorShare = 1.0 / 16
	// auxiliaryTimeout bounds reading a request and writing its answer.
	auxiliaryTimeout = 2 * time.Second
)

// ServeAuxiliary serves an address besides that for callers' requests, such as that of a
// directory, until the context ends. Its connections are bounded in number, and what arrives
// on them in length and in time.
func (n *Node) ServeAuxiliary(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	patient := util.NewPatientListener(listener, func(err error, pause time.Duration) {
		n.log.Info("callerNotAccepted", "address", address, "error", err.Error(), "pauseMs", pause.Milliseconds())
	})
	conns := newCallerConns(callerConnsConfig{
		Timeouts: func() (time.Duration, time.Duration) { return auxiliaryTimeout, idleTimeout },
		Maximum:  max(1, int(auxiliaryDescriptorShare*float64(n.MaxDescriptors()))),
		Timers:   n.timers,
		Log:      n.log.WithValues("address", address),
	})
	server := &http.Server{
		Handler:        handler,
		ReadTimeout:    auxiliaryTimeout,
		WriteTimeout:   auxiliaryTimeout,
		IdleTimeout:    serverIdleTimeout,
		MaxHeaderBytes: auxiliaryHeaderBytes,
		ConnState:      conns.stateChanged,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	go conns.run(ctx)
	return errors.WithStack(server.Serve(callerListener{Listener: patient, conns: conns}))
}
