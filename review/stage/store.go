package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items in one page of a list.
const pageItems = 50

// change is one change of an object in the store's history.
type change struct {
	kind, name string
	spec       json.RawMessage
	deleted    bool
	revision   uint64
	created    uint64
	at         time.Time
}

// store is a stand-in for the platform's metadata store. All reads are those of the
// protocol page: lists with pages, watches, and stale reads that lag behind.
type store struct {
	mu       sync.Mutex
	revision uint64
	history  []change
	changed  chan struct{}
	// staleLag is by how much reads with stale_ok lag behind.
	staleLag time.Duration
	// down holds how the store treats each reader; "" serves it.
	down map[string]string
	// fresh holds the time of the last fresh watch of the configuration by reader.
	fresh map[string]time.Time
	calls int
	// released lets silent calls end.
	released chan struct{}
}

func newStore(staleLag time.Duration) *store {
	return &store{
		revision: 100, changed: make(chan struct{}), staleLag: staleLag, down: map[string]string{},
		fresh: map[string]time.Time{}, released: make(chan struct{}),
	}
}

// put writes an object and returns the time of the acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return s.write(change{kind: kind, name: name, spec: text})
}

// remove deletes an object and returns the time of the acknowledgement.
func (s *store) remove(kind, name string) time.Time {
	return s.write(change{kind: kind, name: name, deleted: true})
}

func (s *store) write(c change) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	c.revision, c.created, c.at = s.revision, s.revision, time.Now()
	if old, found := s.state(c.kind, s.revision)[c.name]; found {
		c.created = old.created
		if c.deleted {
			c.spec = old.spec
		}
	}
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// state returns the objects of a kind as of a revision. The caller holds mu.
func (s *store) state(kind string, revision uint64) map[string]change {
	objects := map[string]change{}
	for _, c := range s.history {
		if c.kind != kind || c.revision > revision {
			continue
		}
		if c.deleted {
			delete(objects, c.name)
			continue
		}
		objects[c.name] = c
	}
	return objects
}

// visible returns the revision that a reader sees now. The caller holds mu.
func (s *store) visible(stale bool) uint64 {
	if !stale {
		return s.revision
	}
	revision, limit := uint64(100), time.Now().Add(-s.staleLag)
	for _, c := range s.history {
		if c.at.Before(limit) {
			revision = c.revision
		}
	}
	return revision
}

// setDown sets how the store treats a reader.
func (s *store) setDown(reader, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[reader] = how
	close(s.changed)
	s.changed = make(chan struct{})
}

// watchers returns the readers that have made a fresh watch of the configuration lately.
func (s *store) watchers(within time.Duration) (readers []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for reader, at := range s.fresh {
		if time.Since(at) < within {
			readers = append(readers, reader)
		}
	}
	sort.Strings(readers)
	return readers
}

// listen serves the store to one reader at an address.
func (s *store) listen(reader, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(reader, w, r) }))
	}()
	return nil
}

func (s *store) serve(reader string, w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	s.calls++
	how := s.down[reader]
	s.mu.Unlock()
	switch how {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "silent":
		select {
		case <-r.Context().Done():
		case <-s.released:
		}
		panic(http.ErrAbortHandler)
	}
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	query := r.URL.Query()
	stale := query.Get("stale_ok") == "1"
	switch {
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case query.Has("watch"):
		s.watch(reader, w, r, path[0], stale)
	default:
		s.list(w, path[0], query.Get("after"), stale)
	}
}

func object(c change) map[string]any {
	return map[string]any{
		"meta": map[string]any{"name": c.name, "revision": c.revision, "created_revision": c.created, "finalizers": []string{}, "deleting": false},
		"spec": c.spec, "status": map[string]any{},
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) list(w http.ResponseWriter, kind, after string, stale bool) {
	s.mu.Lock()
	revision := s.visible(stale)
	objects := s.state(kind, revision)
	s.mu.Unlock()
	var names []string
	for name := range objects {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []any{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, object(objects[name]))
	}
	reply(w, map[string]any{"items": items, "more": len(names) > pageItems, "store_revision": revision})
}

func (s *store) watch(reader string, w http.ResponseWriter, r *http.Request, kind string, stale bool) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	if kind == "config" && !stale {
		s.mu.Lock()
		s.fresh[reader] = time.Now()
		s.mu.Unlock()
	}
	for ended := false; ; {
		s.mu.Lock()
		visible, changed, how := max(s.visible(stale), since), s.changed, s.down[reader]
		events := []any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > since && c.revision <= visible {
				events = append(events, map[string]any{"object": object(c), "deleted": c.deleted})
			}
		}
		s.mu.Unlock()
		if how != "" {
			// A watch that waits is cut off.
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || ended {
			reply(w, map[string]any{"events": events, "store_revision": visible})
			return
		}
		var lagging <-chan time.Time
		if stale {
			lagging = time.After(50 * time.Millisecond)
		}
		select {
		case <-changed:
		case <-lagging:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
