package replica

import "time"

// Slots returns how many attempts this node may have in progress at the replicas that may be
// used by the given time, and the mean time that one occupies its slot; 0 and 0 if that is
// not known of one of them. Of the two averages of a replica's durations the lower one
// counts: one of them may still hold a burst of long ones.
func (g *Group[C]) Slots(by time.Time) (slots int, slotTime time.Duration) {
	perSecond := 0.0
	for _, replica := range g.replicas {
		if !replica.state.usable(by) {
			continue
		}
		seconds := min(replica.state.slotTime, replica.state.latency)
		if seconds <= 0 {
			return 0, 0
		}
		limit := g.attemptLimit(replica, by)
		slots += limit
		perSecond += float64(limit) / seconds
	}
	if slots == 0 {
		return 0, 0
	}
	return slots, time.Duration(float64(slots) / perSecond * float64(time.Second))
}
