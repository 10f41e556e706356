package relay

import (
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/replica"
)

// attempt is one exchange of a request and its reply with one replica.
type attempt struct {
	request         *Request
	service         *service
	upstreamReplica *upstreamReplica
	// shard is the index of the service in the forwarder's shards.
	shard   int
	started time.Time
	// answerDeadline is when the upstream must have answered.
	answerDeadline time.Time
	events         chan<- forwarderEvent

	// lease holds the memory of the reply.
	lease memory.Lease

	mu sync.Mutex
	// connection is set while the exchange uses it.
	connection *connection
	// aborted is true once the attempt was told to end; attach then fails.
	aborted bool
	// shortened is true once the deadline was brought forward or the attempt was
	// aborted.
	shortened bool
}

// forwarderEvent reports to a forwarder that an attempt ended, or that a queued shard
// has been granted a replica or refused.
type forwarderEvent struct {
	// attempt is the attempt that ended; nil if granted or refused is set.
	attempt *attempt
	// granted is a replica reserved for a shard that was waiting in the queue.
	granted *upstreamReplica
	// refused is why a shard no longer waits in the queue. A caller who returns after
	// retryAfter may find a place.
	refused    Reason
	retryAfter time.Duration
	// shard is the index in the forwarder's shards.
	shard int
	run   RunStatus
	// reply is nil if no valid reply was received.
	reply   *Reply
	reason  Reason
	elapsed time.Duration
}

// run performs the exchange and reports its end to the service first, then to
// the forwarder.
func (a *attempt) run() {
	e, err := a.guardedExchange()
	if err != nil {
		a.service.relay.config.Log.Error(err, "attemptPanicked", "service", a.service.name,
			"upstream", a.upstreamReplica.Data.registration.ID, "requestID", a.request.ID)
	}
	e.attempt, e.shard = a, a.shard
	e.elapsed = time.Since(a.started)
	a.settleLease(e.reply)
	a.recordOutcome(e)
	a.events <- e
	a.request.scope.Release()
}

// guardedExchange performs the exchange. A panic counts as a broken reply.
func (a *attempt) guardedExchange() (e forwarderEvent, err error) {
	defer func() {
		if err != nil {
			a.closeConnection()
			e = forwarderEvent{run: MayHaveRun, reason: ReasonBrokenReply}
		}
	}()
	defer util.RecoverError(&err)
	return a.exchange(), nil
}

// closeConnection closes the connection that the exchange still uses, if any.
func (a *attempt) closeConnection() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connection != nil {
		a.connection.close()
		a.connection = nil
	}
}

// crossesZones reports whether the replica is in another availability zone.
func (a *attempt) crossesZones() bool {
	return a.upstreamReplica.Data.registration.AvailabilityZone != a.service.relay.config.AvailabilityZone
}

func (a *attempt) exchange() forwarderEvent {
	var c *connection
	if a.request.Route.Idempotent {
		// An upstream may close an idle connection just as the request is sent,
		// and then it is unknown whether the request was run. Only idempotent
		// requests may take that risk.
		c = a.upstreamReplica.Data.takeIdle(a.started)
	}
	if c == nil {
		var err error
		if c, err = dial(a.upstreamReplica.Data.registration.Address, time.Until(a.answerDeadline), a.service.relay.Metrics.upstreamBytes(a.crossesZones())); err != nil {
			return forwarderEvent{run: NotRun, reason: ReasonUnreachable}
		}
	}
	if !a.attach(c) {
		c.close()
		return forwarderEvent{run: NotRun, reason: ReasonStraggler}
	}
	e := a.roundTrip(c)
	a.detach()
	if e.reply == nil || e.reply.IdleTimeout == 0 || c.reader.Buffered() > 0 {
		c.close()
		return e
	}
	c.idleUntil = time.Now().Add(e.reply.IdleTimeout)
	a.upstreamReplica.Data.put(c, a.service.maxIdleConnections())
	return e
}

// roundTrip sends the request and reads the reply. Once the first byte has been
// sent, only a reply can show that the upstream did not run the request.
func (a *attempt) roundTrip(c *connection) forwarderEvent {
	written := make(chan error, 1)
	timeLeft := time.Until(a.answerDeadline)
	if a.request.Body.Len() > bufferLength {
		// The upstream may answer before it has read all of a long body, so write
		// it concurrently.
		w := &bodyWriter{attempt: a, connection: c, timeLeft: timeLeft, written: written}
		go w.run()
	} else {
		written <- a.writeRequest(c, timeLeft)
	}
	a.lease.OnRevoke(a.endConnection)
	c.reader.begin(exchange{observe: a.recordUpstreamState, lease: &a.lease, deadline: a.answerDeadline})
	reply, err := a.service.relay.config.Protocol.ReadReply(c.reader, a.request)
	c.reader.begin(exchange{})
	if err == nil {
		err = checkWrite(c, written, reply)
	}
	if err != nil {
		return a.giveUpReply(err)
	}
	if !reply.Valid {
		return forwarderEvent{run: MayHaveRun, reason: ReasonInvalidReply}
	}
	return forwarderEvent{run: reply.Run, reply: reply, reason: replyReason(reply)}
}

// checkWrite rules out that the connection is reused unless the request was written
// completely. It returns an error if the reply may be incomplete.
func checkWrite(c *connection, written <-chan error, reply *Reply) (err error) {
	defer util.Annotate(&err, "write request")
	if reply.EndsWithConnection {
		return awaitWrite(c, written)
	}
	select {
	case writeErr := <-written:
		if writeErr != nil {
			reply.IdleTimeout = 0
		}
	default:
		reply.IdleTimeout = 0
	}
	return nil
}

// awaitWrite ends the writing of a request whose reply ended with the connection. The
// kernel reports a failure of the connection only once: if the writer was told, the
// reader saw an orderly end. EPIPE is no such failure, as the upstream had closed the
// connection before.
func awaitWrite(c *connection, written <-chan error) error {
	if err := c.net.SetWriteDeadline(time.Now()); err != nil {
		return errors.WithStack(err)
	}
	err := <-written
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return err
}

func (a *attempt) writeRequest(c *connection, timeLeft time.Duration) error {
	err := a.service.relay.config.Protocol.WriteRequest(c.writer, a.request.prepared, a.upstreamReplica.Data.registration, timeLeft)
	if err != nil {
		return err
	}
	return c.writer.Flush()
}

// bodyWriter writes a request with a long body while the attempt reads the reply.
type bodyWriter struct {
	attempt    *attempt
	connection *connection
	timeLeft   time.Duration
	written    chan<- error
}

func (w *bodyWriter) run() {
	w.written <- w.attempt.writeRequest(w.connection, w.timeLeft)
}

func replyReason(reply *Reply) Reason {
	switch {
	case reply.Success:
		return ""
	case reply.Run == NotRun:
		return ReasonShed
	default:
		return ReasonFailureReply
	}
}

// attach assigns the connection to the attempt and sets its deadline. It returns
// false if the attempt was aborted or the deadline could not be set.
func (a *attempt) attach(c *connection) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		return false
	}
	if err := c.net.SetDeadline(a.answerDeadline); err != nil {
		return false
	}
	a.connection = c
	return true
}

func (a *attempt) detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.connection = nil
}

// abort closes the connection at once, so that the upstream can stop working on
// the request.
func (a *attempt) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted, a.shortened = true, true
	if a.connection != nil {
		a.connection.close()
	}
}

// shortenDeadline lets the exchange continue only until the given time, so that
// its connection can be reused if the reply comes by then. It shortens the
// deadline at most once and aborts an attempt that has no connection yet.
func (a *attempt) shortenDeadline(until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shortened || !until.Before(a.answerDeadline) {
		return
	}
	a.shortened = true
	if a.connection == nil {
		a.aborted = true
		return
	}
	if err := a.connection.net.SetDeadline(until); err != nil {
		a.connection.close()
	}
}

// recordOutcome passes the outcome to the service. If the reply shows that another
// upstream now uses the address, it also shuts down the replica's connection
// pool.
func (a *attempt) recordOutcome(e forwarderEvent) {
	now := time.Now()
	s := a.service
	s.recordOutcome(now, a, a.classifyOutcome(e, now), e)
	if e.reply == nil || !e.reply.Misdirected {
		return
	}
	a.upstreamReplica.Data.shutDown()
	s.relay.replicaReplaced.Store(true)
	s.relay.config.Log.Info("upstreamReplaced", "service", s.name, "upstream", a.upstreamReplica.Data.registration.ID,
		"address", a.upstreamReplica.Data.registration.Address, "requestID", a.request.ID)
}

func (a *attempt) classifyOutcome(e forwarderEvent, now time.Time) replica.Outcome {
	a.mu.Lock()
	shortened := a.shortened
	a.mu.Unlock()
	switch {
	case e.reply != nil && e.reply.Success:
		return replica.Succeeded
	case e.reply != nil && e.reply.Misdirected:
		return replica.Declined
	case e.reply != nil && e.run == NotRun:
		return replica.Refused
	case shortened, !now.Before(a.answerDeadline), e.reason == ReasonNoMemory:
		return replica.Abandoned
	default:
		return replica.Failed
	}
}
