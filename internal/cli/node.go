package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/logqueue"
	"github.com/bronzereach/bronzereach/internal/node"
	"github.com/bronzereach/bronzereach/platform"
)

// garbagePercent is how much the heap may grow, in percent of what is in use,
// before garbage is collected.
const garbagePercent = 400

// logPatience bounds the wait for a slow reader of the log at the end.
const logPatience = 200 * time.Millisecond

// memoryPercent is the part of a node's memory that the heap may take before
// garbage is collected more often.
const memoryPercent = 60

// runNode runs one node until it fails or is told to end.
func runNode(arguments []string, streams Streams) (int, error) {
	// Signals may come as soon as the process runs.
	caught := catchSignals()
	defer caught.release()
	flags, err := parseNode(arguments, streams.Err)
	if err != nil {
		return exitUsage, err
	}
	options, err := node.ReadOptions(flags.settings)
	if err != nil {
		return exitUsage, errors.WithMessage(errUsage, err.Error())
	}
	if options.Foreign != nil {
		options.NewAdapter = platform.New
	}
	if flags.profile != "" {
		stop, err := startProfile(flags.profile)
		if err != nil {
			return exitUsage, errors.WithMessage(errUsage, err.Error())
		}
		defer stop()
	}
	// A node keeps little and makes much garbage.
	debug.SetGCPercent(garbagePercent)
	if options.Foreign != nil && options.Foreign.MemoryBytes > 0 {
		debug.SetMemoryLimit(options.Foreign.MemoryBytes * memoryPercent / 100)
	}
	lines := logqueue.New(streams.Out)
	defer lines.Close(logPatience)
	log := newLog(lines)
	n, err := node.New(options, log)
	if err != nil {
		return exitFailed, err
	}
	log.Info("nodeStarted", "vm", options.VM, "callerAddress", n.CallerAddress(), "peerAddress", n.PeerAddress())
	l := &leaver{node: n, log: log, signals: caught.leave}
	go l.loop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := newReloader(flags.settings, n, log, caught.reload)
	go r.loop(ctx)
	if err := n.Run(ctx); err != nil {
		return exitFailed, err
	}
	log.Info("nodeEnded", "vm", options.VM, "cut", l.cut)
	if l.cut > 0 {
		return exitFailed, nil
	}
	return exitDone, nil
}

// signalSet is the signals that a node catches.
type signalSet struct {
	// leave holds two: the second one cuts off what is in progress.
	leave  chan os.Signal
	reload chan os.Signal
}

func catchSignals() signalSet {
	s := signalSet{leave: make(chan os.Signal, 2), reload: make(chan os.Signal, 1)}
	signal.Notify(s.leave, os.Interrupt, syscall.SIGTERM)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func (s signalSet) release() {
	signal.Stop(s.leave)
	signal.Stop(s.reload)
}

// leaver ends a node on signals: in peace on the first, at once on the second.
type leaver struct {
	node    *node.Node
	log     logr.Logger
	signals <-chan os.Signal
	// cut is the number of requests that a second signal cut off.
	cut int64
}

func (l *leaver) loop() {
	<-l.signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.run(cancel)
	if err := l.node.Leave(ctx); err != nil {
		l.cut = l.node.Stop()
		l.log.Info("nodeStopped", "cut", l.cut)
	}
}

// run waits for the second signal.
func (l *leaver) run(cancel context.CancelFunc) {
	<-l.signals
	cancel()
}

// startProfile profiles processor time into a file until stopped.
func startProfile(path string) (stop func(), err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.WithStack(err)
	}
	return func() {
		pprof.StopCPUProfile()
		// The profile is written; a failed close loses nothing that matters.
		_ = file.Close()
	}, nil
}
