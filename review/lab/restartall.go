package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case restartAll.
const (
	// staleReads is how old the store's answers to calls with stale_ok are.
	staleReads = 4500 * time.Millisecond
	// changeDelay is the time from the start of the processes to the change, which is
	// longer than the stability window.
	changeDelay = 4500 * time.Millisecond
	// afterChange is how long the clients go on after the change.
	afterChange = 8 * time.Second
	configApply = 3 * time.Second
	movedWork   = 20 * time.Millisecond
)

// playRestartAll kills all processes at once, moves a route to another service when the
// machines have been in touch again for a while, and checks CONFIG.
func playRestartAll(l *lab) (bool, error) {
	l.store.staleness = staleReads
	l.configureRoute(1, "archive-desk")
	zones := []string{"half-way-tree", "new-kingston", "cross-roads"}
	for i := range 2 * archiveBackends {
		service := []string{"archive-desk", "dispatch"}[i%2]
		if _, err := l.newBackend(fmt.Sprintf("i-%03d", i), service, zones[i%3], archiveSlots, func(*http.Request) time.Duration { return movedWork }); err != nil {
			return false, err
		}
	}
	if err := l.startMachines(zones...); err != nil {
		return false, err
	}
	// Wait until some machines watch the store closely.
	time.Sleep(12 * time.Second)
	var stopped atomic.Bool
	var clients sync.WaitGroup
	for _, m := range l.machines {
		clients.Add(1)
		go func() {
			defer clients.Done()
			m.ask(&stopped)
		}()
	}
	time.Sleep(time.Second)
	if l.trouble {
		if err := l.killAll(); err != nil {
			return false, err
		}
	}
	started := time.Now()
	time.Sleep(changeDelay)
	acknowledged := l.configureRoute(2, "dispatch")
	l.record.noteAt(acknowledged, "version 2 is acknowledged: the route moves to dispatch")
	time.Sleep(afterChange)
	stopped.Store(true)
	clients.Wait()
	return l.checkMoved(started, acknowledged), nil
}

// configureRoute writes a configuration whose route goes to the service.
func (l *lab) configureRoute(version int, service string) time.Time {
	var services []any
	for _, name := range []string{"archive-desk", "dispatch"} {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false})
	}
	return l.store.put(write{kind: "config", name: "main", spec: map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-archive", "hostname": archiveHost, "path_prefix": "/archive/", "route_type": "unsafe",
			"timeout_ms": 6000, "target_latency_ms": 800, "priority": 2, "service": service, "max_attempts": 2,
		}},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}})
}

// killAll kills all processes and starts them again a little later.
func (l *lab) killAll() error {
	l.record.note("SIGKILL to all machines")
	for _, m := range l.machines {
		m.kill()
	}
	time.Sleep(restartDelay)
	for _, m := range l.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return awaitReady(l.machines...)
}

// checkMoved counts the requests that were sent later than configApply after the
// acknowledgement, by machines that had run for the stability window, and were run by
// the old service.
func (l *lab) checkMoved(started, acknowledged time.Time) bool {
	old, moved := 0, 0
	last := time.Duration(0)
	for id, runs := range l.runs.all() {
		sent, known := l.sent(id)
		if !known || !sent.After(acknowledged.Add(configApply)) || sent.Before(started.Add(stability)) {
			continue
		}
		for _, r := range runs {
			if r.service != "archive-desk" {
				moved++
				continue
			}
			old++
			last = max(last, sent.Sub(acknowledged))
			l.record.note("old service id=%s sent=%.3fs after the acknowledgement", id, sent.Sub(acknowledged).Seconds())
		}
	}
	l.record.say("of the requests sent later than %v after the acknowledgement %d were run by the old service, the last one sent %.1fs after it, and %d by the new one", configApply, old, last.Seconds(), moved)
	return old > 0
}
