package gate

import (
	"time"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// statement is what an upstream told of itself, or the platform of it. It is passed by
// value.
type statement struct {
	address string
	// incarnation is the process that it is about; empty if that is not known.
	incarnation string
	leaving     bool
	// retryAfter is how long the upstream wants no requests; 0 if it named no time.
	retryAfter time.Duration
	source     timeline.Source
	// requestID and outcome are those of a reply.
	requestID string
	outcome   upstream.Outcome
	// sentAt is when the request or poll was sent; zero for a notice.
	sentAt time.Time
}

// statement returns what the reply tells of its upstream. Of a delay only a reply tells
// that refuses the request as overload.
func (a *attempt) statement(reply *upstream.Reply) statement {
	st := statement{
		address:     a.address(),
		incarnation: a.incarnation,
		leaving:     reply.Outcome == upstream.Leaving,
		source:      timeline.Reply,
		requestID:   a.subRequest.batch.GetRequestId(),
		outcome:     reply.Outcome,
		sentAt:      a.startedAt,
	}
	if reply.Load == nil {
		return st
	}
	st.leaving = st.leaving || reply.Load.Leaving
	if reply.Outcome == upstream.Shed {
		st.retryAfter = time.Duration(reply.Load.RetryAfter)
	}
	return st
}

// recordStatement takes over what the reply tells of its upstream. A new document may
// have replaced the service since the attempt started.
func (a *attempt) recordStatement(reply *upstream.Reply) {
	st := a.statement(reply)
	a.service.recordStatement(st)
	if current := a.service.gates.lookup(a.service.definition.Name); current != nil && current != a.service {
		current.recordStatement(st)
	}
}

// recordStatement takes over what an upstream told. Statements about former processes at
// its address change nothing.
func (s *service) recordStatement(st statement) {
	if !st.leaving && st.retryAfter == 0 {
		return
	}
	now := time.Now()
	s.mu.Lock()
	position := s.upstreams.Position(st.address)
	if position < 0 {
		s.mu.Unlock()
		return
	}
	leaves := st.leaving && s.upstreams.MarkLeaving(position, st.incarnation, now)
	backsOff := st.retryAfter > 0 && s.upstreams.BackOff(position, st.incarnation, now, now.Add(st.retryAfter), s.random)
	told := timeline.Told{Source: st.source, Outcome: string(st.outcome), Usable: s.upstreams.CountUsable(now)}
	unused := s.upstreams.BacksOffUntil(position).Sub(now)
	s.mu.Unlock()
	if !st.sentAt.IsZero() {
		told.AgeMillis = now.Sub(st.sentAt).Milliseconds()
	}
	if leaves {
		s.recordTold(timeline.UpstreamLeaving, st, told)
	}
	if backsOff {
		told.RetryAfterMillis, told.UnusedMillis = st.retryAfter.Milliseconds(), unused.Milliseconds()
		s.recordTold(timeline.UpstreamBacksOff, st, told)
	}
}

func (s *service) recordTold(name timeline.Name, st statement, told timeline.Told) {
	s.gates.config.Recorder.Record(timeline.Event{
		Name:      name,
		RequestID: st.requestID,
		Service:   s.definition.Name,
		Upstream:  st.address,
		Told:      &told,
	})
}

// takeOverTold takes over into a new service what its upstreams told, last from the
// service that it replaces. The caller holds g.mu.
func (g *Gates) takeOverTold(s *service) {
	for name, other := range g.services {
		if name != s.definition.Name {
			s.takeOver(other)
		}
	}
	if replaced, found := g.services[s.definition.Name]; found {
		s.takeOver(replaced)
	}
}

// takeOver takes over from another service what the upstreams of both told.
func (s *service) takeOver(other *service) {
	other.mu.Lock()
	defer other.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams.TakeOver(other.upstreams)
}

// unwanted reports whether no upstream that has not had an attempt yet wants the
// sub-request before its deadline. The caller holds s.mu.
func (s *service) unwanted(r *subRequest) bool {
	for position := range s.upstreams.Len() {
		if !r.excluded.Has(position) && !s.upstreams.Unwanted(position, r.deadline) {
			return false
		}
	}
	return true
}

// CountUnused returns how many upstreams of the services that the node is the gate of are
// leaving, and how many others back off.
func (g *Gates) CountUnused(now time.Time) (leaving, backingOff int) {
	for _, s := range g.allServices() {
		l, b := s.countUnused(now)
		leaving, backingOff = leaving+l, backingOff+b
	}
	return leaving, backingOff
}

func (s *service) countUnused(now time.Time) (leaving, backingOff int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == inactive {
		return 0, 0
	}
	return s.upstreams.CountUnused(now)
}

// MarkUpstreamLeaving marks an upstream as leaving in every service that lists it, and in
// those of later documents. An empty incarnation stands for the current one.
func (g *Gates) MarkUpstreamLeaving(upstream, incarnation string) {
	services := g.allServices()
	for _, s := range services {
		if incarnation == "" {
			incarnation = s.incarnationOf(upstream)
		}
	}
	g.noteLeaving(leavingMark{upstream: upstream, incarnation: incarnation, at: time.Now()})
	for _, s := range services {
		s.recordStatement(statement{address: upstream, incarnation: incarnation, leaving: true, source: timeline.Notice})
	}
}

// incarnationOf returns the incarnation of an upstream; empty if it is not known.
func (s *service) incarnationOf(upstream string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	position := s.upstreams.Position(upstream)
	if position < 0 {
		return ""
	}
	return s.upstreams.Incarnation(position)
}

// leavingMarkLifetime is how long a mark is kept for services of later documents.
const leavingMarkLifetime = time.Hour

// leavingMark is a notice that an upstream is leaving. It is immutable.
type leavingMark struct {
	upstream string
	// incarnation is empty if no process of the upstream was known.
	incarnation string
	at          time.Time
}

// noteLeaving keeps a mark for services of later documents, and drops those that are too old.
func (g *Gates) noteLeaving(mark leavingMark) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for upstream, other := range g.leaving {
		if mark.at.Sub(other.at) > leavingMarkLifetime {
			delete(g.leaving, upstream)
		}
	}
	g.leaving[mark.upstream] = mark
}

// takeOverMarks marks the upstreams of a new service of which the node was told before. One
// of which a process was seen is marked only if that process leaves. The caller holds g.mu.
func (g *Gates) takeOverMarks(s *service) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for position, upstream := range s.definition.Upstreams {
		mark, told := g.leaving[upstream]
		if !told || now.Sub(mark.at) > leavingMarkLifetime {
			continue
		}
		if mark.incarnation == "" && s.upstreams.Incarnation(position) != "" {
			continue
		}
		s.upstreams.MarkLeaving(position, mark.incarnation, mark.at)
	}
}
