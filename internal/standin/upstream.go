package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/query"
	"github.com/bronzereach/bronzereach/pkg/snapshot"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// UpstreamConfig configures an upstream.
type UpstreamConfig struct {
	// Address is the address to listen on, host:port; port 0 chooses a free port.
	Address string
	// Index is the name of the index that the upstream serves.
	Index string
	// Slots is the maximum number of requests that run at once; 0 for no limit.
	Slots int
	// Queue is the maximum number of requests that wait for a slot; more are shed.
	Queue int
	// Connections is the maximum number of open connections; 0 for no limit.
	Connections int
	// ConnectionCost is the delay of the first request on each connection.
	ConnectionCost time.Duration
	// ServiceTime returns a random duration of a request; nil for no delay.
	ServiceTime func(random *rand.Rand) time.Duration
	// Latency is the simulated one-way network latency.
	Latency time.Duration
	// Seed determines the service times.
	Seed uint64
}

// Contents is the data of an upstream for one version of its index.
type Contents struct {
	// Ranges are the ranges of the key space that the upstream holds.
	Ranges []snapshot.Range
	// Lines are the records, searched by substring.
	Lines [][]byte
}

// UpstreamFaults are the faults that an upstream injects, for tests.
type UpstreamFaults struct {
	// Truncate sends only the first half of each reply's body.
	Truncate bool
	// OmitRecords removes half of the records and the end marker of each reply.
	OmitRecords bool
	// WrongRequest replies with the identity and records of another request.
	WrongRequest bool
	// WrongVersion replies with a version and a record that were not requested.
	WrongVersion bool
	// Endless sends a reply without an end in this part in place of each reply; empty for
	// none.
	Endless EndlessPart
	// InvalidStatus sends each reply with a status that is none.
	InvalidStatus bool
	// Silent accepts requests and never replies.
	Silent bool
	// Slowdown is a factor on service times; 0 means 1.
	Slowdown float64
	// Unhealthy makes the state endpoint report the upstream as unhealthy.
	Unhealthy bool
	// Shed refuses every request as overload.
	Shed bool
	// RetryAfter is how long the upstream says in each reply that refuses a request as
	// overload that it wants no requests; StateRetryAfter the same in its state.
	RetryAfter      time.Duration
	StateRetryAfter time.Duration
}

// Execution records a request that an upstream started to run.
type Execution struct {
	RequestID string
	Attempt   string
	Query     string
	Version   uint64
	Started   time.Time
	// Completed is false while the request runs and if it was cancelled.
	Completed bool
}

// Upstream is a fake of a back-end server: it searches its records and can inject
// faults. It is safe for concurrent use.
type Upstream struct {
	config   UpstreamConfig
	server   *http.Server
	listener net.Listener
	slots    chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	contents map[uint64]Contents
	faults   UpstreamFaults
	// leaving makes the upstream refuse requests; announcesLeaving only makes the
	// state endpoint report that it is leaving, and tellsLeaving only its replies.
	leaving          bool
	announcesLeaving bool
	tellsLeaving     bool
	// notice is what the replies told, and unwanted counts the requests that came
	// regardless.
	notice   notice
	unwanted int
	// queued counts the accepted requests, waiting or running, from acquireSlot to
	// releaseSlot; inFlight counts the running ones.
	queued          int
	inFlight        int
	peakInFlight    int
	openConnections int
	peakConnections int
	executions      []Execution
	// incarnation is incremented by Restart; startedAt is when it started.
	incarnation int
	startedAt   time.Time
}

// StartUpstream starts an upstream that serves until Close.
func StartUpstream(config UpstreamConfig) (u *Upstream, err error) {
	defer util.Annotate(&err, "start upstream")
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	u = &Upstream{
		config:   config,
		listener: listener,
		random:   rand.New(rand.NewPCG(config.Seed, 1)),
		contents: map[uint64]Contents{},

		startedAt: time.Now(),
	}
	if config.Slots > 0 {
		u.slots = make(chan struct{}, config.Slots)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.QueryPath, u.serveQuery)
	mux.HandleFunc("GET "+upstream.StatePath, u.serveState)
	u.server = &http.Server{Handler: mux, ConnContext: u.connContext, ConnState: u.connState}
	go u.run()
	return u, nil
}

func (u *Upstream) run() {
	// Serve always returns an error after Close.
	_ = u.server.Serve(u.listener)
}

// Close stops the upstream and closes its connections at once.
func (u *Upstream) Close() {
	_ = u.server.Close()
}

// Address returns the address that the upstream listens on, host:port.
func (u *Upstream) Address() string {
	return u.listener.Addr().String()
}

// AddVersion makes a version of the index available.
func (u *Upstream) AddVersion(version uint64, contents Contents) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.contents[version] = contents
}

// RemoveVersion makes a version of the index unavailable.
func (u *Upstream) RemoveVersion(version uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.contents, version)
}

// InjectFaults replaces the injected faults. The zero value removes all faults.
func (u *Upstream) InjectFaults(replacement UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = replacement
}

// Leave makes the upstream refuse new requests and report that it is leaving.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// AnnounceLeaving makes the state endpoint report that the upstream is leaving,
// while the upstream still serves requests and reports itself as healthy.
func (u *Upstream) AnnounceLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.announcesLeaving = true
}

// Restart simulates a restart: the upstream has a new incarnation, which accepts
// requests again after Leave and TellLeaving.
func (u *Upstream) Restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.incarnation++
	u.startedAt = time.Now()
	u.leaving, u.tellsLeaving, u.notice = false, false, notice{}
}

// Executions returns the requests that the upstream started to run, in order.
func (u *Upstream) Executions() []Execution {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Execution(nil), u.executions...)
}

// Peaks returns the highest numbers so far of requests that ran at once and of
// connections that were open at once.
func (u *Upstream) Peaks() (inFlight, connections int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peakInFlight, u.peakConnections
}

// connection is the state of a client connection.
type connection struct {
	mu          sync.Mutex
	established bool
}

type connectionKey struct{}

func (u *Upstream) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{})
}

func (u *Upstream) connState(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch state {
	case http.StateNew:
		u.openConnections++
		u.peakConnections = max(u.peakConnections, u.openConnections)
		if u.config.Connections > 0 && u.openConnections > u.config.Connections {
			// An accepted connection can only be refused by closing it.
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		u.openConnections--
	}
}

// delayNewConnection delays the first request on a connection by ConnectionCost.
// Concurrent requests on the connection wait too.
func (u *Upstream) delayNewConnection(ctx context.Context) {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok || u.config.ConnectionCost == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.established {
		c.established = true
		time.Sleep(u.config.ConnectionCost)
	}
}

func (u *Upstream) serveState(w http.ResponseWriter, r *http.Request) {
	u.delayNewConnection(r.Context())
	u.mu.Lock()
	uptime := time.Since(u.startedAt).Microseconds()
	state := upstream.State{
		Index:        u.config.Index,
		Incarnation:  strconv.Itoa(u.incarnation),
		UptimeMicros: &uptime,
		Healthy:      !u.faults.Unhealthy,
		Load:         upstream.Load{InFlight: u.inFlight, Queued: u.queued, Leaving: u.leaving || u.announcesLeaving, RetryAfter: upstream.RetryAfter(u.faults.StateRetryAfter)},
	}
	for number, contents := range u.contents {
		state.Versions = append(state.Versions, upstream.Version{Number: number, Ranges: contents.Ranges})
	}
	u.mu.Unlock()
	writeJSON(w, state)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	// An encoding error means that the client closed the connection.
	_ = encoder.Encode(value)
}

func (u *Upstream) serveQuery(w http.ResponseWriter, r *http.Request) {
	u.countArrival()
	u.delayNewConnection(r.Context())
	var request upstream.Request
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sleep(r.Context(), u.config.Latency)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(request.RemainingMillis)*time.Millisecond)
	defer cancel()
	reply := upstream.Reply{
		RequestID: request.RequestID,
		Attempt:   request.Attempt,
		Shard:     request.Shard,
		Version:   request.Version,
	}
	contents, refusal := u.acquireSlot(ctx, request)
	if refusal != "" {
		reply.Outcome = refusal
		u.sendReply(w, reply)
		return
	}
	completed := u.execute(ctx, request)
	u.releaseSlot()
	if !completed {
		return
	}
	sleep(ctx, u.config.Latency)
	reply.Outcome = upstream.Done
	reply.Records = search(contents.Lines, request.Query)
	if part := u.endlessPart(); part != "" {
		sendEndless(w, part)
		return
	}
	u.sendReply(w, reply)
}

func (u *Upstream) endlessPart() EndlessPart {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults.Endless
}

// acquireSlot accepts or refuses a request. If the number of slots is limited, it
// waits for a free one and refuses the request if ctx ends first. It returns the
// contents of the requested version and the reason for the refusal. An empty refusal
// means that the request may run; the caller must call releaseSlot after the run.
func (u *Upstream) acquireSlot(ctx context.Context, request upstream.Request) (contents Contents, refusal upstream.Outcome) {
	u.mu.Lock()
	contents, held := u.contents[request.Version]
	switch {
	case u.leaving:
		refusal = upstream.Leaving
	case !held && request.Version != 0:
		refusal = upstream.VersionGone
	case u.faults.Shed || u.slots != nil && u.queued >= u.config.Queue+u.config.Slots:
		refusal = upstream.Shed
	default:
		u.queued++
	}
	u.mu.Unlock()
	if refusal != "" || u.slots == nil {
		return contents, refusal
	}
	select {
	case u.slots <- struct{}{}:
		return contents, ""
	case <-ctx.Done():
		u.mu.Lock()
		u.queued--
		u.mu.Unlock()
		return contents, upstream.Expired
	}
}

// releaseSlot frees the slot of a request that acquireSlot let run and removes the
// request from the count of accepted ones.
func (u *Upstream) releaseSlot() {
	u.mu.Lock()
	u.queued--
	u.mu.Unlock()
	if u.slots != nil {
		<-u.slots
	}
}

// execute records an execution and waits for its service time. It returns false if
// the request was cancelled.
func (u *Upstream) execute(ctx context.Context, request upstream.Request) bool {
	u.mu.Lock()
	position := len(u.executions)
	u.executions = append(u.executions, Execution{
		RequestID: request.RequestID,
		Attempt:   request.Attempt,
		Query:     string(request.Query),
		Version:   request.Version,
		Started:   time.Now(),
	})
	u.inFlight++
	u.peakInFlight = max(u.peakInFlight, u.inFlight)
	serviceTime := u.sampleServiceTime()
	silent := u.faults.Silent
	u.mu.Unlock()
	completed := true
	if silent {
		<-ctx.Done()
		completed = false
	} else {
		completed = sleep(ctx, serviceTime)
	}
	u.mu.Lock()
	u.inFlight--
	u.executions[position].Completed = completed
	u.mu.Unlock()
	return completed
}

// sampleServiceTime returns the service time of the next request. The caller holds
// u.mu.
func (u *Upstream) sampleServiceTime() time.Duration {
	if u.config.ServiceTime == nil {
		return 0
	}
	serviceTime := u.config.ServiceTime(u.random)
	if u.faults.Slowdown > 0 {
		serviceTime = time.Duration(float64(serviceTime) * u.faults.Slowdown)
	}
	return serviceTime
}

// sleep waits for a duration. It returns false if ctx is done first.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// search returns the lines that contain the text.
func search(lines [][]byte, text query.Text) []query.Text {
	var records []query.Text
	for _, line := range lines {
		if bytes.Contains(line, text) {
			records = append(records, line)
		}
	}
	return records
}

// foreignRecord is the record in replies with WrongRequest or WrongVersion.
const foreignRecord = "a record that was not asked for"

// applyTo changes a reply by the faults that leave it well-formed JSON.
func (f UpstreamFaults) applyTo(reply *upstream.Reply) {
	foreign := []query.Text{query.Text(foreignRecord)}
	foreignCount := len(foreign)
	if f.OmitRecords {
		reply.Records, reply.End = reply.Records[:len(reply.Records)/2], nil
	}
	if f.WrongRequest {
		reply.RequestID, reply.Attempt = "another-request", "another-attempt"
		reply.Records, reply.End = foreign, &foreignCount
	}
	if f.WrongVersion {
		reply.Version++
		reply.Records, reply.End = foreign, &foreignCount
	}
}

// sendReply completes a reply with its end marker and load, applies the faults and
// writes it.
func (u *Upstream) sendReply(w http.ResponseWriter, reply upstream.Reply) {
	end := len(reply.Records)
	reply.End = &end
	reply.Load = u.replyLoad(reply.Outcome)
	u.mu.Lock()
	faults := u.faults
	u.mu.Unlock()
	faults.applyTo(&reply)
	if faults.InvalidStatus {
		sendInvalidStatus(w, reply)
		return
	}
	if !faults.Truncate {
		writeJSON(w, reply)
		return
	}
	body, err := json.Marshal(reply)
	if err != nil {
		return
	}
	_, _ = w.Write(body[:len(body)/2])
}
