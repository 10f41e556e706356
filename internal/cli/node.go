package cli

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/pprof"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/logqueue"
	"github.com/bronzereach/bronzereach/internal/node"
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/platform"
)

// logCloseTimeout bounds the wait for a slow reader of the log when the node ends.
const logCloseTimeout = 200 * time.Millisecond

// runNode runs a node until it fails or a signal ends it.
func runNode(arguments []string, streams Streams) (int, error) {
	// Catch signals first: they may arrive as soon as the process runs.
	caughtSignals := catchSignals()
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
		if err := platform.ApplyBounds(os.Getenv(boundsVariable), options.Foreign); err != nil {
			return exitUsage, errors.WithMessagef(errUsage, "%s: %s", boundsVariable, err)
		}
	}
	if flags.gracePeriod > 0 {
		options.GracePeriod = flags.gracePeriod
	}
	if flags.profile != "" {
		stop, err := startProfile(flags.profile)
		if err != nil {
			return exitUsage, errors.WithMessage(errUsage, err.Error())
		}
		defer stop()
	}
	if options.Memory > 0 {
		debug.SetMemoryLimit(int64(memory.HeapLimit(options.Memory)))
	}
	logOutput := logqueue.New(streams.Out)
	defer logOutput.Close(logCloseTimeout)
	log := newLog(logOutput)
	if err := checkMemory(options); err != nil {
		log.Info("memoryTooSmall", "vm", options.VM, "problem", err.Error())
	}
	n, err := node.New(options, log)
	if err != nil {
		return exitFailed, err
	}
	log.Info("nodeStarted", "vm", options.VM, "callerAddress", n.CallerAddress(), "peerAddress", n.PeerAddress())
	h := &shutdownHandler{node: n, log: log, signals: caughtSignals.leave}
	go h.loop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := newReloader(flags.settings, n, log, caughtSignals.reload)
	go r.loop(ctx)
	if err := n.Run(ctx); err != nil {
		return exitFailed, err
	}
	aborted := n.Aborted()
	log.Info("nodeEnded", "vm", options.VM, "cut", aborted)
	if aborted > 0 {
		return exitFailed, nil
	}
	return exitDone, nil
}

// shutdownHandler ends a node on signals: gracefully on the first one, at once on an
// interrupt (SIGINT) after it. A repeated SIGTERM changes nothing: supervisors may send
// one to a process that is shutting down already.
type shutdownHandler struct {
	node    *node.Node
	log     logr.Logger
	signals <-chan os.Signal
}

func (h *shutdownHandler) loop() {
	<-h.signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.run(cancel)
	if err := h.node.Leave(ctx); err != nil {
		h.node.Stop()
		h.log.Info("nodeStopped", "cut", h.node.Aborted())
	}
}

// run waits for an interrupt.
func (h *shutdownHandler) run(cancel context.CancelFunc) {
	for s := range h.signals {
		if s == os.Interrupt {
			cancel()
			return
		}
		h.log.Info("signalRepeated", "signal", s.String())
	}
}

// startProfile writes a CPU profile to a file until stop is called.
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
		// StopCPUProfile has written the profile, so an error of Close is ignored.
		_ = file.Close()
	}, nil
}
