package relay

import "time"

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
