package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the largest number of objects in one page of a list.
const pageItems = 500

// storedMeta is the part of an object that the store itself keeps.
type storedMeta struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	CreatedRevision uint64   `json:"created_revision"`
	Finalizers      []string `json:"finalizers"`
	Deleting        bool     `json:"deleting"`
}

// storedObject is an object of the store.
type storedObject struct {
	Meta   storedMeta `json:"meta"`
	Spec   any        `json:"spec"`
	Status any        `json:"status"`
}

// storedChange is one change in the history of the store.
type storedChange struct {
	kind    string
	at      time.Time
	Object  storedObject `json:"object"`
	Deleted bool         `json:"deleted"`
}

// write is a change that a stand-in asks for; a nil spec deletes the object.
type write struct {
	kind, name string
	spec       any
}

// store stands in for the platform's metadata store. It serves the calls that
// read; the system under test makes no others.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	history  []storedChange
	// changed is closed and replaced at each change.
	changed chan struct{}
	// staleness is how old the data are that a call with stale_ok gets.
	staleness time.Duration
}

func newStore(ip string) (*store, error) {
	s := &store{revision: 1, objects: map[string]map[string]storedObject{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// put makes the changes in order, each with a revision of its own, before any call
// is answered, and returns the time of the acknowledgement.
func (s *store) put(writes ...write) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		s.apply(w)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) apply(w write) {
	s.revision++
	objects := s.objects[w.kind]
	if objects == nil {
		objects = map[string]storedObject{}
		s.objects[w.kind] = objects
	}
	object, known := objects[w.name]
	if !known {
		object.Meta = storedMeta{Name: w.name, CreatedRevision: s.revision, Finalizers: []string{}}
	}
	object.Meta.Revision, object.Spec = s.revision, w.spec
	objects[w.name] = object
	if w.spec == nil {
		delete(objects, w.name)
	}
	s.history = append(s.history, storedChange{kind: w.kind, at: time.Now(), Object: object, Deleted: w.spec == nil})
}

// ServeHTTP answers the calls that list or watch a kind.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, found := strings.CutPrefix(r.URL.Path, "/objects/")
	if !found || r.Method != http.MethodGet || strings.Contains(kind, "/") {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	query := r.URL.Query()
	if !query.Has("watch") {
		s.list(w, kind, query.Get("after"))
		return
	}
	since, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	lag := time.Duration(0)
	if query.Get("stale_ok") == "1" {
		lag = s.staleness
	}
	s.watch(w, r, watch{kind: kind, since: since, wait: time.Duration(wait) * time.Millisecond, lag: lag})
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := names[:min(len(names), pageItems)]
	items := make([]storedObject, 0, len(page))
	for _, name := range page {
		items = append(items, s.objects[kind][name])
	}
	reply(w, map[string]any{"items": items, "more": len(page) < len(names), "store_revision": s.revision})
}

// watch is a call that waits for changes after a revision. It sees the store as it was
// lag ago.
type watch struct {
	kind  string
	since uint64
	wait  time.Duration
	lag   time.Duration
}

// stalePoll is how often a watch that lags looks for changes.
const stalePoll = 20 * time.Millisecond

func (s *store) watch(w http.ResponseWriter, r *http.Request, call watch) {
	end := time.NewTimer(call.wait)
	defer end.Stop()
	for waited := false; ; {
		changes, revision, changed := s.changes(call)
		if len(changes) > 0 || waited {
			reply(w, map[string]any{"events": changes, "store_revision": revision})
			return
		}
		var poll <-chan time.Time
		if call.lag > 0 {
			poll = time.After(stalePoll)
		}
		select {
		case <-changed:
		case <-poll:
		case <-end.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// changes returns the changes that a watch sees, the revision that they reach and a
// channel that is closed at the next change.
func (s *store) changes(call watch) ([]storedChange, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := time.Now().Add(-call.lag)
	changes, revision := []storedChange{}, call.since
	for i := len(s.history) - 1; i >= 0 && s.history[i].Object.Meta.Revision > call.since; i-- {
		change := s.history[i]
		if call.lag > 0 && change.at.After(seen) {
			continue
		}
		revision = max(revision, change.Object.Meta.Revision)
		if change.kind == call.kind {
			changes = append(changes, change)
		}
	}
	slices.Reverse(changes)
	return changes, revision, s.changed
}

func reply(w http.ResponseWriter, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}
