package relay

import (
	"sync"
	"time"

	"github.com/bronzereach/bronzereach/pkg/replica"
)

// attempt is one exchange with one replica.
type attempt struct {
	request *Request
	service *service
	target  *target
	// shard is the position of the service in the flight.
	shard   int
	started time.Time
	// limit is when the upstream must have answered.
	limit   time.Time
	results chan<- result

	mu sync.Mutex
	// connection is set while the exchange is on it.
	connection *connection
	aborted    bool
	// cut is true once somebody moved the limit closer.
	cut bool
}

// result is how an attempt ended, or that one may begin.
type result struct {
	// attempt is nil if granted is not.
	attempt *attempt
	// granted is a replica with room for a shard that has waited for it.
	granted *target
	// shard is the position in the flight.
	shard int
	run   RunStatus
	// reply is nil if there is no valid one.
	reply  *Reply
	reason Reason
	took   time.Duration
}

// run does the exchange, tells the service how it went and then the flight.
func (a *attempt) run() {
	r := a.exchange()
	r.attempt, r.shard = a, a.shard
	r.took = time.Since(a.started)
	a.finish(r)
	a.results <- r
}

func (a *attempt) exchange() result {
	var c *connection
	if a.request.Route.Idempotent {
		// An upstream may drop an idle connection just as it is used, and then
		// nobody knows whether the request arrived.
		c = a.target.Data.take(a.started)
	}
	if c == nil {
		var err error
		if c, err = dial(a.target.Registration.Address, time.Until(a.limit)); err != nil {
			return result{run: NotRun, reason: ReasonUnreached}
		}
	}
	if !a.hold(c) {
		c.close()
		return result{run: NotRun, reason: ReasonStraggler}
	}
	r := a.talk(c)
	a.release()
	if r.reply == nil || r.reply.IdleTimeout == 0 || c.reader.Buffered() > 0 {
		c.close()
		return r
	}
	c.idleUntil = time.Now().Add(r.reply.IdleTimeout)
	a.target.Data.put(c, a.service.keep())
	return r
}

// talk sends the request and reads the reply. From the first byte on, only a
// reply can tell that the upstream has not run the request.
func (a *attempt) talk(c *connection) result {
	written := make(chan error, 1)
	left := time.Until(a.limit)
	if len(a.request.Body) > bufferLength {
		// The upstream may answer before it has read a long body.
		w := &bodyWriter{attempt: a, connection: c, left: left, written: written}
		go w.run()
	} else {
		written <- a.send(c, left)
	}
	reply, err := a.service.relay.config.Protocol.ReadReply(c.reader, a.request)
	select {
	case sendErr := <-written:
		if err == nil && sendErr != nil {
			reply.IdleTimeout = 0
		}
	default:
		// The rest of the body is still on its way, so the connection can't be
		// used again.
		if reply != nil {
			reply.IdleTimeout = 0
		}
	}
	if err != nil {
		return result{run: MayHaveRun, reason: ReasonBroken}
	}
	if !reply.Valid {
		return result{run: MayHaveRun, reason: ReasonInvalid}
	}
	return result{run: reply.Run, reply: reply, reason: reasonOf(reply)}
}

func (a *attempt) send(c *connection, left time.Duration) error {
	err := a.service.relay.config.Protocol.WriteRequest(c.writer, a.request.prepared, a.target.Registration, left)
	if err != nil {
		return err
	}
	return c.writer.Flush()
}

// bodyWriter sends a request with a long body while the reply is awaited.
type bodyWriter struct {
	attempt    *attempt
	connection *connection
	left       time.Duration
	written    chan<- error
}

func (w *bodyWriter) run() {
	w.written <- w.attempt.send(w.connection, w.left)
}

func reasonOf(reply *Reply) Reason {
	switch {
	case reply.Success:
		return ""
	case reply.Run == NotRun:
		return ReasonShed
	default:
		return ReasonFailure
	}
}

// hold puts the exchange on a connection, unless it has been given up.
func (a *attempt) hold(c *connection) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		return false
	}
	if err := c.net.SetDeadline(a.limit); err != nil {
		return false
	}
	a.connection = c
	return true
}

func (a *attempt) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.connection = nil
}

// abort ends the exchange at once, so that the upstream stops work.
func (a *attempt) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted, a.cut = true, true
	if a.connection != nil {
		a.connection.close()
	}
}

// linger lets the exchange go on for a while, so that its connection may be
// used again.
func (a *attempt) linger(until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cut || !until.Before(a.limit) {
		return
	}
	a.cut = true
	if a.connection == nil {
		a.aborted = true
		return
	}
	if err := a.connection.net.SetDeadline(until); err != nil {
		a.connection.close()
	}
}

// finish tells the service how its replica did.
func (a *attempt) finish(r result) {
	now := time.Now()
	s := a.service
	s.finish(now, a, a.outcome(r, now), r)
	if r.reply == nil || !r.reply.Misdirected {
		return
	}
	a.target.Data.closeIdle()
	s.relay.config.Log.Info("upstreamReplaced", "service", s.name, "upstream", a.target.Registration.ID,
		"address", a.target.Registration.Address, "requestID", a.request.ID)
}

func (a *attempt) outcome(r result, now time.Time) replica.Outcome {
	a.mu.Lock()
	cut := a.cut
	a.mu.Unlock()
	switch {
	case r.reply != nil && r.reply.Success:
		return replica.Succeeded
	case r.reply != nil && r.reply.Misdirected:
		return replica.Declined
	case r.reply != nil && r.run == NotRun:
		return replica.Refused
	case cut, !now.Before(a.limit):
		return replica.Abandoned
	default:
		return replica.Failed
	}
}
