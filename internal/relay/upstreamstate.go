package relay

import (
	"time"
)

// stateChange is what came of an upstream's state for its service.
type stateChange struct {
	// news is true if the upstream was in use before.
	news bool
	// until is when the upstream may be used again; zero if it never may.
	until time.Time
	// usable is the number of replicas that may still be used, refused that of the
	// waiting requests that were refused.
	usable, refused int
}

// recordUpstreamState takes over what the head of a reply says of the upstream.
func (a *attempt) recordUpstreamState(state UpstreamState) {
	now := time.Now()
	if state.RetryAfter > 0 {
		change := a.service.backOff(now, a.upstreamReplica, state.RetryAfter)
		a.logStateChange("upstreamBacksOff", state, change)
	}
	if !state.Leaving {
		return
	}
	change := a.service.markLeaving(now, a.upstreamReplica)
	if !change.news {
		return
	}
	a.upstreamReplica.Data.shutDown()
	a.logStateChange("upstreamLeaving", state, change)
	if leaves := a.service.relay.config.UpstreamLeaves; leaves != nil {
		leaves(a.upstreamReplica.Data.registration.Instance())
	}
}

// logStateChange logs which reply decided that an upstream gets nothing.
func (a *attempt) logStateChange(message string, state UpstreamState, change stateChange) {
	if !change.news {
		return
	}
	now, registration := time.Now(), a.upstreamReplica.Data.registration
	skipped, ok := a.service.relay.logLimiter.allow(now, false)
	if !ok {
		return
	}
	values := []any{
		"service", a.service.name, "upstream", registration.ID, "born", registration.Born,
		"source", "reply", "requestID", a.request.ID, "status", state.Status, "ageMs", now.Sub(a.started).Milliseconds(),
		"usable", change.usable, "refused", change.refused,
	}
	if !change.until.IsZero() {
		values = append(values, "retryAfterMs", state.RetryAfter.Milliseconds(), "unusedMs", change.until.Sub(now).Milliseconds())
	}
	a.service.relay.config.Log.Info(message, append(values, "linesSkipped", skipped)...)
}

// markLeaving records that a replica told that it leaves.
func (s *service) markLeaving(now time.Time, r *upstreamReplica) stateChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateChange(now, s.replicaGroup.MarkLeaving(r))
}

// backOff records that a replica wants no requests for a time.
func (s *service) backOff(now time.Time, r *upstreamReplica, retryAfter time.Duration) stateChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := s.stateChange(now, s.replicaGroup.BackOff(r, now, now.Add(retryAfter), s.random))
	change.until = r.BacksOffUntil()
	return change
}

// stateChange refuses the requests that now wait in vain and returns what has changed.
func (s *service) stateChange(now time.Time, news bool) stateChange {
	refused := s.refuseStranded(now)
	usable, _ := s.replicaGroup.CountUsable(now)
	return stateChange{news: news, usable: usable, refused: refused}
}

// refuseStranded refuses all waiters if they wait in vain and returns how many.
func (s *service) refuseStranded(now time.Time) (refused int) {
	if !s.replicaGroup.Stranded(now) {
		return 0
	}
	reason := s.unusableReason(now)
	for _, w := range s.waiting {
		w.forwarder.events <- forwarderEvent{shard: w.shard, refused: reason}
	}
	refused = len(s.waiting)
	s.waiting = nil
	return refused
}

// unusableReason returns why no replica can be used, if that is so.
func (s *service) unusableReason(now time.Time) Reason {
	usable, untilUsable := s.replicaGroup.CountUsable(now)
	if usable == 0 && untilUsable > 0 && s.replicaGroup.Stranded(now) {
		return ReasonBackingOff
	}
	return ReasonNoUpstream
}

// countUnused returns how many replicas are leaving, and how many others back off.
func (s *service) countUnused(now time.Time) (leaving, backingOff int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicaGroup.CountUnused(now)
}
