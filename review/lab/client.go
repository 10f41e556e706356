package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

// connectTimeout is how long clients wait for a new connection.
const connectTimeout = time.Second

// resolution is an answer of the directory.
type resolution struct {
	Addresses []string `json:"addrs"`
	TTL       float64  `json:"ttl_s"`
	at        time.Time
}

// resolve asks the directory of a machine as a client in its zone.
func (l *lab) resolve(m *machine, host string) (resolution, error) {
	var answer resolution
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	query := url.Values{"name": {host}, "region": {"kingston"}, "zone": {m.zone}}
	response, err := client.Get("http://" + m.directory() + "/resolution?" + query.Encode())
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("status %d", response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, err
	}
	if len(answer.Addresses) == 0 {
		return answer, errors.New("no addresses")
	}
	answer.at = time.Now()
	l.record.note("resolved by=%s ttl=%.1f addresses=%v", m.name, answer.TTL, answer.Addresses)
	return answer, nil
}

// request is one client attempt.
type request struct {
	id, method, host, path string
	deadline               time.Duration
	body                   string
}

// outcome is how a client attempt ended.
type outcome struct {
	request
	machine    string
	sent, done time.Time
	// status is 0 if the connection ended without a complete answer.
	status int
	err    error
	// kept is true if the connection had carried a request before.
	kept bool
}

// connection is a client's connection to a machine.
type connection struct {
	lab     *lab
	machine string
	net     net.Conn
	reader  *bufio.Reader
	used    bool
	// reusable is true while the connection may carry another request.
	reusable bool
}

func (l *lab) connect(front string) (*connection, error) {
	socket, err := net.DialTimeout("tcp4", front, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{lab: l, machine: l.nameOf(front), net: socket, reader: bufio.NewReader(socket), reusable: true}, nil
}

func (c *connection) close() { _ = c.net.Close() }

// do sends a request and waits for its answer until a second after its deadline.
func (c *connection) do(q request) outcome {
	result := outcome{request: q, machine: c.machine, sent: time.Now(), kept: c.used}
	c.used = true
	c.lab.sentAt.Store(q.id, result.sent)
	_ = c.net.SetDeadline(result.sent.Add(q.deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	c.lab.record.noteAt(result.sent, "sent id=%s machine=%s path=%s kept=%v", q.id, c.machine, q.path, result.kept)
	if _, result.err = io.WriteString(c.net, head+"\r\n"+q.body); result.err == nil {
		result.status, result.err = c.receive(q)
	}
	result.done = time.Now()
	c.reusable = c.reusable && result.err == nil
	c.lab.record.noteAt(result.done, "answered id=%s machine=%s status=%d error=%v after=%.3fs", q.id, c.machine, result.status, result.err, result.done.Sub(result.sent).Seconds())
	return result
}

// receive reads a complete answer.
func (c *connection) receive(q request) (int, error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	if response.Close {
		c.reusable = false
	}
	return response.StatusCode, nil
}

// requestCount numbers the requests of a run.
var requestCount atomic.Int64

func newID(kind string) string {
	return fmt.Sprintf("%s-%06d", kind, requestCount.Add(1))
}

// sent returns when a request was sent.
func (l *lab) sent(id string) (time.Time, bool) {
	at, known := l.sentAt.Load(id)
	if !known {
		return time.Time{}, false
	}
	return at.(time.Time), true
}
