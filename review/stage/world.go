package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is one process of the system.
type node struct {
	name, zone, ip string
	settings       string
	logPath        string
	command        *exec.Cmd
	exited         chan struct{}
}

// ports are the same on all machines.
type ports struct{ front, ready, control, directory, store, peer int }

// world holds the stand-ins and the processes of one case.
type world struct {
	dir     string
	trouble bool
	store   *store
	nodes   []*node
	ports   ports
	bounds  string
	// proxied is true if the machines reach each other through links.
	proxied bool
	links   *links
	record  *os.File
	start   time.Time

	mu       sync.Mutex
	arrivals []arrival
	written  int
}

// newWorld creates the world of a case that writes its record into a folder.
func newWorld(record string, staleLag time.Duration) (*world, error) {
	dir, err := os.MkdirTemp("", "stage-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: newStore(staleLag), record: file, start: time.Now()}, nil
}

// note writes a line into the record.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, values...)...)
}

// at returns a time as the record shows it.
func (w *world) at(t time.Time) float64 {
	return t.Sub(w.start).Seconds()
}

func (w *world) arrived(a arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
}

// arrivalsSince returns the arrivals so far.
func (w *world) allArrivals() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// ip returns the address of a machine.
func machineIP(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 30+os.Getpid()%90, 1+(os.Getpid()/90)%200, 10+i)
}

// choosePorts finds ports that are free on all machines.
func (w *world) choosePorts(machines int) error {
	for base := 18200; base < 19500; base += 20 {
		p := ports{front: base, ready: base + 1, control: base + 2, directory: base + 3, store: base + 4, peer: base + 5}
		free := true
		for i := range machines {
			for port := base; port < base+6 && free; port++ {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", machineIP(i), port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			w.ports = p
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// addNodes prepares the machines, spread over the zones.
func (w *world) addNodes(count int, zones []string) error {
	if err := w.choosePorts(count); err != nil {
		return err
	}
	for i := range count {
		ip := machineIP(i)
		n := &node{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)], ip: ip}
		n.settings = filepath.Join(w.dir, n.name+".toml")
		n.logPath = filepath.Join(w.dir, n.name+".log")
		w.nodes = append(w.nodes, n)
		if err := w.store.listen(n.name, fmt.Sprintf("%s:%d", ip, w.ports.store)); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := w.writeSettings(n); err != nil {
			return err
		}
	}
	if !w.proxied {
		return nil
	}
	links, err := w.serveLinks()
	w.links = links
	return err
}

// writeSettings fills in the template of the deploy file.
func (w *world) writeSettings(n *node) error {
	template, err := os.ReadFile("deploy/node.toml")
	if err != nil {
		return err
	}
	var seeds []string
	for _, seed := range w.nodes[:min(3, len(w.nodes))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", seed.ip, w.ports.control)))
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
	text := strings.NewReplacer(
		"{{node_name}}", n.name, "{{zone}}", n.zone, "{{region}}", "region",
		"{{listen_addresses.front}}", address(w.ports.front), "{{listen_addresses.control}}", address(w.ports.control),
		`{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, strings.Join(seeds, ","),
		"{{limits.cpu_share}}", "0.4", "{{platform.address}}", address(w.ports.store),
		"{{listen_addresses.ready}}", address(w.ports.ready), "{{listen_addresses.directory}}", address(w.ports.directory),
		"{{ip}}", n.ip, "{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_slack}}", "58",
		"{{bounds.budget_window_s}}", "10", "{{limits.memory_mb}}", "284",
	).Replace(string(template))
	if w.proxied {
		text = fmt.Sprintf("peerListen = %q\n", address(w.ports.peer)) + text
	}
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// startNode starts the process of a machine with the command of the deploy file.
func (w *world) startNode(n *node) error {
	logFile, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/bronzereach", "node")
	bounds := w.bounds
	if bounds == "" {
		bounds = "{}"
	}
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"BRONZEREACH_SETTINGS=" + n.settings, "BRONZEREACH_GRACE_PERIOD=6s", "BRONZEREACH_BOUNDS=" + bounds,
	}
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	n.command, n.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		_ = logFile.Close()
		close(exited)
	}(n.exited)
	return nil
}

// running reports whether the process of a machine has not ended.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (n *node) signal(s syscall.Signal) {
	_ = n.command.Process.Signal(s)
}

// startAll starts all machines and waits until all are ready.
func (w *world) startAll() error {
	for _, n := range w.nodes {
		if err := w.startNode(n); err != nil {
			return err
		}
	}
	return w.awaitReady(15 * time.Second)
}

func (w *world) awaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, n := range w.nodes {
		for !w.ready(n) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (w *world) ready(n *node) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", n.ip, w.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end kills all processes and removes the temporary folder.
func (w *world) end() {
	for _, n := range w.nodes {
		if n.command != nil {
			_ = n.command.Process.Kill()
			<-n.exited
		}
	}
	close(w.store.released)
	if os.Getenv("STAGE_KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
	_ = w.record.Close()
}

// request is one request of a client.
type request struct {
	id, method, host, path, key string
	node                        *node
	deadline                    time.Duration
	body                        []byte
}

// result is what became of it.
type result struct {
	request    request
	sent, done time.Time
	status     int
	header     http.Header
	body       []byte
	err        error
}

// do sends a request on a new connection.
func (w *world) do(q request) (res result) {
	res = result{request: q, sent: time.Now()}
	defer func() { res.done = time.Now() }()
	dialer := net.Dialer{Timeout: time.Second}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	conn, err := dialer.DialContext(ctx, "tcp", fmt.Sprintf("%s:%d", q.node.ip, w.ports.front))
	if err != nil {
		res.err = err
		return res
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	res.sent = time.Now()
	w.exchange(conn, bufio.NewReader(conn), q, &res)
	return res
}

// exchange sends a request on a connection and reads its answer.
func (w *world) exchange(conn net.Conn, reader *bufio.Reader, q request, res *result) {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		head += "Key: " + q.key + "\r\n"
	}
	if len(q.body) > 0 || q.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err := conn.Write(append([]byte(head+"\r\n"), q.body...)); err != nil {
		res.err = err
		return
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		res.err = err
		return
	}
	defer response.Body.Close()
	res.status, res.header = response.StatusCode, response.Header
	res.body, res.err = io.ReadAll(response.Body)
}
