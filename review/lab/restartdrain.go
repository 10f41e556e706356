package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case restartDrain.
const (
	// removalDelay is the time from the start of the processes to the removal of the
	// entries, and afterRemoval how long the clients go on after it.
	removalDelay = 600 * time.Millisecond
	afterRemoval = 7 * time.Second
)

// playRestartDrain kills all processes at once, lets some backends leave without notice
// just after the processes are back, and checks DRAIN.
func playRestartDrain(l *lab) (bool, error) {
	l.configureArchive(1, longDeadline)
	zones := []string{"half-way-tree", "new-kingston", "cross-roads"}
	var backends []*backend
	for i := range 6 {
		b, err := l.newBackend(fmt.Sprintf("i-%03d", i), "archive-desk", zones[i%3], archiveSlots, func(*http.Request) time.Duration { return briefWork })
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
		time.Sleep(heartbeatInterval / 6)
	}
	if err := l.startMachines(zones...); err != nil {
		return false, err
	}
	// Wait until some machines watch the store closely.
	time.Sleep(12 * time.Second)
	var stopped atomic.Bool
	var clients sync.WaitGroup
	for i := range drainClients * len(l.machines) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			l.machines[i%len(l.machines)].ask(&stopped)
		}()
	}
	time.Sleep(time.Second)
	if l.trouble {
		if err := l.killAll(); err != nil {
			return false, err
		}
	}
	started := time.Now()
	if l.trouble {
		started = l.lastStart()
	}
	time.Sleep(time.Until(started.Add(removalDelay)))
	leaving := map[string]bool{}
	var writes []write
	for _, b := range backends[:3] {
		close(b.stopped)
		leaving[b.id] = true
		writes = append(writes, write{kind: "servers", name: b.id})
	}
	acknowledged := l.store.put(writes...)
	l.record.noteAt(acknowledged, "the entries of %d backends are removed", len(writes))
	time.Sleep(afterRemoval)
	stopped.Store(true)
	clients.Wait()
	return l.checkDrain(leaving, acknowledged, started.Add(stability)), nil
}
