package member

// Bounds of the local health score.
const (
	// maximumHealthScore bounds the score, and with it the longest timeouts.
	maximumHealthScore = 6
	// timeoutFactorStep is the increase of the timeout factor for each point.
	timeoutFactorStep = 0.5
)

// LocalHealth is a node's estimate of how slow the node itself is. If its
// exchanges with several members fail or its ticks run late, the node itself
// may be the slow one, so it gives the others more time. The zero value is a
// healthy node. It follows the local health multiplier of the Lifeguard
// extensions of SWIM.
type LocalHealth struct {
	// score is 0 for a healthy node and at most maximumHealthScore.
	score int
}

// RecordFailure records an exchange that timed out, or a tick that ran late.
func (h *LocalHealth) RecordFailure() {
	h.score = min(maximumHealthScore, h.score+1)
}

// RecordSuccess records an exchange that was answered.
func (h *LocalHealth) RecordSuccess() {
	h.score = max(0, h.score-1)
}

// TimeoutFactor returns the factor by which timeouts are lengthened; at least
// 1.
func (h *LocalHealth) TimeoutFactor() float64 {
	return 1 + timeoutFactorStep*float64(h.score)
}
