package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Timing and limits of a backend.
const (
	heartbeatInterval = 1200 * time.Millisecond
	// backendKeepAlive is how long a backend keeps an idle connection, in seconds.
	backendKeepAlive = 5
	// backendQueue is the number of requests that may wait for a slot.
	backendQueue = 24
)

// run is one request at a backend.
type run struct {
	backend       string
	service       string
	arrived, done time.Time
	// answered is true if the backend wrote its answer; it is false if the
	// connection was closed before.
	answered bool
}

// runLog holds the runs by the id of their request.
type runLog struct {
	mu   sync.Mutex
	byID map[string][]*run
}

func (l *runLog) add(id string, r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[id] = append(l.byID[id], r)
}

// of returns copies of the runs of a request.
func (l *runLog) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []run
	for _, r := range l.byID[id] {
		runs = append(runs, *r)
	}
	return runs
}

// finish ends a run.
func (l *runLog) finish(r *run, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.done, r.answered = time.Now(), answered
}

// all returns copies of all runs with the id of their request.
func (l *runLog) all() map[string][]run {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := map[string][]run{}
	for id, runs := range l.byID {
		for _, r := range runs {
			copied[id] = append(copied[id], *r)
		}
	}
	return copied
}

// backend stands in for one server of a service. It drops a request whose
// connection closes.
type backend struct {
	lab                        *lab
	id, service, zone, address string
	slots                      int
	born                       int64
	// work returns how long a request takes.
	work func(*http.Request) time.Duration
	busy chan struct{}
	// queued holds a token for each request that is running or waiting.
	queued chan struct{}

	mu       sync.Mutex
	sequence int
	state    string
	stopped  chan struct{}
}

func (l *lab) newBackend(id, service, zone string, slots int, work func(*http.Request) time.Duration) (*backend, error) {
	b := &backend{
		lab: l, id: id, service: service, zone: zone, slots: slots, work: work,
		born: time.Now().UnixMilli(), state: "ready", stopped: make(chan struct{}),
		busy: make(chan struct{}, slots), queued: make(chan struct{}, slots+backendQueue),
	}
	listener, err := net.Listen("tcp4", net.JoinHostPort(l.ip(200), "0"))
	if err != nil {
		return nil, err
	}
	b.address = listener.Addr().String()
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Minute, IdleTimeout: backendKeepAlive * time.Second}
	go func() { _ = server.Serve(listener) }()
	l.store.put(b.entry())
	go b.loop()
	return b, nil
}

// entry returns the backend's next write to the store.
func (b *backend) entry() write {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return write{kind: "servers", name: b.id, spec: map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": b.state, "cold_remaining_ms": 0, "sequence": b.sequence, "born": b.born,
	}}
}

// setState changes the state that the next entry reports.
func (b *backend) setState(state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = state
}

// loop writes the heartbeats.
func (b *backend) loop() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.lab.store.put(b.entry())
		case <-b.stopped:
			return
		}
	}
}

// ServeHTTP runs a request, or rejects it if it is for another backend or if the
// queue is full.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", backendKeepAlive))
	w.Header().Set("Instance-Id", b.id)
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case b.queued <- struct{}{}:
		defer func() { <-b.queued }()
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case b.busy <- struct{}{}:
		defer func() { <-b.busy }()
	case <-r.Context().Done():
		return
	}
	b.run(w, r, id)
}

// run works on a request and answers it.
func (b *backend) run(w http.ResponseWriter, r *http.Request, id string) {
	current := &run{backend: b.id, service: b.service, arrived: time.Now()}
	b.lab.runs.add(id, current)
	b.lab.record.note("run id=%s backend=%s service=%s deadlineMs=%s", id, b.id, b.service, r.Header.Get("Deadline-Ms"))
	select {
	case <-time.After(b.work(r)):
	case <-r.Context().Done():
		b.lab.runs.finish(current, false)
		b.lab.record.note("dropped id=%s backend=%s: the connection was closed", id, b.id)
		return
	}
	body := []byte("the answer of " + b.id + " to " + id + "\n")
	w.Header().Set("Server-Stamp", b.id+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, err := w.Write(body)
	b.lab.runs.finish(current, err == nil)
	b.lab.record.note("done id=%s backend=%s", id, b.id)
}
