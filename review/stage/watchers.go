package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// route returns a route of one service.
func singleRoute(name, host, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "path_prefix": prefix, "route_type": "safe", "timeout_ms": 2000,
		"target_latency_ms": 200, "priority": 1, "max_attempts": 2, "service": service,
	}
}

func serviceEntry(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 60, "protocol": "http1", "tls": false}
}

// configuration returns a configuration with the routes.
func configuration(version int, services []string, routes ...map[string]any) map[string]any {
	var entries []map[string]any
	for _, s := range services {
		entries = append(entries, serviceEntry(s))
	}
	return map[string]any{
		"version": version, "routes": routes, "services": entries,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 2000, "idle_timeout_ms": 20000},
	}
}

// settleTime is how long the machines run before a case begins, so that all know each other.
const settleTime = 9 * time.Second

// prepare starts backends of the services and all nodes, and waits until they are settled.
func prepare(w *world, machines int, zones, services []string, perService int, config map[string]any) (backends []*backend, err error) {
	for _, service := range services {
		for i := range perService {
			b, err := w.startBackend(fmt.Sprintf("i-%s-%d", service, i), service, zones[i%len(zones)], "")
			if err != nil {
				return nil, err
			}
			b.register("ready")
			backends = append(backends, b)
		}
	}
	w.store.put("config", "main", config)
	if err := w.addNodes(machines, zones); err != nil {
		return nil, err
	}
	if err := w.startAll(); err != nil {
		return nil, err
	}
	w.beat(backends)
	time.Sleep(settleTime)
	return backends, nil
}

// beat keeps the entries of the backends alive.
func (w *world) beat(backends []*backend) {
	for _, b := range backends {
		go func() {
			for range time.Tick(1200 * time.Millisecond) {
				if b.silent.Load() {
					return
				}
				b.register(b.state())
			}
		}()
	}
}

// load sends requests to the nodes at an interval each until stop is closed, and collects
// the results.
func (w *world) load(nodes []*node, interval time.Duration, next func(n *node, number int) request, stop <-chan struct{}) (results func() []result) {
	var mu sync.Mutex
	var all []result
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Add(1)
		go func() {
			defer group.Done()
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				q := next(n, number)
				group.Add(1)
				go func() {
					defer group.Done()
					res := w.do(q)
					mu.Lock()
					all = append(all, res)
					mu.Unlock()
				}()
			}
		}()
	}
	return func() []result {
		group.Wait()
		return all
	}
}

// Times of a refusal by the store.
const (
	// refusedFor is how long the store turns machines away.
	refusedFor = 9 * time.Second
	// changeAfter is the time from the start of that to the operator's write.
	changeAfter = 500 * time.Millisecond
	// servedAfter is how long a case goes on after it.
	servedAfter = 3 * time.Second
)

// refuseWatchers lets the store turn the machines away that read current data for the others,
// unless the case plays without trouble. It returns the machines that it serves.
func (w *world) refuseWatchers() (served []*node) {
	watchers := w.store.watchers(4 * time.Second)
	w.note("machines that read the store without stale_ok: %v", watchers)
	if w.trouble {
		for _, reader := range watchers {
			w.store.setDown(reader, "busy")
		}
		w.note("the store answers 503 to these %d of %d machines", len(watchers), len(w.nodes))
	}
	for _, n := range w.nodes {
		if !w.trouble || !slices.Contains(watchers, n.name) {
			served = append(served, n)
		}
	}
	return served
}

// serveAll lets the store serve all machines.
func (w *world) serveAll() {
	for _, n := range w.nodes {
		w.store.setDown(n.name, "")
	}
	w.note("the store serves all machines")
}

// whileRefused sends requests to the machines that the store serves, while it turns the others
// away. The operator's write comes soon after the start. It returns the results by request, and
// when the write was acknowledged.
func (w *world) whileRefused(write func() time.Time) (sent map[string]result, acked time.Time) {
	served := w.refuseWatchers()
	began := time.Now()
	stop := make(chan struct{})
	results := w.load(served, 50*time.Millisecond, func(n *node, number int) request {
		return request{id: fmt.Sprintf("%s-%d", n.name, number), method: http.MethodGet, host: "a.example", path: "/x/1", node: n, deadline: 2 * time.Second}
	}, stop)
	time.Sleep(time.Until(began.Add(changeAfter)))
	acked = write()
	time.Sleep(time.Until(began.Add(refusedFor)))
	w.serveAll()
	time.Sleep(servedAfter)
	close(stop)
	sent = map[string]result{}
	for _, res := range results() {
		sent[res.request.id] = res
	}
	return sent, acked
}

// Parameters of configUnread.
const (
	// staleLag is by how much reads with stale_ok lag behind.
	staleLag = 4 * time.Second
	// configTime is the bound of the rule.
	configTime = 3 * time.Second
)

// configUnread changes the configuration while the store turns those machines away that read
// current data for the others.
func configUnread(record string) (violated bool, err error) {
	w, err := newWorld(record, staleLag)
	if err != nil {
		return false, err
	}
	defer w.end()
	services := []string{"desk", "ledger"}
	old := configuration(5, services, singleRoute("r", "a.example", "/x/", "desk"))
	next := configuration(8, services, singleRoute("r", "a.example", "/x/", "ledger"))
	if _, err := prepare(w, 15, []string{"north", "centre", "south"}, services, 3, old); err != nil {
		return false, err
	}
	sent, acked := w.whileRefused(func() time.Time {
		at := w.store.put("config", "main", next)
		w.note("version 8, which moves the route to another service, acknowledged")
		return at
	})
	last, count := map[string]float64{}, 0
	for _, a := range w.allArrivals() {
		res, found := sent[a.id]
		if !found || !a.executed || a.service != "desk" {
			continue
		}
		after := res.sent.Sub(acked)
		last[res.request.node.name] = max(last[res.request.node.name], after.Seconds())
		if after > configTime {
			count++
			w.note("request %s, sent %.3f s after the acknowledgement, was run by the old service", a.id, after.Seconds())
		}
	}
	for name, after := range last {
		w.note("%s sent the last request to the old service that came %.3f s after the acknowledgement", name, after)
	}
	w.note("%d requests sent to machines that the store serves, %d run by the old service though sent later than %s after the acknowledgement", len(sent), count, configTime)
	return count > 0, nil
}
