// Command lab plays one case of the review: it starts the system's own processes and
// stand-ins for the platform's store, the backends and the clients, all on loopback
// addresses, and checks one rule from what clients, backends and the platform see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"regexp"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// lab is one small deployment with its stand-ins.
type lab struct {
	record   *record
	folder   string
	command  string
	store    *store
	runs     *runLog
	ports    ports
	machines []*machine
	// seeds are the addresses that machines first contact each other at.
	seeds []string
	// ending is true once processes that end are not started again.
	ending atomic.Bool
	// sentAt holds when each request was sent, by its id.
	sentAt sync.Map
	// trouble is false if the disruption of the case is to be left out.
	trouble bool
	// network is the third byte of the addresses of this run.
	network int
}

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(*lab) (bool, error){
	"lateStop":     playLateStop,
	"descriptors":  playDescriptors,
	"massDrain":    playMassDrain,
	"restartAll":   playRestartAll,
	"restartDrain": playRestartDrain,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file to write the record to")
	flag.Parse()
	code, err := play(*name, *path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

// play runs a case and returns its exit code.
func play(name, path string) (code int, err error) {
	body, known := cases[name]
	if !known {
		return exitNotRun, fmt.Errorf("no case %q", name)
	}
	l, err := newLab(path)
	if err != nil {
		return exitNotRun, err
	}
	defer l.end()
	go l.loop()
	broken, err := body(l)
	switch {
	case err != nil:
		l.record.say("could not run: %v", err)
		return exitNotRun, err
	case broken:
		l.record.say("the rule was broken")
		return exitBroken, nil
	default:
		l.record.say("the rule held")
		return exitHeld, nil
	}
}

// longestCase bounds a case with its clean-up.
const longestCase = 112 * time.Second

// loop ends everything if the case takes too long or is interrupted.
func (l *lab) loop() {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-interrupts:
	case <-time.After(longestCase):
	}
	l.record.say("interrupted")
	l.end()
	os.Exit(exitNotRun)
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"$`)

func newLab(path string) (*lab, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	line := runLine.FindSubmatch(deploy)
	if line == nil {
		return nil, errors.New("deploy/system.toml has no run line")
	}
	l := &lab{command: string(line[1]), runs: &runLog{byID: map[string][]*run{}}, trouble: os.Getenv("TROUBLE") != "0"}
	if err := l.chooseNetwork(); err != nil {
		return nil, err
	}
	if l.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if l.record, err = newRecord(path); err != nil {
		return nil, err
	}
	l.record.note("trouble=%v", l.trouble)
	l.store, err = newStore(l.ip(250))
	return l, err
}

// machineHosts is the number of addresses that are kept for machines.
const machineHosts = 4

// chooseNetwork chooses addresses on which the port for metrics, which the template
// fixes, is free.
func (l *lab) chooseNetwork() error {
	for i := range 250 {
		l.network = 1 + (os.Getpid()+i)%250
		var ips []string
		for host := range machineHosts {
			ips = append(ips, l.ip(firstHost+host))
		}
		if freeOnAll(ips, metricsPort) {
			return nil
		}
	}
	return errors.New("no free addresses")
}

// firstHost is the last byte of the address of the first machine.
const firstHost = 10

// ip returns a loopback address of this run.
func (l *lab) ip(host int) string {
	return fmt.Sprintf("127.77.%d.%d", l.network, host)
}

// startMachines starts one machine in each of the zones and waits until they are
// ready.
func (l *lab) startMachines(zones ...string) (err error) {
	var ips, seeds []string
	for i := range zones {
		ips = append(ips, l.ip(firstHost+i))
	}
	if l.ports, err = freePorts(ips); err != nil {
		return err
	}
	for _, ip := range ips {
		seeds = append(seeds, address(ip, l.ports.control))
	}
	l.seeds = seeds[:min(3, len(seeds))]
	for i, zone := range zones {
		m, err := l.newMachine(fmt.Sprintf("front-%s-%d", zone, i+1), zone, ips[i], l.seeds)
		if err != nil {
			return err
		}
		l.machines = append(l.machines, m)
	}
	for _, m := range l.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return awaitReady(l.machines...)
}

// addMachine adds a machine to the running system.
func (l *lab) addMachine(zone string) error {
	number := len(l.machines) + 1
	m, err := l.newMachine(fmt.Sprintf("front-%s-%d", zone, number), zone, l.ip(firstHost-1+number), l.seeds)
	if err != nil {
		return err
	}
	l.machines = append(l.machines, m)
	return m.start()
}

// nameOf returns the name of the machine with the address for clients.
func (l *lab) nameOf(front string) string {
	for _, m := range l.machines {
		if m.front() == front {
			return m.name
		}
	}
	return front
}

// end ends all processes and removes the temporary folder.
func (l *lab) end() {
	l.ending.Store(true)
	// A machine may be about to start a process that ended by itself again.
	time.Sleep(2 * restartDelay)
	for _, m := range l.machines {
		m.kill()
	}
	if keep := os.Getenv("LAB_LOGS"); keep != "" {
		for _, m := range l.machines {
			if text, err := os.ReadFile(m.log); err == nil {
				_ = os.WriteFile(keep+"/"+m.name+".log", text, 0o600)
			}
		}
	}
	l.record.close()
	_ = os.RemoveAll(l.folder)
}
