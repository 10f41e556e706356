package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is one request as a backend saw it.
type arrival struct {
	at       time.Time
	backend  string
	service  string
	zone     string
	id       string
	tenant   string
	hasKey   bool
	executed bool
	status   int
}

// backend is a stand-in for a server of a service.
type backend struct {
	id, service, zone, address string
	born                       int64
	slots                      int
	sequence                   atomic.Int64
	// silent is true once it writes no more entries, leaving once it drains.
	silent, leaving atomic.Bool
	world           *world
	listener        net.Listener

	mu sync.Mutex
	// work is how long a request takes.
	work time.Duration
	// handle overrides the answer to a request if it returns true.
	handle func(w http.ResponseWriter, r *http.Request, id string) bool
}

func (b *backend) spec(state string) map[string]any {
	return map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": b.sequence.Add(1), "born": b.born,
	}
}

// startBackend starts a backend at an address; a free one if it is empty.
func (w *world) startBackend(id, service, zone, address string) (*backend, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		slots: 4, world: w, work: 3 * time.Millisecond, listener: listener,
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(b.serve)) }()
	return b, nil
}

// state returns the state that the backend announces.
func (b *backend) state() string {
	if b.leaving.Load() {
		return "draining"
	}
	return "ready"
}

// register writes the backend's entry and returns the time of the acknowledgement.
func (b *backend) register(state string) time.Time {
	return b.world.store.put("servers", b.id, b.spec(state))
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=5")
	seen := arrival{at: time.Now(), backend: b.id, service: b.service, zone: b.zone, id: id, tenant: r.Header.Get("Tenant"), hasKey: r.Header.Get("Key") != ""}
	if r.Header.Get("Expect-Instance") != b.id {
		seen.status = http.StatusMisdirectedRequest
		b.world.arrived(seen)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	handle, work := b.handle, b.work
	b.mu.Unlock()
	if handle != nil && handle(w, r, id) {
		return
	}
	seen.executed, seen.status = true, http.StatusOK
	b.world.arrived(seen)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	b.answer(w, id)
}

// answer sends the records of a part.
func (b *backend) answer(w http.ResponseWriter, id string) {
	w.Header().Set("Server-Stamp", b.id+"."+id)
	body := make([]byte, 0, 64)
	for i := range 4 {
		body = append(body, fmt.Sprintf("%-8s%08d", b.service[:min(len(b.service), 8)], i)...)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// setHandle replaces the way in which requests are answered.
func (b *backend) setHandle(handle func(w http.ResponseWriter, r *http.Request, id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handle = handle
}
