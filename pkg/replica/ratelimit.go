package replica

// RateLimit is the number of requests a second that an upstream accepts from all
// nodes together. The zero value is no limit.
type RateLimit struct {
	perSecond float64
	limited   bool
}

// NewRateLimit returns a limit; perSecond is at least 0 and finite.
func NewRateLimit(perSecond float64) RateLimit {
	return RateLimit{perSecond: perSecond, limited: true}
}

// PerSecond returns the limit; limited is false if there is none.
func (l RateLimit) PerSecond() (perSecond float64, limited bool) {
	return l.perSecond, l.limited
}
