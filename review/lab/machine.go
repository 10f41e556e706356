package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment, as in the settings of the pages.
const (
	gracePeriod  = 6 * time.Second
	drainTimeout = 3 * time.Second
	stability    = 4 * time.Second
	restartDelay = 300 * time.Millisecond
	readyTimeout = 20 * time.Second
	memoryMB     = 284
	descriptors  = 4100
	metricsPort  = 7741
)

// ports are the ports of a machine, the same on all machines.
type ports struct{ front, ready, control, directory int }

// machine is one machine of the system with its process.
type machine struct {
	lab            *lab
	name, zone, ip string
	settings, log  string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// started is when the process was started.
	started time.Time
	// expected is true if the platform ends the process.
	expected bool
	// ownEnds are the times at which a process ended by itself.
	ownEnds []time.Time
}

func (m *machine) front() string     { return address(m.ip, m.lab.ports.front) }
func (m *machine) ready() string     { return address(m.ip, m.lab.ports.ready) }
func (m *machine) control() string   { return address(m.ip, m.lab.ports.control) }
func (m *machine) directory() string { return address(m.ip, m.lab.ports.directory) }

func address(ip string, port int) string {
	return net.JoinHostPort(ip, fmt.Sprint(port))
}

// freePorts returns ports that are free on all the addresses now.
func freePorts(ips []string) (ports, error) {
	var free []int
	for range 200 {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ips[0], "0"))
		if err != nil {
			return ports{}, err
		}
		port := listener.Addr().(*net.TCPAddr).Port
		_ = listener.Close()
		if !freeOnAll(ips, port) {
			continue
		}
		if free = append(free, port); len(free) == 4 {
			return ports{free[0], free[1], free[2], free[3]}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

func freeOnAll(ips []string, port int) bool {
	for _, ip := range ips {
		listener, err := net.Listen("tcp4", address(ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// newMachine writes the settings of a machine from the template of the deploy file.
func (l *lab) newMachine(name, zone, ip string, seeds []string) (*machine, error) {
	m := &machine{lab: l, name: name, zone: zone, ip: ip}
	m.settings, m.log = filepath.Join(l.folder, name+".toml"), filepath.Join(l.folder, name+".log")
	template, err := os.ReadFile("deploy/node.toml")
	if err != nil {
		return nil, err
	}
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = fmt.Sprintf("%q", seed)
	}
	text, err := render(string(template), strings.Join(quoted, ","), map[string]string{
		"node_name": name, "zone": zone, "region": "kingston", "ip": ip, "limits.cpu_share": "0.4",
		"listen_addresses.front": m.front(), "listen_addresses.ready": m.ready(),
		"listen_addresses.control": m.control(), "listen_addresses.directory": m.directory(),
		"platform.address": l.store.address, "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "58",
		"bounds.budget_window_s": "10", "limits.memory_mb": fmt.Sprint(memoryMB),
	})
	if err != nil {
		return nil, err
	}
	return m, os.WriteFile(m.settings, []byte(text), 0o600)
}

var (
	seedSection = regexp.MustCompile(`(?s)\{\{#seeds\}\}.*?\{\{/seeds\}\}`)
	// boundSection is left out: the review's site has none of the bounds in such sections.
	boundSection = regexp.MustCompile(`\{\{#bounds\.[a-z_]+\}\}[^\n]*\{\{/bounds\.[a-z_]+\}\}`)
	placeholder  = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)
)

// render fills in the placeholders that the template uses.
func render(template, seeds string, values map[string]string) (string, error) {
	missing := ""
	template = boundSection.ReplaceAllString(seedSection.ReplaceAllString(template, seeds), "")
	text := placeholder.ReplaceAllStringFunc(template, func(match string) string {
		value, known := values[strings.Trim(match, "{}")]
		if !known {
			missing = match
		}
		return value
	})
	if missing != "" {
		return "", fmt.Errorf("the template uses %s", missing)
	}
	return text, nil
}

// start starts the process with the command of the deploy file, under the limit of
// descriptors of its machine.
func (m *machine) start() error {
	output, err := os.OpenFile(m.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", descriptors, m.lab.command))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRONZEREACH_SETTINGS=" + m.settings}
	command.Stdout, command.Stderr = output, output
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := command.Start(); err != nil {
		return err
	}
	m.command, m.exited, m.expected, m.started = command, make(chan struct{}), false, time.Now()
	m.lab.record.note("start machine=%s pid=%d", m.name, command.Process.Pid)
	go m.loop(command, m.exited)
	return nil
}

// loop waits for the end of a process and starts one that ended by itself again.
func (m *machine) loop(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	m.mu.Lock()
	expected := m.expected
	if !expected {
		m.ownEnds = append(m.ownEnds, time.Now())
	}
	m.mu.Unlock()
	close(exited)
	m.lab.record.note("end machine=%s byPlatform=%v result=%v", m.name, expected, err)
	if expected || m.lab.ending.Load() {
		return
	}
	time.Sleep(restartDelay)
	if m.lab.ending.Load() {
		return
	}
	if err := m.start(); err != nil {
		m.lab.record.note("not started machine=%s: %v", m.name, err)
	}
}

// endsByItself returns how often processes of the machine ended by themselves.
func (m *machine) endsByItself() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.ownEnds)
}

// terminate sends SIGTERM, and SIGKILL once the grace period is over. It returns the
// time of the SIGTERM and a channel that is closed when the process has ended.
func (m *machine) terminate() (at time.Time, done chan struct{}) {
	m.mu.Lock()
	command, exited := m.command, m.exited
	m.expected = true
	m.mu.Unlock()
	at = time.Now()
	m.lab.record.noteAt(at, "SIGTERM machine=%s", m.name)
	_ = command.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(gracePeriod):
			m.lab.record.note("SIGKILL machine=%s: the grace period is over", m.name)
			_ = command.Process.Kill()
		}
	}()
	return at, exited
}

// kill ends the process at once.
func (m *machine) kill() {
	m.mu.Lock()
	command, exited := m.command, m.exited
	m.expected = true
	m.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
}

// isReady asks the machine as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.ready() + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the machines are ready.
func awaitReady(machines ...*machine) error {
	deadline := time.Now().Add(readyTimeout)
	for _, m := range machines {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// lastStart returns when the last of the processes was started.
func (l *lab) lastStart() time.Time {
	var last time.Time
	for _, m := range l.machines {
		m.mu.Lock()
		if m.started.After(last) {
			last = m.started
		}
		m.mu.Unlock()
	}
	return last
}
