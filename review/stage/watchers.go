package main

import (
	"fmt"
	"net/http"
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

// watchersWithoutStore refuses the machines that watch the store for the others, and then
// changes the configuration.
func watchersWithoutStore(record string) (violated bool, err error) {
	w, err := newWorld(record, 4*time.Second)
	if err != nil {
		return false, err
	}
	defer w.end()
	services := []string{"desk", "ledger"}
	old := configuration(5, services, singleRoute("r", "a.example", "/x/", "desk"))
	next := configuration(8, services, singleRoute("r", "a.example", "/x/", "ledger"))
	if _, err := prepare(w, 9, []string{"north", "centre", "south"}, services, 3, old); err != nil {
		return false, err
	}
	watchers := w.store.watchers(4 * time.Second)
	w.note("machines that read the store without stale_ok: %v", watchers)
	refused := map[string]bool{}
	if w.trouble {
		for _, reader := range watchers {
			w.store.setDown(reader, "busy")
			refused[reader] = true
		}
		w.note("the store answers 503 to them")
	}
	time.Sleep(4500 * time.Millisecond)
	acked := w.store.put("config", "main", next)
	w.note("version 8 acknowledged")
	var others []*node
	for _, n := range w.nodes {
		if !refused[n.name] {
			others = append(others, n)
		}
	}
	stop := make(chan struct{})
	results := w.load(others, 50*time.Millisecond, func(n *node, number int) request {
		return request{id: fmt.Sprintf("%s-%d", n.name, number), method: http.MethodGet, host: "a.example", path: "/x/1", node: n, deadline: 2 * time.Second}
	}, stop)
	time.Sleep(8 * time.Second)
	close(stop)
	sent := map[string]result{}
	for _, res := range results() {
		sent[res.request.id] = res
	}
	last := map[string]float64{}
	count := 0
	for _, a := range w.allArrivals() {
		res, found := sent[a.id]
		if !found || !a.executed || a.service != "desk" {
			continue
		}
		after := res.sent.Sub(acked)
		last[res.request.node.name] = max(last[res.request.node.name], after.Seconds())
		if after > 3*time.Second {
			count++
			w.note("request %s, sent %.3f s after the acknowledgement, was run by the old service", a.id, after.Seconds())
		}
	}
	for name, after := range last {
		w.note("%s sent the last request to the old service that came %.3f s after the acknowledgement", name, after)
	}
	w.note("%d requests, %d handled by the old version later than 3 s after the acknowledgement", len(sent), count)
	return count > 0, nil
}
