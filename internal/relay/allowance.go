package relay

import "time"

// allowancePeriod is the time after which a route's longest deadline is measured
// anew: callers may begin to wait less.
const allowancePeriod = 15 * time.Second

// allowance is the time that callers of one route begin with: the longest
// deadline that they have stated of late.
type allowance struct {
	// longest is that of the present period, earlier that of the one before.
	longest, earlier time.Duration
	// began is when the present period began.
	began time.Time
}

// spent takes in a stated deadline and returns how much of its time the caller
// has used before the request arrived, on finding an address, on connecting or
// on earlier tries.
func (a *allowance) spent(now time.Time, stated time.Duration) time.Duration {
	if now.Sub(a.began) >= allowancePeriod {
		a.earlier, a.longest, a.began = a.longest, 0, now
	}
	a.longest = max(a.longest, stated)
	return max(a.longest, a.earlier) - stated
}

// allowances holds those of all routes.
type allowances struct {
	*perRoute[allowance]
}

func newAllowances() allowances {
	return allowances{newPerRoute(func() *allowance { return &allowance{} })}
}

// spent returns how much of its objective the caller of a request has used. A
// caller who seems to have used more than that may just wait less than others.
func (l allowances) spent(request *Request) (used time.Duration) {
	if request.NoDeadline {
		return 0
	}
	l.use(request.Route.Name, func(a *allowance) {
		used = a.spent(request.Received, request.Deadline.Sub(request.Received))
	})
	if used >= request.Route.TargetLatency {
		return 0
	}
	return used
}
