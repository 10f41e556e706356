package relay

import (
	"context"
	"time"

	"github.com/bronzereach/bronzereach/pkg/budget"
)

const (
	// extraSends is how many upstreams beyond a route's attempts may be asked
	// after others have said that they did not run the request.
	extraSends = 1
	// lingerTime is how long an attempt goes on after its answer is no longer
	// needed: shorter than a caller who leaves would notice, and long enough
	// for most upstreams that pause.
	lingerTime = 300 * time.Millisecond
	// answerMargin is the time that an answer takes to get ready and go out.
	answerMargin = 4 * time.Millisecond
)

// flight is one request on its way. It belongs to one goroutine.
type flight struct {
	relay   *Relay
	request *Request
	shards  []shard
	results chan result
	plan    plan
	// open counts shards without a final result, done those with a reply.
	open, done int
	attempts   int
	// sawUnknown and sawRan tell how attempts without success ended.
	sawUnknown, sawRan bool
	// failure is the last failure that an upstream stated after it had run the
	// request.
	failure *Reply
}

// shard is one service that a flight asks.
type shard struct {
	service *service
	name    string
	tried   []*target
	running []*attempt
	// sent counts attempts that may have run.
	sent    int
	waiting bool
	settled bool
	reply   *Reply
	reason  Reason
	// denied is why the shard got no further attempt, if it was refused one.
	denied Reason
}

func (r *Relay) newFlight(request *Request, s *state) *flight {
	names := r.services(request.Route)
	f := &flight{
		relay:   r,
		request: request,
		shards:  make([]shard, len(names)),
		results: make(chan result, len(names)*(request.Route.Attempts+extraSends+1)),
		open:    len(names),
	}
	for i, name := range names {
		f.shards[i] = shard{service: s.services[name], name: name}
	}
	request.spent = r.allowances.spent(request)
	f.plan = newPlan(request, r.delays.get(request.Route.Name))
	return f
}

// run asks the shards and returns the answer.
func (f *flight) run(ctx context.Context) *Answer {
	if answer := f.hopeless(); answer != nil {
		return answer
	}
	for i := range f.shards {
		f.begin(i)
	}
	defer f.end(ctx)
	timer := time.NewTimer(time.Until(f.plan.next(time.Now())))
	defer timer.Stop()
	for {
		now := time.Now()
		if f.finished(now) {
			return f.conclude(now)
		}
		timer.Reset(f.plan.next(now).Sub(now))
		select {
		case r := <-f.results:
			f.take(r)
		case <-timer.C:
			f.hedge(time.Now())
		case <-ctx.Done():
			return &Answer{Outcome: CallerDisconnected, Run: f.runStatus(), Attempts: f.attempts}
		}
	}
}

// hopeless refuses a request at once if too few of its services have an
// upstream to ask.
func (f *flight) hopeless() *Answer {
	now := time.Now()
	usable := 0
	wait := f.plan.comeBack
	for i := range f.shards {
		s := f.shards[i].service
		if s == nil {
			continue
		}
		count, rest := s.usable(now)
		if count > 0 {
			usable++
		} else if rest > 0 {
			wait = min(wait, rest)
		}
	}
	if usable >= f.plan.least {
		return nil
	}
	return refusal(ReasonNoUpstream, clampRetry(wait))
}

// begin starts the first attempt of a shard.
func (f *flight) begin(i int) {
	s := &f.shards[i]
	if s.service == nil {
		f.settle(s, nil, ReasonNoUpstream)
		return
	}
	chosen, waits := s.service.begin(time.Now(), waiter{flight: f, shard: i, answerAt: f.plan.answerAt})
	switch {
	case chosen != nil:
		f.launch(i, chosen)
	case waits:
		s.waiting, s.reason = true, ReasonNoRoom
	default:
		f.settle(s, nil, ReasonNoUpstream)
	}
}

// launch sends the request to a replica that has been chosen for it.
func (f *flight) launch(i int, chosen *target) {
	s := &f.shards[i]
	a := &attempt{
		request: f.request,
		service: s.service,
		target:  chosen,
		shard:   i,
		started: time.Now(),
		limit:   f.plan.limit,
		results: f.results,
	}
	s.tried = append(s.tried, chosen)
	s.running = append(s.running, a)
	s.sent++
	f.attempts++
	go a.run()
}

// take notes how an attempt ended and tries again where that is allowed.
func (f *flight) take(r result) {
	s := &f.shards[r.shard]
	if r.granted != nil {
		s.waiting, s.reason = false, ""
		f.launch(r.shard, r.granted)
		return
	}
	s.remove(r.attempt)
	if s.settled {
		return
	}
	f.noteRun(r)
	if r.reply != nil && r.reply.Success {
		f.relay.delays.add(f.request.Route.Name, r.took)
		f.settle(s, r.reply, "")
		return
	}
	if r.reply != nil && r.run == Ran {
		f.failure = r.reply
	}
	if r.run == NotRun {
		s.sent--
	}
	s.reason = r.reason
	if f.retry(r.shard, r.run) || len(s.running) > 0 {
		return
	}
	f.settle(s, nil, r.reason)
}

func (f *flight) noteRun(r result) {
	switch r.run {
	case Ran:
		f.sawRan = true
	case MayHaveRun:
		f.sawUnknown = true
	case NotRun:
	}
}

// retry starts another attempt after one that failed, if it may.
func (f *flight) retry(i int, run RunStatus) bool {
	s := &f.shards[i]
	if run != NotRun && !f.request.Route.Idempotent {
		return false
	}
	return f.another(i, s, budget.Retry)
}

// another starts one more attempt if route, budget and time allow it.
func (f *flight) another(i int, s *shard, cause budget.Cause) bool {
	now := time.Now()
	if s.sent >= f.request.Route.Attempts || len(s.tried) >= f.request.Route.Attempts+extraSends {
		return false
	}
	if !now.Before(f.plan.limit) {
		return false
	}
	chosen, denied := s.service.again(now, s.tried, cause)
	if chosen == nil {
		s.denied = denied
		return false
	}
	f.relay.Metrics.extra(cause.String())
	f.launch(i, chosen)
	return true
}

// hedge asks another replica of each shard whose last one straggles.
func (f *flight) hedge(now time.Time) {
	if !f.plan.due(now) {
		return
	}
	for i := range f.shards {
		s := &f.shards[i]
		if s.settled || len(s.running) == 0 {
			continue
		}
		if last := s.running[len(s.running)-1]; f.plan.straggles(now, last.started) {
			f.another(i, s, budget.Hedge)
		}
	}
}

func (s *shard) remove(a *attempt) {
	for i, running := range s.running {
		if running == a {
			s.running = append(s.running[:i], s.running[i+1:]...)
			return
		}
	}
}

// settle gives a shard its final result.
func (f *flight) settle(s *shard, reply *Reply, reason Reason) {
	s.settled, s.reply, s.reason = true, reply, reason
	f.open--
	if reply != nil {
		f.done++
	}
	until := time.Now().Add(lingerTime)
	for _, a := range s.running {
		a.linger(until)
	}
}

// finished reports whether the answer can't or needn't get better.
func (f *flight) finished(now time.Time) bool {
	if f.open == 0 || f.done+f.open < f.plan.least {
		return true
	}
	if f.attempts == 0 && !now.Before(f.plan.lateAt) {
		// It still waits for its first room: others may be served elsewhere.
		return true
	}
	return f.plan.enough(now, f.done, len(f.shards)) || !now.Before(f.plan.limit)
}

// end lets go of the attempts that still run.
func (f *flight) end(ctx context.Context) {
	f.stopWaiting()
	until := time.Now().Add(lingerTime)
	for i := range f.shards {
		for _, a := range f.shards[i].running {
			if ctx.Err() != nil || !f.request.Route.Idempotent {
				a.abort()
				continue
			}
			a.linger(until)
		}
	}
}

// stopWaiting leaves the queues and gives back what was granted too late.
func (f *flight) stopWaiting() {
	waited := false
	for i := range f.shards {
		if f.shards[i].waiting {
			waited = true
			f.shards[i].service.forget(f)
		}
	}
	if !waited {
		return
	}
	for {
		select {
		case r := <-f.results:
			if r.granted != nil {
				f.shards[r.shard].service.giveBack(time.Now(), r.granted)
			}
		default:
			return
		}
	}
}

// runStatus is what is known of the request as a whole.
func (f *flight) runStatus() RunStatus {
	running := false
	for i := range f.shards {
		running = running || len(f.shards[i].running) > 0
	}
	switch {
	case f.sawRan || f.done > 0:
		return Ran
	case f.sawUnknown || running:
		return MayHaveRun
	default:
		return NotRun
	}
}

// conclude makes the answer of what has come.
func (f *flight) conclude(now time.Time) *Answer {
	answer := &Answer{Run: f.runStatus(), Attempts: f.attempts, Omitted: f.omitted()}
	switch {
	case len(f.request.Route.Shards) > 0 && f.done >= f.plan.least:
		answer.Outcome = Merged
		f.merge(answer)
	case len(f.request.Route.Shards) == 0 && f.done > 0:
		answer.Outcome, answer.Reply = Answered, f.shards[0].reply
	case len(f.request.Route.Shards) == 0 && f.failure != nil:
		answer.Outcome, answer.Reply, answer.Reason = Answered, f.failure, ReasonFailure
	case answer.Run == NotRun:
		answer.Outcome, answer.Reason, answer.RetryAfter = Refused, f.reason(), clampRetry(f.plan.comeBack)
	case !now.Before(f.plan.limit):
		answer.Outcome, answer.Reason = TimedOut, ReasonDeadline
	default:
		answer.Outcome, answer.Reason = Failed, f.reason()
	}
	return answer
}

func (f *flight) reason() Reason {
	for i := range f.shards {
		if f.shards[i].reason != "" {
			return f.shards[i].reason
		}
	}
	return ReasonStraggler
}

func (f *flight) omitted() []Omission {
	var omitted []Omission
	for i := range f.shards {
		s := &f.shards[i]
		if s.reply != nil {
			continue
		}
		reason := s.reason
		if reason == "" {
			reason = ReasonStraggler
		}
		omitted = append(omitted, Omission{Service: s.name, Reason: reason, RetryDenied: s.denied})
	}
	return omitted
}

func (f *flight) merge(answer *Answer) {
	bodies := make([][]byte, 0, f.done)
	for i := range f.shards {
		if s := &f.shards[i]; s.reply != nil {
			bodies = append(bodies, s.reply.Body)
			answer.Parts = append(answer.Parts, Part{Service: s.name, Signature: s.reply.Signature})
		}
	}
	answer.Records = mergeRecords(bodies, f.request.Route.Top)
}
