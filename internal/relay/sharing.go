package relay

import (
	"sort"
	"sync"
	"time"

	"github.com/bronzereach/bronzereach/pkg/admission"
	"github.com/bronzereach/bronzereach/pkg/fairness"
	"github.com/bronzereach/bronzereach/pkg/queue"
	"github.com/bronzereach/bronzereach/pkg/route"
)

// floorEvery is how many grants of a service go by until a less urgent rank that waits gets
// one of them.
const floorEvery = 20

// place is the position of a request among all that wait, the same at all services. Without
// teams it has no tag and no team.
type place struct {
	rank int
	tag  fairness.Tag
	team string
}

// goesBefore reports whether a waiter at the place goes before one at the other, whichever
// came first. Of neither, the one that came first goes before.
func (p place) goesBefore(other place) bool {
	if p.rank != other.rank {
		return p.rank < other.rank
	}
	return p.tag < other.tag
}

// class returns the rank as one of those that the floors tell apart.
func (p place) class() int {
	return max(0, min(p.rank, admission.MaximumRanks-1))
}

// newFloorCredits returns credits for the classes, of which all but the most urgent have a
// floor.
func newFloorCredits() queue.Credits {
	floors := make([]float64, admission.MaximumRanks)
	for class := 1; class < len(floors); class++ {
		floors[class] = 1.0 / floorEvery
	}
	return queue.NewCredits(floors)
}

// sharing shares capacity between the teams of the configuration. It is safe for concurrent
// use.
type sharing struct {
	mu sync.Mutex
	// groups names the group of each service: those that routes use together. Their
	// requests are ordered alike.
	groups  map[string]string
	orders  map[orderKey]*fairness.Order
	returns *fairness.Returns
}

// orderKey names the requests that share an order.
type orderKey struct {
	group string
	class int
}

func newSharing() *sharing {
	return &sharing{orders: map[orderKey]*fairness.Order{}, returns: fairness.NewReturns()}
}

// setTable takes over the services that routes use together. It forgets the orders of the
// others, and all of them if there are no teams.
func (s *sharing) setTable(table *route.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = nil
	if table.HasTeams() {
		s.groups = table.ServiceGroups()
	}
	for key := range s.orders {
		if key.group == "" || s.groups[key.group] != key.group {
			delete(s.orders, key)
		}
	}
	if !table.HasTeams() {
		s.returns = fairness.NewReturns()
	}
}

// order returns the order of a place at a service; mu must be held.
func (s *sharing) order(service string, p place) *fairness.Order {
	key := orderKey{group: s.groups[service], class: p.class()}
	order := s.orders[key]
	if order == nil {
		order = fairness.NewOrder()
		s.orders[key] = order
	}
	return order
}

// take returns the tag of a request that goes to a service, and whether its caller returned
// too early. lowestWaiting is the lowest tag of its rank that waits at its services.
func (s *sharing) take(now time.Time, service string, p place, lowestWaiting fairness.Tag, caller string) (tag fairness.Tag, early bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tag = s.order(service, p).Take(p.team, lowestWaiting)
	early, others := s.returns.Early(now, fairness.Caller{Team: p.team, Address: caller})
	if early {
		tag += fairness.EarlyDelay(others)
	}
	return tag, early
}

// grant tells that a request got its first replica.
func (s *sharing) grant(service string, p place) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order(service, p).Grant(p.tag)
}

// giveBack tells that a request got no replica at all: it was refused at once, or waited in
// vain.
func (s *sharing) giveBack(service string, p place, waited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if waited {
		s.order(service, p).Refund(p.team)
		return
	}
	s.order(service, p).Return(p.team)
}

// tell records that a caller was told to return at a time.
func (s *sharing) tell(now time.Time, caller fairness.Caller, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returns.Tell(now, caller, at)
}

// place returns the request's place in the queues.
func (f *forwarder) place() place {
	p := place{rank: f.request.Rank(), tag: f.tag}
	if f.request.Team != nil {
		p.team = f.request.Team.Name
	}
	return p
}

// takePlace takes the request's tag, which is the same at all its services.
func (f *forwarder) takePlace(now time.Time) {
	if !f.hasTeams || len(f.shards) == 0 {
		return
	}
	p := f.place()
	lowest := fairness.NoneWaits
	for i := range f.shards {
		if s := f.shards[i].service; s != nil {
			lowest = min(lowest, s.lowestTag(p.rank))
		}
	}
	f.tag, f.early = f.relay.sharing.take(now, f.shards[0].name, p, lowest, f.request.caller)
}

// grantPlace tells the order of the teams that the request got its first replica.
func (f *forwarder) grantPlace() {
	if f.hasTeams && f.attempts == 1 {
		f.relay.sharing.grant(f.shards[0].name, f.place())
	}
}

// leavePlace gives back the tag of a request that got no replica, and notes when a caller
// who was refused for lack of capacity was told to return.
func (f *forwarder) leavePlace(now time.Time, answer *Answer) {
	if !f.hasTeams || len(f.shards) == 0 {
		return
	}
	p := f.place()
	if f.attempts == 0 {
		f.relay.sharing.giveBack(f.shards[0].name, p, f.waited)
	}
	if answer.Outcome == Refused && (answer.Reason == ReasonOverloaded || answer.Reason == ReasonNoCapacity) {
		f.relay.sharing.tell(now, fairness.Caller{Team: p.team, Address: f.request.caller}, now.Add(answer.RetryAfter))
	}
}

// lowestTag returns the lowest tag of the rank that waits.
func (s *service) lowestTag(rank int) fairness.Tag {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := sort.Search(len(s.waiting), func(i int) bool { return s.waiting[i].place.rank >= rank })
	if first == len(s.waiting) || s.waiting[first].place.rank != rank {
		return fairness.NoneWaits
	}
	return s.waiting[first].place.tag
}

// classStart returns the index of the first waiter of a class or a less urgent one.
func (s *service) classStart(class int) int {
	return sort.Search(len(s.waiting), func(i int) bool { return s.waiting[i].place.class() >= class })
}

func (s *service) classWaits(class int) bool {
	start := s.classStart(class)
	return start < len(s.waiting) && s.waiting[start].place.class() == class
}

// takeNext returns the index of the waiter that gets the next replica and accounts for it.
// If there are teams, less urgent ranks have a floor.
func (s *service) takeNext(now time.Time) int {
	if !s.relay.Table().HasTeams() {
		return nextWaiter(s.waiting, now)
	}
	first, end := 0, len(s.waiting)
	waits := s.classWaits
	if urgent := s.waiting[0].place.class(); urgent == s.waiting[end-1].place.class() {
		waits = func(class int) bool { return class == urgent }
	} else if class := s.credits.Next(waits); class != urgent {
		first, end = s.classStart(class), s.classStart(class+1)
	}
	next := first + nextOfTeams(s.waiting[first:end], now)
	s.credits.Serve(s.waiting[next].place.class(), waits)
	return next
}

// hasTurn reports whether a waiter gets its turn in the order: it can still be answered in
// time, or another shard of its query has a replica already. A query that was overtaken at
// some of its services only would have taken capacity for nothing.
func (w *waiter) hasTurn(now time.Time) bool {
	return now.Before(w.answerBy) || w.forwarder.granted.Load()
}

// nextOfTeams is nextWaiter for waiters of several teams: the first one that has its turn.
func nextOfTeams(waiting []waiter, now time.Time) int {
	for i := range waiting {
		if waiting[i].hasTurn(now) {
			return i
		}
	}
	return firstOfFewest(waiting)
}

// firstOfFewest returns the first waiter of the team with the fewest waiters of the most
// urgent rank. The late waiters that a team has overtaken with its own later ones would
// otherwise go before those of the others.
func firstOfFewest(waiting []waiter) (first int) {
	counts := map[string]int{}
	for i := range waiting {
		if waiting[i].place.rank != waiting[0].place.rank {
			waiting = waiting[:i]
			break
		}
		counts[waiting[i].place.team]++
	}
	for i := range waiting {
		if counts[waiting[i].place.team] < counts[waiting[first].place.team] {
			first = i
		}
	}
	return first
}
