package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case massDrain.
const (
	// oldSetBackends is the number of backends of the set of shards that drains, 1,000
	// shards with three each.
	oldSetBackends = 3000
	// drainClients is the number of clients of each machine.
	drainClients = 4
	// watchTime is how long requests go on after the acknowledgement.
	watchTime = 12 * time.Second
	// drainInterval is the time between two requests to one machine.
	drainInterval = 20 * time.Millisecond
)

// playMassDrain lets the backends of a replaced set of shards drain together, three
// backends that are in use among them, and checks DRAIN.
func playMassDrain(l *lab) (bool, error) {
	l.configureArchive(1, longDeadline)
	zones := []string{"half-way-tree", "new-kingston", "cross-roads"}
	var backends []*backend
	for i := range 6 {
		b, err := l.newBackend(fmt.Sprintf("i-%03d", i), "archive-desk", zones[i%3], 4, func(*http.Request) time.Duration { return briefWork })
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	l.store.put(l.oldSet("ready")...)
	if err := l.startMachines(zones...); err != nil {
		return false, err
	}
	time.Sleep(stability + time.Second)
	var stopped atomic.Bool
	var clients sync.WaitGroup
	for i := range drainClients * len(l.machines) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			l.machines[i%len(l.machines)].ask(&stopped)
		}()
	}
	time.Sleep(2 * time.Second)
	leaving := map[string]bool{}
	var writes []write
	if l.trouble {
		writes = l.oldSet("draining")
	}
	for _, b := range backends[:3] {
		b.setState("draining")
		leaving[b.id] = true
		writes = append(writes, b.entry())
	}
	acknowledged := l.store.put(writes...)
	l.record.noteAt(acknowledged, "%d backends are draining", len(writes))
	time.Sleep(watchTime)
	stopped.Store(true)
	clients.Wait()
	return l.checkDrain(leaving, acknowledged, acknowledged), nil
}

// oldSet returns the entries of the replaced set of shards. Nothing is sent to these
// backends, as no route names their services.
func (l *lab) oldSet(state string) []write {
	count := oldSetBackends
	if given, err := strconv.Atoi(os.Getenv("LAB_OLD_SET")); err == nil {
		count = given
	}
	writes := make([]write, count)
	for i := range writes {
		writes[i] = write{kind: "servers", name: fmt.Sprintf("o-%05d", i), spec: map[string]any{
			"service": fmt.Sprintf("old-shard-%d", i/3), "address": address(l.ip(201), 10000+i), "zone": "half-way-tree", "version": "v1",
			"slots": 2, "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": 1,
		}}
	}
	return writes
}

// ask sends requests to a machine until it is stopped.
func (m *machine) ask(stopped *atomic.Bool) {
	var conn *connection
	for !stopped.Load() {
		time.Sleep(drainInterval)
		if conn == nil || !conn.reusable {
			var err error
			if conn, err = m.lab.connect(m.front()); err != nil {
				conn = nil
				continue
			}
		}
		conn.do(request{id: newID("brief"), method: http.MethodPost, host: archiveHost, path: "/archive/brief", deadline: longDeadline, body: "brief=1"})
	}
	if conn != nil {
		conn.close()
	}
}

// checkDrain counts the requests that reached the leaving backends later than the drain
// timeout after the acknowledgement. Those sent before inTouch, when all machines had
// been without a disruption for the stability window, don't count.
func (l *lab) checkDrain(leaving map[string]bool, acknowledged, inTouch time.Time) bool {
	before, late := 0, 0
	last := time.Duration(0)
	for id, runs := range l.runs.all() {
		for _, r := range runs {
			after := r.arrived.Sub(acknowledged)
			sent, known := l.sent(id)
			switch {
			case !leaving[r.backend]:
			case after <= drainTimeout || !known || sent.Before(inTouch):
				before++
			default:
				late++
				last = max(last, after)
				l.record.note("late id=%s backend=%s reached it %.3fs after the acknowledgement", id, r.backend, after.Seconds())
			}
		}
	}
	l.record.say("%d requests reached the leaving backends in time or are not counted, and %d later than %v after the acknowledgement, the last one %.2fs after it", before, late, drainTimeout, last.Seconds())
	return late > 0
}
