package relay

import (
	"context"
	"slices"
	"time"
)

// What a forwarder does with replies that have arrived before it looked: after its process
// was suspended, and when its node is about to end.

const (
	// suspensionGap is how much later than asked for a forwarder runs if its process was
	// suspended.
	suspensionGap = 250 * time.Millisecond
	// arrivedReplyTime is the time after a suspension in which replies that have arrived
	// are handled, before anything is done because of the time that has passed.
	arrivedReplyTime = 50 * time.Millisecond
)

// handleArrived handles the replies that arrived while the process was suspended, if it
// was: the forwarder was due to run at the given time.
func (f *forwarder) handleArrived(ctx context.Context, due time.Time) {
	if time.Since(due) < suspensionGap {
		return
	}
	wait := arrivedReplyTime
	if left := time.Until(f.plan.answerDeadline); left > 0 {
		wait = min(wait, left)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for f.pendingShards > 0 {
		select {
		case e := <-f.events:
			f.handleEvent(e)
		case <-timer.C:
			return
		case <-f.relay.answerNow:
			return
		case <-ctx.Done():
			return
		}
	}
}

// handleLastArrived handles what has come already, or comes within lastReplyTime while
// attempts run, without starting anything new: replies may have arrived that nobody has
// read yet.
func (f *forwarder) handleLastArrived(ctx context.Context) {
	timer := time.NewTimer(f.relay.lastReplyTime)
	defer timer.Stop()
	for f.hasRunningAttempts() {
		select {
		case e := <-f.events:
			f.handleLast(e)
		case <-timer.C:
			f.handleQueued()
			return
		case <-ctx.Done():
			return
		}
	}
}

// handleQueued handles the events that have come already, without starting anything new.
func (f *forwarder) handleQueued() {
	for {
		select {
		case e := <-f.events:
			f.handleLast(e)
		default:
			return
		}
	}
}

func (f *forwarder) hasRunningAttempts() bool {
	return slices.ContainsFunc(f.shards, func(s shardState) bool { return len(s.running) > 0 })
}

// handleLast handles an event of a request that is about to be answered.
func (f *forwarder) handleLast(e forwarderEvent) {
	s := &f.shards[e.shard]
	switch {
	case e.granted != nil:
		s.service.returnGrant(time.Now(), e.granted)
	case e.attempt != nil && e.reply != nil && e.reply.Success:
		f.handleEvent(e)
	case e.attempt != nil:
		s.removeAttempt(e.attempt)
		f.recordRunStatus(e)
	}
}

// buildLeavingAnswer builds the answer of a request that is given up because the node
// leaves.
func (f *forwarder) buildLeavingAnswer(now time.Time) *Answer {
	answer := f.buildAnswer(now)
	switch answer.Outcome {
	case Refused:
		answer.Reason, answer.RetryAfter = ReasonLeaving, leavingRetryAfter
	case Failed, TimedOut:
		answer.Reason = ReasonLeaving
	default:
	}
	return answer
}
