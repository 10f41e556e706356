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

// UpstreamConfig describes one upstream.
type UpstreamConfig struct {
	// Address is where it listens, host:port; port 0 picks one.
	Address string
	Index   string
	// Slots is the number of requests in progress at once; 0 for no limit.
	Slots int
	// Queue is the number of requests that wait for a slot before it sheds.
	Queue int
	// Connections is the number of open connections; 0 for no limit.
	Connections int
	// ConnectionCost delays the first request on each connection.
	ConnectionCost time.Duration
	// ServiceTime draws how long a request takes; nil for no time.
	ServiceTime func(random *rand.Rand) time.Duration
	// Latency is added one way, in each direction.
	Latency time.Duration
	Seed    uint64
}

// Contents is what an upstream holds of one version of its index.
type Contents struct {
	Ranges []snapshot.Range
	// Lines are the records.
	Lines [][]byte
}

// Misbehaviour is how an upstream breaks its protocol, for tests.
type UpstreamFaults struct {
	// Truncate cuts the body in half.
	Truncate bool
	// Shorten leaves out half of the records, and the end marker.
	OmitRecords bool
	// Swap answers with another request's identity and records.
	WrongRequest bool
	// OtherVersion answers from a version that was not asked for.
	WrongVersion bool
	// Silent accepts requests and never answers.
	Silent bool
	// Slowdown multiplies service times; 0 stands for 1.
	Slowdown float64
	// Unhealthy makes the state endpoint claim ill health.
	Unhealthy bool
	// Shed refuses every request.
	Shed bool
}

// Execution is one request that an upstream ran.
type Execution struct {
	RequestID string
	Attempt   string
	Query     string
	Version   uint64
	Started   time.Time
	// Completed is false if the request was cancelled.
	Completed bool
}

// Upstream is a stand-in of one back end.
type Upstream struct {
	config   UpstreamConfig
	server   *http.Server
	listener net.Listener
	slots    chan struct{}

	mu         sync.Mutex
	random     *rand.Rand
	contents   map[uint64]Contents
	misbehave  UpstreamFaults
	leaving    bool
	announced  bool
	queued     int
	inFlight   int
	peakFlight int
	open       int
	peakOpen   int
	executions []Execution
	// incarnation changes with every Restart.
	incarnation int
}

// StartUpstream listens and serves.
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
	// Serve always returns an error once the upstream is closed.
	_ = u.server.Serve(u.listener)
}

// Close ends the upstream at once.
func (u *Upstream) Close() {
	_ = u.server.Close()
}

// Address returns where the upstream listens.
func (u *Upstream) Address() string {
	return u.listener.Addr().String()
}

// Hold puts a version in place.
func (u *Upstream) AddVersion(version uint64, contents Contents) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.contents[version] = contents
}

// Drop takes a version away.
func (u *Upstream) RemoveVersion(version uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.contents, version)
}

// Misbehave replaces how the upstream breaks its protocol.
func (u *Upstream) InjectFaults(misbehaviour UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.misbehave = misbehaviour
}

// Leave makes the upstream refuse new requests and say so.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// AnnounceLeaving makes the upstream's state say that it leaves, while it goes
// on to serve and to call itself healthy.
func (u *Upstream) AnnounceLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.announced = true
}

// Restart gives the upstream a new incarnation that is not leaving.
func (u *Upstream) Restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.incarnation++
	u.leaving = false
}

// Executions returns what the upstream ran.
func (u *Upstream) Executions() []Execution {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Execution(nil), u.executions...)
}

// Peaks returns the most requests in progress and the most open connections
// that the upstream has seen at once.
func (u *Upstream) Peaks() (inFlight, connections int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peakFlight, u.peakOpen
}

// connection is what the upstream knows of one connection.
type connection struct {
	mu   sync.Mutex
	warm bool
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
		u.open++
		u.peakOpen = max(u.peakOpen, u.open)
		if u.config.Connections > 0 && u.open > u.config.Connections {
			// The connection is refused; closing it is all that can be done.
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		u.open--
	}
}

func (u *Upstream) warmUp(ctx context.Context) {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok || u.config.ConnectionCost == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.warm {
		c.warm = true
		time.Sleep(u.config.ConnectionCost)
	}
}

func (u *Upstream) serveState(w http.ResponseWriter, r *http.Request) {
	u.warmUp(r.Context())
	u.mu.Lock()
	state := upstream.State{
		Index:       u.config.Index,
		Incarnation: strconv.Itoa(u.incarnation),
		Healthy:     !u.misbehave.Unhealthy,
		Load:        upstream.Load{InFlight: u.inFlight, Queued: u.queued, Leaving: u.leaving || u.announced},
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
	// An error means that the other side has gone.
	_ = encoder.Encode(value)
}

func (u *Upstream) serveQuery(w http.ResponseWriter, r *http.Request) {
	u.warmUp(r.Context())
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
	contents, refusal := u.enter(ctx, request)
	if refusal != "" {
		reply.Outcome = refusal
		u.send(w, reply)
		return
	}
	completed := u.work(ctx, request)
	u.leave()
	if !completed {
		return
	}
	sleep(ctx, u.config.Latency)
	reply.Outcome = upstream.Done
	reply.Records = search(contents.Lines, request.Query)
	u.send(w, reply)
}

// enter waits for a slot. A refusal means that the request does not run.
func (u *Upstream) enter(ctx context.Context, request upstream.Request) (contents Contents, refusal upstream.Outcome) {
	u.mu.Lock()
	contents, held := u.contents[request.Version]
	switch {
	case u.leaving:
		refusal = upstream.Leaving
	case !held && request.Version != 0:
		refusal = upstream.VersionGone
	case u.misbehave.Shed || u.slots != nil && u.queued >= u.config.Queue+u.config.Slots:
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

func (u *Upstream) leave() {
	u.mu.Lock()
	u.queued--
	u.mu.Unlock()
	if u.slots != nil {
		<-u.slots
	}
}

// work notes the execution and takes its time; false if it was cancelled.
func (u *Upstream) work(ctx context.Context, request upstream.Request) bool {
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
	u.peakFlight = max(u.peakFlight, u.inFlight)
	took := u.drawTime()
	silent := u.misbehave.Silent
	u.mu.Unlock()
	completed := true
	if silent {
		<-ctx.Done()
		completed = false
	} else {
		completed = sleep(ctx, took)
	}
	u.mu.Lock()
	u.inFlight--
	u.executions[position].Completed = completed
	u.mu.Unlock()
	return completed
}

func (u *Upstream) drawTime() time.Duration {
	if u.config.ServiceTime == nil {
		return 0
	}
	took := u.config.ServiceTime(u.random)
	if u.misbehave.Slowdown > 0 {
		took = time.Duration(float64(took) * u.misbehave.Slowdown)
	}
	return took
}

func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
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

func search(lines [][]byte, text query.Text) []query.Text {
	var records []query.Text
	for _, line := range lines {
		if bytes.Contains(line, text) {
			records = append(records, line)
		}
	}
	return records
}

// foreignRecord stands in replies that are not of the request or its version.
const foreignRecord = "a record that was not asked for"

// distort breaks a reply in the ways that keep it well-formed.
func (m UpstreamFaults) distort(reply *upstream.Reply) {
	foreign := []query.Text{query.Text(foreignRecord)}
	one := len(foreign)
	if m.OmitRecords {
		reply.Records, reply.End = reply.Records[:len(reply.Records)/2], nil
	}
	if m.WrongRequest {
		reply.RequestID, reply.Attempt = "another-request", "another-attempt"
		reply.Records, reply.End = foreign, &one
	}
	if m.WrongVersion {
		reply.Version++
		reply.Records, reply.End = foreign, &one
	}
}

func (u *Upstream) send(w http.ResponseWriter, reply upstream.Reply) {
	end := len(reply.Records)
	reply.End = &end
	u.mu.Lock()
	misbehave := u.misbehave
	reply.Load = &upstream.Load{InFlight: u.inFlight, Queued: u.queued, Leaving: u.leaving}
	u.mu.Unlock()
	misbehave.distort(&reply)
	if !misbehave.Truncate {
		writeJSON(w, reply)
		return
	}
	body, err := json.Marshal(reply)
	if err != nil {
		return
	}
	_, _ = w.Write(body[:len(body)/2])
}
