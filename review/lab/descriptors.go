package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case descriptors.
const (
	// siteRequests is the number of requests a second that the site file states.
	siteRequests = 225
	// nearlyFull is the number of connections of clients to a machine from which on long
	// requests are sent, one each longInterval. addDelay later the descriptors are used
	// up, and a machine is added, if there is to be one.
	nearlyFull   = 3800
	longInterval = 200 * time.Millisecond
	addDelay     = 8 * time.Second
	// pressTime bounds the wait for that number, and afterAdding is how long the clients
	// go on after it.
	pressTime   = 60 * time.Second
	afterAdding = 10 * time.Second
	// briefWork is the work of a short request and longWork that of a long one.
	briefWork     = 9 * time.Millisecond
	longWork      = 5 * time.Second
	briefDeadline = 2 * time.Second
	longDeadline  = 6 * time.Second
	// longClients is the number of clients that send a long request on a kept connection.
	longClients = 60
	// keptCutsAllowed is how many requests of kept connections may be cut.
	keptCutsAllowed = 3
)

// press is the load of the case descriptors.
type press struct {
	lab     *lab
	stopped atomic.Bool
	wait    sync.WaitGroup
	// full is closed when the first long request is to be sent.
	full chan struct{}

	mu       sync.Mutex
	outcomes []outcome
	open     atomic.Int64
	answered atomic.Int64
	failed   atomic.Int64
}

// playDescriptors lets clients open a connection for each request and leave it open
// until the system closes it, adds a machine, and checks LOST and how often processes
// ended by themselves.
func playDescriptors(l *lab) (bool, error) {
	l.configureArchive(1, longDeadline)
	zones := []string{"half-way-tree", "new-kingston", "cross-roads"}
	work := func(r *http.Request) time.Duration {
		if r.URL.Path == "/lookup/long" {
			return longWork
		}
		return briefWork
	}
	for i := range archiveBackends {
		if _, err := l.newBackend(fmt.Sprintf("i-%03d", i), "archive-desk", zones[i%3], archiveSlots, work); err != nil {
			return false, err
		}
	}
	if err := l.startMachines(zones[:2]...); err != nil {
		return false, err
	}
	time.Sleep(stability + time.Second)
	p := &press{lab: l, full: make(chan struct{})}
	p.wait.Add(1)
	go p.loop()
	for i := range longClients {
		p.wait.Add(1)
		go p.runLong(l.machines[i%2], time.Duration(i)*longInterval)
	}
	for end := time.Now().Add(pressTime); p.open.Load() < 2*nearlyFull && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	l.record.say("%d connections of clients are open", p.open.Load())
	close(p.full)
	time.Sleep(addDelay)
	if l.trouble {
		if err := l.addMachine(zones[2]); err != nil {
			return false, err
		}
	}
	time.Sleep(afterAdding)
	p.stopped.Store(true)
	p.wait.Wait()
	return p.check(), nil
}

// loop sends the requests of the site, each on a connection of its own.
func (p *press) loop() {
	defer p.wait.Done()
	ticker := time.NewTicker(time.Second / siteRequests)
	defer ticker.Stop()
	for i := 0; !p.stopped.Load(); i++ {
		<-ticker.C
		go p.runBrief(p.lab.machines[i%2])
	}
}

// runBrief sends one request and leaves its connection open until the system closes it.
func (p *press) runBrief(m *machine) {
	conn, err := p.lab.connect(m.front())
	if err != nil {
		p.failed.Add(1)
		return
	}
	defer conn.close()
	p.open.Add(1)
	defer p.open.Add(-1)
	result := conn.do(request{id: newID("brief"), method: http.MethodGet, host: archiveHost, path: "/lookup/brief", deadline: briefDeadline})
	if result.status != http.StatusOK {
		p.failed.Add(1)
		return
	}
	p.answered.Add(1)
	if !conn.reusable {
		return
	}
	_ = conn.net.SetDeadline(time.Time{})
	_, _ = conn.reader.ReadByte()
}

// runLong sends a short request and later a long one on the same connection.
func (p *press) runLong(m *machine, delay time.Duration) {
	defer p.wait.Done()
	conn, err := p.lab.connect(m.front())
	if err != nil {
		return
	}
	defer conn.close()
	first := conn.do(request{id: newID("first"), method: http.MethodGet, host: archiveHost, path: "/lookup/brief", deadline: longDeadline})
	if first.status != http.StatusOK || !conn.reusable {
		return
	}
	<-p.full
	time.Sleep(delay)
	result := conn.do(request{id: newID("long"), method: http.MethodGet, host: archiveHost, path: "/lookup/long", deadline: longDeadline})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, result)
}

// check counts the requests of kept connections that a backend was running when a
// machine without any disruption closed their connection.
func (p *press) check() bool {
	cut, ends := 0, 0
	for _, m := range p.lab.machines {
		ends += m.endsByItself()
	}
	for _, o := range p.outcomes {
		if !o.kept || o.status != 0 || len(p.lab.runs.of(o.id)) == 0 || o.done.Sub(o.sent) >= o.deadline {
			continue
		}
		cut++
		p.lab.record.note("lost id=%s machine=%s after=%.3fs: %v", o.id, o.machine, o.done.Sub(o.sent).Seconds(), o.err)
	}
	p.lab.record.say("%d short requests were answered and %d were not", p.answered.Load(), p.failed.Load())
	p.lab.record.say("processes ended by themselves %d times; %d requests of kept connections were lost at machines without a disruption", ends, cut)
	return cut > keptCutsAllowed
}
