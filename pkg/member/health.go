package member

// Constants of a node's doubt in itself.
const (
	// maximumDoubt bounds the doubt, and with it the longest stretch.
	maximumDoubt = 6
	// stretchStep is what one unit of doubt adds to the stretch.
	stretchStep = 0.5
)

// Health is a node's doubt in itself: when its own exchanges fail with one
// member after another, or its own ticks come late, the node may be the slow
// one, and gives the others more time. The zero value has no doubt. The idea is
// that of local health in the Lifeguard extensions of SWIM.
type LocalHealth struct {
	// doubt is from 0 to maximumDoubt.
	doubt int
}

// Failed notes an exchange that timed out, or a tick that came late.
func (h *LocalHealth) RecordFailure() {
	h.doubt = min(maximumDoubt, h.doubt+1)
}

// Succeeded notes an exchange that was answered.
func (h *LocalHealth) RecordSuccess() {
	h.doubt = max(0, h.doubt-1)
}

// Stretch is the factor by which timeouts are lengthened; at least 1.
func (h *LocalHealth) TimeoutFactor() float64 {
	return 1 + stretchStep*float64(h.doubt)
}
