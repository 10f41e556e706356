package quota

import (
	"math"
	"slices"
	"time"

	"github.com/bronzereach/bronzereach/pkg/route"
)

const (
	// demandTime is the time over which the demand of a team is averaged.
	demandTime = time.Second
	// maxCallerSpread bounds how much later than the next token a refused caller is told
	// to come back.
	maxCallerSpread = 5 * time.Second
	// unknownWait is how long a node does not ask again after it could not learn the state
	// of a quota, and what callers are told to wait then.
	unknownWait = 50 * time.Millisecond
)

// Token allows one request.
type Token struct {
	// expires is the time after which it can't be used.
	expires time.Duration
	// reserved is true if it is one of the node's own reserve.
	reserved bool
}

// Borrower holds the tokens of one team at one node.
type Borrower struct {
	tolerance Tolerance
	quota     route.Quota
	// tokens holds lent tokens in the order in which they expire.
	tokens []Token
	// demand is the number of recent requests, of which each counts less with time.
	demand   float64
	demanded time.Duration
	// deniedUntil is when the lender is asked again. If denialKnown is true it has denied
	// tokens until then, and otherwise the state of the quota is not known.
	deniedUntil time.Duration
	denialKnown bool
	promises    promises
	// settlesAt is when a new lender that could not lend yet may do so.
	settlesAt time.Duration
	// reserveUsed is the number of uses of the reserve within a window before
	// reserveUsedAt, or since then.
	reserveUsed   int
	reserveUsedAt time.Duration
}

// NewBorrower returns a borrower without tokens. started is when the process started: a
// process before it may have used the reserve just then.
func NewBorrower(tolerance Tolerance, started time.Duration) *Borrower {
	return &Borrower{tolerance: tolerance, reserveUsed: math.MaxInt32, reserveUsedAt: started}
}

// SetQuota sets the quota. After a change of it the lender is asked again.
func (b *Borrower) SetQuota(q route.Quota) {
	if q == b.quota {
		return
	}
	b.quota, b.deniedUntil = q, 0
}

// AddDemand counts a request.
func (b *Borrower) AddDemand(now time.Duration) {
	b.demand = b.demandAt(now) + 1
	b.demanded = now
}

// demandAt returns the number of requests in the last demandTime, on average.
func (b *Borrower) demandAt(now time.Duration) float64 {
	return b.demand * math.Exp(-(now-b.demanded).Seconds()/demandTime.Seconds())
}

// Take takes a token that has not expired.
func (b *Borrower) Take(now time.Duration) (token Token, ok bool) {
	for len(b.tokens) > 0 && now > b.tokens[0].expires {
		b.tokens = b.tokens[1:]
	}
	if len(b.tokens) == 0 {
		return Token{}, false
	}
	token, b.tokens = b.tokens[0], b.tokens[1:]
	return token, true
}

// Denied reports whether the lender is not to be asked yet, and whether that is because it
// has denied tokens.
func (b *Borrower) Denied(now time.Duration) (denied, known bool) {
	return now < b.deniedUntil, b.denialKnown
}

// RetryAfter returns how long a refused caller is to wait. Of the tokens that come, every
// one of the given number of nodes gets its part.
func (b *Borrower) RetryAfter(now time.Duration, nodes int) time.Duration {
	return b.promises.wait(now, b.deniedUntil, b.gap(nodes), maxCallerSpread)
}

// Want returns for how many tokens the lender is asked if the given number of requests
// wait: one for each, and those that will probably be used in half of their lifetime.
func (b *Borrower) Want(now time.Duration, waiting int) int {
	rate := min(b.demandAt(now)/demandTime.Seconds(), b.quota.PerSecond)
	return waiting + int(rate*b.tolerance.Lifetime(b.quota).Seconds()/2)
}

// Add adds tokens for which the lender was asked at the time asked. Those that would have
// expired meanwhile can still be used at once.
func (b *Borrower) Add(now, asked time.Duration, count int) {
	token := Token{expires: max(now, asked+b.tolerance.Lifetime(b.quota))}
	b.tokens = slices.Insert(b.tokens, b.position(token), slices.Repeat([]Token{token}, count)...)
}

// Return takes a token back that was not used. One of the reserve stays used.
func (b *Borrower) Return(now time.Duration, token Token) {
	if !token.reserved && now <= token.expires {
		b.tokens = slices.Insert(b.tokens, b.position(token), token)
	}
}

// position returns the place of a token in the order of expiry.
func (b *Borrower) position(token Token) int {
	i := len(b.tokens)
	for i > 0 && b.tokens[i-1].expires > token.expires {
		i--
	}
	return i
}

// Deny notes that the lender has no token until wait has passed.
func (b *Borrower) Deny(now, wait time.Duration) {
	b.deniedUntil, b.denialKnown = now+wait, true
}

// Lose notes that the lender could not be asked, or is a new one that may lend only after
// the given time. It is asked again soon, as others may be confirmed sooner.
func (b *Borrower) Lose(now, settles time.Duration) {
	b.deniedUntil, b.denialKnown = now+unknownWait, false
	b.settlesAt = now + settles
}

// UnknownVerdict returns the verdict on a request while the lender could not be asked. Callers
// of a new lender are told when it may lend: those that return before are refused again.
func (b *Borrower) UnknownVerdict(now time.Duration, nodes int) Verdict {
	verdict := UnknownVerdict()
	if b.settlesAt > now {
		verdict.Wait = max(verdict.Wait, b.promises.wait(now, b.settlesAt, b.gap(nodes), maxCallerSpread))
	}
	return verdict
}

// gap is the time between two tokens for this node if every one of the given number of nodes
// gets its part.
func (b *Borrower) gap(nodes int) time.Duration {
	return seconds(float64(nodes) / b.quota.PerSecond)
}

// Reserve takes a token of the node's own reserve, which is its part of the tolerance
// among the given number of nodes. It can be used once in any window.
func (b *Borrower) Reserve(now time.Duration, nodes int) (token Token, ok bool) {
	if now-b.reserveUsedAt >= b.tolerance.Window {
		b.reserveUsed = 0
	}
	if nodes < 1 || b.reserveUsed >= int(b.tolerance.part(b.quota, reserveEighths)/float64(nodes)) {
		return Token{}, false
	}
	b.reserveUsed++
	b.reserveUsedAt = now
	return Token{expires: now, reserved: true}, true
}

// IsIdle reports whether the borrower can be dropped: it holds nothing of use, and has used
// none of its reserve within a window.
func (b *Borrower) IsIdle(now time.Duration) bool {
	return now-b.demanded >= idleTime && now-b.reserveUsedAt >= b.tolerance.Window
}
