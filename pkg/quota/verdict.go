package quota

import "time"

// Outcome tells whether a request may be sent.
type Outcome uint8

// The outcomes.
const (
	// Granted means that the request may be sent.
	Granted Outcome = iota
	// Exceeded means that the quota is used up.
	Exceeded
	// Unknown means that the lender of the quota could not be asked.
	Unknown
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"granted", "exceeded", "unknown"}[o]
}

// Verdict is the decision on one request.
type Verdict struct {
	Outcome Outcome
	// Wait is how long the caller is to wait before it tries again, unless the request
	// was granted.
	Wait time.Duration
}

// Ticket is what a granted request holds of its team's quota. The zero value is that of a
// team without a quota.
type Ticket struct {
	Team  string
	Token Token
}

// UnknownVerdict returns the verdict on a request if the lender can't be asked.
func UnknownVerdict() Verdict {
	return Verdict{Outcome: Unknown, Wait: unknownWait}
}
