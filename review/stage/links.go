package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// links carries the traffic between the machines through proxies, so that machines can be cut
// off from the others. A cut holds bytes up and lets new connections hang.
type links struct {
	world *world
	mu    sync.Mutex
	// cut holds the addresses of the machines that are cut off; they still reach each other.
	cut map[string]bool
	// healed is closed when a cut ends.
	healed chan struct{}
}

// serveLinks opens the proxy of each machine at the address that it tells the others.
func (w *world) serveLinks() (*links, error) {
	l := &links{world: w, cut: map[string]bool{}, healed: make(chan struct{})}
	for _, n := range w.nodes {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.ip, w.ports.control))
		if err != nil {
			return nil, err
		}
		go l.serve(n, listener)
	}
	return l, nil
}

// cutOff cuts machines off from all others.
func (l *links) cutOff(nodes []*node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range nodes {
		l.cut[n.ip] = true
	}
}

// heal ends the cut.
func (l *links) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = map[string]bool{}
	close(l.healed)
	l.healed = make(chan struct{})
}

// await returns once bytes may pass between two machines.
func (l *links) await(from, to string) {
	for {
		l.mu.Lock()
		blocked, healed := l.cut[from] != l.cut[to], l.healed
		l.mu.Unlock()
		if !blocked {
			return
		}
		<-healed
	}
}

func (l *links) serve(to *node, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.carry(conn, to)
	}
}

// carry passes the bytes of one connection on in both directions.
func (l *links) carry(conn net.Conn, to *node) {
	defer conn.Close()
	from := conn.RemoteAddr().(*net.TCPAddr).IP.String()
	l.await(from, to.ip)
	target, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", to.ip, l.world.ports.peer), time.Second)
	if err != nil {
		// Nobody listens: the caller learns it by a reset.
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	defer target.Close()
	done := make(chan struct{}, 2)
	pump := func(into, out net.Conn, a, b string) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := out.Read(buffer)
			l.await(a, b)
			if n > 0 {
				if _, err := into.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil && err != io.EOF || err == io.EOF {
				return
			}
		}
	}
	go pump(target, conn, from, to.ip)
	go pump(conn, target, to.ip, from)
	<-done
}
