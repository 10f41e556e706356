package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case lateStop.
const (
	// lateStopClients is the number of clients that look the system up just before
	// the stop and keep the answer three times as long as it says.
	lateStopClients = 24
	// lateStopFirst is when after the SIGTERM the first of them sends its request.
	lateStopFirst = 3100 * time.Millisecond
	lateStopStep  = 15 * time.Millisecond
	// lateStopWork is the work of such a request, lateStopDeadline its deadline and the
	// timeout of its route.
	lateStopWork     = 3000 * time.Millisecond
	lateStopDeadline = 6 * time.Second
	// usualWork is the work of the other requests.
	usualWork = 220 * time.Millisecond
	// excusedSends is how long after the SIGTERM requests are excused at whose end the
	// grace period is nearly over.
	excusedSends = 3 * time.Second
	archiveHost  = "archive.example"
	// archiveBackends and archiveSlots are those of the service archive-desk.
	archiveBackends = 5
	archiveSlots    = 6
)

// playLateStop stops one machine with SIGTERM while clients use addresses that they
// may still use, and checks LOST.
func playLateStop(l *lab) (bool, error) {
	l.configureArchive(1, lateStopDeadline)
	zones := []string{"half-way-tree", "new-kingston", "cross-roads"}
	work := func(r *http.Request) time.Duration {
		if r.URL.Path == "/archive/long" {
			return lateStopWork
		}
		return usualWork
	}
	for i := range archiveBackends {
		if _, err := l.newBackend(fmt.Sprintf("i-%03d", i), "archive-desk", zones[i%3], archiveSlots, work); err != nil {
			return false, err
		}
	}
	if err := l.startMachines(zones...); err != nil {
		return false, err
	}
	time.Sleep(stability + time.Second)
	stopped := l.machines[0]
	var clients sync.WaitGroup
	outcomes := make([]outcome, lateStopClients)
	term := time.Now().Add(500 * time.Millisecond)
	for i := range outcomes {
		clients.Add(1)
		c := lateClient{lab: l, at: term.Add(lateStopFirst + time.Duration(i)*lateStopStep), pick: i}
		go func() {
			defer clients.Done()
			outcomes[i] = c.run()
		}()
	}
	time.Sleep(time.Until(term))
	if l.trouble {
		var ended chan struct{}
		term, ended = stopped.terminate()
		<-ended
		if err := stopped.start(); err != nil {
			return false, err
		}
	}
	clients.Wait()
	return l.checkStop(stopped, term, outcomes), nil
}

// configureArchive writes a configuration with two routes to one service. Requests on
// /archive/ may run once, those on /lookup/ more often.
func (l *lab) configureArchive(version int, timeout time.Duration) time.Time {
	return l.store.put(write{kind: "config", name: "main", spec: map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "r-archive", "hostname": archiveHost, "path_prefix": "/archive/", "route_type": "unsafe",
				"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 800, "priority": 2, "service": "archive-desk", "max_attempts": 2,
			},
			map[string]any{
				"name": "r-lookup", "hostname": archiveHost, "path_prefix": "/lookup/", "route_type": "safe",
				"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 2500, "priority": 2, "service": "archive-desk", "max_attempts": 2,
			},
		},
		"services": []any{map[string]any{"name": "archive-desk", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}})
}

// lateClient looks the system up, keeps the answer for three times as long as it says
// and sends one long request within that time.
type lateClient struct {
	lab  *lab
	at   time.Time
	pick int
}

func (c lateClient) run() outcome {
	time.Sleep(time.Until(c.at.Add(-lateStopFirst - 400*time.Millisecond)))
	known, err := c.lab.resolve(c.lab.machines[1+c.pick%2], archiveHost)
	if err != nil {
		return outcome{err: err}
	}
	time.Sleep(time.Until(c.at))
	if life := time.Duration(3 * known.TTL * float64(time.Second)); time.Since(known.at) > life {
		known, err = c.lab.resolve(c.lab.machines[1+c.pick%2], archiveHost)
		if err != nil {
			return outcome{err: err}
		}
	}
	conn, err := c.lab.connect(known.Addresses[c.pick%len(known.Addresses)])
	if err != nil {
		c.lab.record.note("not connected: %v", err)
		return outcome{err: err}
	}
	defer conn.close()
	return conn.do(request{id: newID("long"), method: http.MethodPost, host: archiveHost, path: "/archive/long", deadline: lateStopDeadline, body: "term=2026"})
}

// checkStop counts the requests that the stopped machine had passed on to a backend
// and whose connection then ended without a complete answer, but for those that the
// rule leaves out.
func (l *lab) checkStop(stopped *machine, term time.Time, outcomes []outcome) bool {
	lost, atStopped := 0, 0
	for _, o := range outcomes {
		if o.machine == stopped.name {
			atStopped++
		}
		if o.machine != stopped.name || o.status != 0 || o.done.After(term.Add(gracePeriod+time.Second)) {
			continue
		}
		runs := l.runs.of(o.id)
		switch {
		case len(runs) == 0:
			l.record.note("not counted id=%s: not passed on", o.id)
		case o.done.Sub(o.sent) >= o.deadline:
			l.record.note("not counted id=%s: its deadline was reached", o.id)
		case !o.sent.After(term.Add(excusedSends)):
			l.record.note("not counted id=%s: sent no later than %v after the SIGTERM", o.id, excusedSends)
		default:
			lost++
			l.record.note("lost id=%s sent=%.3fs after the SIGTERM, cut=%.3fs after it", o.id, o.sent.Sub(term).Seconds(), o.done.Sub(term).Seconds())
		}
	}
	l.record.say("%d of %d requests were sent to the stopped machine, %d of them lost", atStopped, len(outcomes), lost)
	return lost > 0
}
