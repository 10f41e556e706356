package node

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/timeline"
)

const (
	// drainPoll is the time between two checks whether requests are in progress.
	drainPoll = 10 * time.Millisecond
	// drainLogInterval is the time between two log lines of a node that drains.
	drainLogInterval = time.Second
	// answerReserve is the time before the end of the grace period that is left for
	// writing the last answers; at most answerReserveFraction of the grace period.
	answerReserve         = time.Second
	answerReserveFraction = 0.25
	// exitFraction is the fraction of that time that is left for the process to end.
	exitFraction = 0.2
)

// callerFront is what serves callers: the entry, or the adapter to another platform.
type callerFront interface {
	// Leave makes answers tell callers to connect to another node, and requests that
	// might not be answered until answerBy be refused; zero if there is no such time.
	Leave(answerBy time.Time)
	// CloseAdmission makes all further requests be refused.
	CloseAdmission()
	// AnswerNow makes all requests in progress be answered with what is known of them. The
	// answers must be written by the given time.
	AnswerNow(writeBy time.Time)
	// InProgress returns the number of requests that are not answered yet.
	InProgress() int64
}

// front returns what serves callers.
func (n *Node) front() callerFront {
	if n.adapter != nil {
		return n.adapter
	}
	return n.entry
}

// Leave shuts the node down gracefully: it is removed from the address list of callers
// and gives up its gates, and serves callers until the address lists that they keep have
// expired. Then it refuses further requests, so that those in progress come to an end,
// and stops. If the node knows its grace period, all requests are answered within it.
func (n *Node) Leave(ctx context.Context) error {
	left := time.Now()
	answerBy := n.planShutdown(left)
	n.recorder.Record(timeline.Event{
		Name:   timeline.NodeLeaving,
		Detail: fmt.Sprintf("grace=%s addressUse=%s", n.options.GracePeriod, n.options.LeaveTime),
	})
	n.control.leave()
	n.front().Leave(answerBy)
	addressesExpire := left.Add(n.options.LeaveTime)
	if !answerBy.IsZero() && answerBy.Before(addressesExpire) {
		addressesExpire = answerBy
	}
	select {
	case <-time.After(time.Until(addressesExpire)):
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	n.front().CloseAdmission()
	if err := n.drain(ctx, left, answerBy); err != nil {
		return err
	}
	n.cancel()
	return nil
}

// planShutdown returns when all requests must be answered; zero if the grace period is
// not known.
func (n *Node) planShutdown(left time.Time) (answerBy time.Time) {
	grace := n.options.GracePeriod
	if grace <= 0 {
		return answerBy
	}
	killAt := left.Add(grace)
	reserve := min(answerReserve, time.Duration(answerReserveFraction*float64(grace)))
	writeBy := killAt.Add(-time.Duration(exitFraction * float64(reserve)))
	n.writeBy.Store(&writeBy)
	return killAt.Add(-reserve)
}

// drain waits until no request is in progress and, if answerBy is not zero, until callers
// who send or read slowly are done. At answerBy it makes all requests be answered. It logs
// how many there are, so that a process that is killed meanwhile leaves a trace of them.
func (n *Node) drain(ctx context.Context, left, answerBy time.Time) error {
	nextLog := time.Now()
	for n.inProgress() > 0 || n.gates.Busy() || !answerBy.IsZero() && n.handling.Load() > 0 {
		now := time.Now()
		if !answerBy.IsZero() && !now.Before(answerBy) {
			n.logDrain("nodeOverdue", left)
			n.front().AnswerNow(time.Now().Add(n.shutdownTime()))
			return nil
		}
		if !now.Before(nextLog) {
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
	n.log.Info(message, "vm", n.options.VM, "inProgress", n.inProgress(), "handling", n.handling.Load(), "gatesBusy", n.gates.Busy(),
		"sinceStopMs", time.Since(left).Milliseconds())
}

// inProgress returns the number of requests that are not answered yet.
func (n *Node) inProgress() int64 {
	return n.front().InProgress()
}
