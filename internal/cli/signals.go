package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Caught signals stay caught until the process is gone: with the default handling back, a
// signal that arrives just before the exit would kill a process that has ended in order.

// signalSet holds the channels of the signals that a node catches.
type signalSet struct {
	// leave receives SIGINT and SIGTERM. Its buffer holds the signals that may arrive
	// while the node is built.
	leave chan os.Signal
	// reload receives SIGHUP.
	reload chan os.Signal
}

// catchSignals catches a node's signals until the process is gone.
func catchSignals() signalSet {
	s := signalSet{leave: make(chan os.Signal, 2), reload: make(chan os.Signal, 1)}
	signal.Notify(s.leave, os.Interrupt, syscall.SIGTERM)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// untilSignal returns a context that the first SIGINT or SIGTERM cancels. Later ones
// change nothing.
func untilSignal() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return ctx
}
