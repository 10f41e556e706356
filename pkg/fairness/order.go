// Package fairness decides whose requests get capacity first when teams compete for it, and
// forecasts when a waiting request gets some. It is pure: it reads no clock and starts no
// goroutine.
package fairness

import "math"

// Tag is the position of a request among those of its rank; lower ones go first, and equal
// ones by arrival.
type Tag int64

// NoneWaits is the lowest tag that waits where none does.
const NoneWaits Tag = math.MaxInt64

const (
	// cost is the distance between the tags of two requests of a team. It leaves room
	// between them for requests of callers that returned too early.
	cost Tag = 4
	// refundedCost is the distance to the tag before it while a team has a refund. If it
	// were 0, as many requests as got nothing would go before those of all other teams.
	refundedCost = cost / 2
	// maxEarlyDelay bounds how far a request of a caller that returned too early is put
	// back, so that it still has a turn.
	maxEarlyDelay = 16 * cost
	// MaxTeams bounds the number of teams that are told apart at a time; any others are
	// ordered as one team.
	MaxTeams = 4096
	// overflowTeam is the name that stands for all teams beyond MaxTeams.
	overflowTeam = "\x00"
	// forgetEvery is the number of tags between two searches for idle teams.
	forgetEvery = 1024
	// maxRefunds bounds how many requests of a team make up for those that got nothing, so
	// that a long overload isn't made up for after it.
	maxRefunds = 1024
)

// Order gives out the tags of the requests of one rank that compete for the same services.
// It is start-time fair queueing: the tags of a team rise by cost with each of its requests,
// and a team that was idle starts at the virtual time, the tag of those served now. While
// teams wait, each therefore gets the same number of grants, and one that asks for less than
// that never waits for the others' further requests. Order is not safe for concurrent use.
type Order struct {
	// teams holds the teams whose next tag may be above the virtual time.
	teams map[string]*team
	// granted is the highest tag that was granted capacity.
	granted Tag
	// takes counts the tags since the last search for idle teams.
	takes int
}

// team is the state of a team with recent requests.
type team struct {
	// last is the last tag that was given out. It never falls, so the requests of a team keep their order.
	last Tag
	// unused is the number of tags whose requests were refused at once. As many further
	// requests get the last tag again.
	unused int
	// refunds is the number of further requests with the distance refundedCost.
	refunds int
}

// NewOrder returns an order without teams.
func NewOrder() *Order {
	return &Order{teams: map[string]*team{}}
}

// Take returns the tag of a team's request. lowestWaiting is the lowest tag of the rank that
// waits at the services of the request, or NoneWaits: a service whose replicas are slower
// than those of others has a virtual time behind theirs.
func (o *Order) Take(name string, lowestWaiting Tag) Tag {
	virtual := min(o.granted, lowestWaiting)
	o.forget(virtual)
	t := o.team(name, virtual)
	switch {
	case t.last+cost < virtual:
		t.last, t.unused, t.refunds = virtual, 0, 0
	case t.unused > 0:
		t.unused--
	case t.refunds > 0:
		t.refunds--
		t.last += refundedCost
	default:
		t.last += cost
	}
	return t.last
}

// EarlyDelay returns how much later the tag of a request is whose caller returned before the
// time it had been told, if the given number of others of its team are waiting as told. It
// goes behind those and otherwise keeps its place: a team doesn't lose its share because of
// its callers.
func EarlyDelay(others int) Tag {
	return min(Tag(others)*cost, maxEarlyDelay) + 1
}

// team returns the state of a team, creating it if needed.
func (o *Order) team(name string, virtual Tag) *team {
	t := o.teams[name]
	if t == nil && len(o.teams) >= MaxTeams {
		name = overflowTeam
		t = o.teams[name]
	}
	if t == nil {
		// The next tag is the virtual time.
		t = &team{last: virtual - cost}
		o.teams[name] = t
	}
	return t
}

// Return tells that a team's request, whose tag was taken, was refused at once.
func (o *Order) Return(name string) {
	if t := o.find(name); t != nil {
		t.unused++
	}
}

// Refund tells that a team's request waited with its tag and got no capacity. Further ones
// make up for it.
func (o *Order) Refund(name string) {
	if t := o.find(name); t != nil {
		t.refunds = min(t.refunds+int(cost/(cost-refundedCost)), maxRefunds)
	}
}

// find returns the state of a team; nil if it was forgotten.
func (o *Order) find(name string) *team {
	if t := o.teams[name]; t != nil || len(o.teams) < MaxTeams {
		return t
	}
	return o.teams[overflowTeam]
}

// Grant tells that a request with the tag got capacity.
func (o *Order) Grant(tag Tag) {
	o.granted = max(o.granted, tag)
}

// Teams returns the number of teams that are told apart.
func (o *Order) Teams() int {
	return len(o.teams)
}

// forget removes the teams that have no lead over the virtual time.
func (o *Order) forget(virtual Tag) {
	o.takes++
	if o.takes < forgetEvery {
		return
	}
	o.takes = 0
	for name, t := range o.teams {
		if t.last+cost <= virtual {
			delete(o.teams, name)
		}
	}
}
