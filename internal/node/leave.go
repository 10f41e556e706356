package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/timeline"
)

const (
	// drainPoll is the time between two checks whether requests are in progress.
	drainPoll = 10 * time.Millisecond
	// drainLogInterval is the time between two log lines of a node that drains.
	drainLogInterval = time.Second
)

// Leave shuts the node down gracefully: it is removed from the address list of
// callers and gives up its gates, serves requests until the address lists that
// callers keep have expired and no request is in progress, then stops.
func (n *Node) Leave(ctx context.Context) error {
	left := time.Now()
	n.recorder.Record(timeline.Event{Name: timeline.NodeLeaving})
	n.control.leave()
	if n.adapter != nil {
		n.adapter.Leave()
	}
	select {
	case <-time.After(n.options.LeaveTime):
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	if err := n.drain(ctx, left); err != nil {
		return err
	}
	n.cancel()
	return nil
}

// drain waits until no request is in progress. It logs how many there are, so that a
// process that is killed meanwhile leaves a trace of them.
func (n *Node) drain(ctx context.Context, left time.Time) error {
	nextLog := time.Now()
	for n.inProgress() > 0 || n.gates.Busy() {
		if now := time.Now(); !now.Before(nextLog) {
			n.logDrain("nodeDraining", left)
			nextLog = now.Add(drainLogInterval)
		}
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
	}
	n.logDrain("nodeDrained", left)
	return nil
}

func (n *Node) logDrain(message string, left time.Time) {
	n.log.Info(message, "vm", n.options.VM, "inProgress", n.inProgress(), "gatesBusy", n.gates.Busy(),
		"sinceStopMs", time.Since(left).Milliseconds())
}

// inProgress returns the number of requests that are not answered yet.
func (n *Node) inProgress() int64 {
	if n.adapter != nil {
		return n.adapter.InProgress()
	}
	return n.entry.InProgress()
}
