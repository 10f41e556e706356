package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/timer"
)

// connServer is an HTTP server whose connections are kept in callerConns. A request on
// /wait is answered when the test releases it.
type connServer struct {
	conns   *callerConns
	address string
	waiting chan struct{}
	release chan struct{}
}

func newConnServer(t *testing.T, maximum int, header, idle time.Duration) *connServer {
	timers := timer.NewService()
	s := &connServer{waiting: make(chan struct{}, 8), release: make(chan struct{})}
	s.conns = newCallerConns(callerConnsConfig{
		Timeouts: func() (time.Duration, time.Duration) { return header, idle },
		Maximum:  maximum, Timers: timers, Log: logr.Discard(),
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	server := &http.Server{ConnState: s.conns.stateChanged, IdleTimeout: serverIdleTimeout, ReadTimeout: bodyTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			s.waiting <- struct{}{}
			<-s.release
		}
		_, _ = io.WriteString(w, "done")
	})}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = server.Close() })
	go func() { _ = timers.Run(ctx) }()
	go func() { _ = s.conns.run(ctx) }()
	go func() { _ = server.Serve(callerListener{Listener: listener, conns: s.conns}) }()
	return s
}

// dial opens a connection.
func (s *connServer) dial(t *testing.T) net.Conn {
	conn, err := net.Dial("tcp4", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// get sends a request and returns whether it was answered.
func get(conn net.Conn, path string) error {
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: test\r\n\r\n", path); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(response.Body)
	return err
}

// closedWithin reports whether the other side closes the connection within the time.
func closedWithin(conn net.Conn, d time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(d))
	_, err := conn.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return err != nil && (!ok || !timeout.Timeout())
}

func TestIdleTimeoutOfTheConfigurationApplies(t *testing.T) {
	s := newConnServer(t, 100, time.Second, 500*time.Millisecond)
	used, unused := s.dial(t), s.dial(t)
	if err := get(used, "/"); err != nil {
		t.Fatal(err)
	}
	if closedWithin(used, 300*time.Millisecond) {
		t.Error("closed before the idle timeout")
	}
	for _, conn := range []net.Conn{used, unused} {
		if !closedWithin(conn, 2*time.Second) {
			t.Error("still open after the idle timeout")
		}
	}
}

func TestHeaderTimeoutOfTheConfigurationApplies(t *testing.T) {
	s := newConnServer(t, 100, 500*time.Millisecond, time.Minute)
	slow, idle := s.dial(t), s.dial(t)
	if _, err := io.WriteString(slow, "GET / HTTP/1.1\r\nHost:"); err != nil {
		t.Fatal(err)
	}
	if closedWithin(slow, 300*time.Millisecond) {
		t.Error("closed before the header timeout")
	}
	if !closedWithin(slow, 2*time.Second) {
		t.Error("a head that doesn't end is still waited for")
	}
	if err := get(idle, "/"); err != nil {
		t.Errorf("a connection on which no request had begun was closed: %v", err)
	}
}

// awaitIdle waits until the server sees the connection of the caller as the last one that
// became idle.
func (s *connServer) awaitIdle(t *testing.T, caller net.Conn) {
	t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) {
		s.conns.mu.Lock()
		last := s.conns.idle.Back()
		found := last != nil && last.Value.(*callerConn).RemoteAddr().String() == caller.LocalAddr().String()
		s.conns.mu.Unlock()
		if found {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the connection is not idle")
}

func TestIdleConnectionsMakeRoomForNewOnes(t *testing.T) {
	s := newConnServer(t, 3, time.Second, time.Minute)
	busy, longestIdle, idle := s.dial(t), s.dial(t), s.dial(t)
	answered := make(chan error, 1)
	go func() { answered <- get(busy, "/wait") }()
	<-s.waiting
	for _, conn := range []net.Conn{longestIdle, idle} {
		if err := get(conn, "/"); err != nil {
			t.Fatal(err)
		}
		s.awaitIdle(t, conn)
	}
	if err := get(s.dial(t), "/"); err != nil {
		t.Errorf("no room for a new connection: %v", err)
	}
	if !closedWithin(longestIdle, time.Second) {
		t.Error("the connection that was idle for longest was kept")
	}
	if err := get(idle, "/"); err != nil {
		t.Errorf("another connection was closed: %v", err)
	}
	close(s.release)
	if err := <-answered; err != nil {
		t.Errorf("the connection in use was closed: %v", err)
	}
}

// TestStalledHeadsMakeRoomForNewConnections guards against callers that begin a request on
// each connection that a node allows and go on no further: others find room all the while.
func TestStalledHeadsMakeRoomForNewConnections(t *testing.T) {
	s := newConnServer(t, 3, time.Minute, time.Minute)
	for range 3 {
		if _, err := io.WriteString(s.dial(t), "GET / HTTP/1.1\r\nHost:"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(stalledHeadTime + 100*time.Millisecond)
	for range 3 {
		if err := get(s.dial(t), "/"); err != nil {
			t.Errorf("no room for a new connection: %v", err)
		}
	}
}

func TestNewConnectionIsRefusedWhileAllAreInUse(t *testing.T) {
	s := newConnServer(t, 2, time.Second, time.Minute)
	answered := make(chan error, 2)
	for range 2 {
		conn := s.dial(t)
		go func() { answered <- get(conn, "/wait") }()
		<-s.waiting
	}
	if err := get(s.dial(t), "/"); err == nil {
		t.Error("more connections are open than allowed")
	}
	close(s.release)
	for range 2 {
		if err := <-answered; err != nil {
			t.Errorf("a connection in use was closed: %v", err)
		}
	}
	deadline := time.Now().Add(2 * time.Second)
	for get(s.dial(t), "/") != nil {
		if time.Now().After(deadline) {
			t.Fatal("there is still no room after the others are idle")
		}
	}
}

func TestRequestOnAGivenUpConnectionIsNotPassedOn(t *testing.T) {
	server, caller := net.Pipe()
	defer caller.Close()
	cs := newCallerConns(callerConnsConfig{Maximum: 1, Log: logr.Discard()})
	c := cs.add(server, time.Now())
	cs.mu.Lock()
	cs.enter(c, connGivenUp, time.Now())
	cs.mu.Unlock()
	go func() { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n") }()
	if n, err := c.Read(make([]byte, 64)); n != 0 || err == nil {
		t.Errorf("read %d bytes, error %v", n, err)
	}
}
