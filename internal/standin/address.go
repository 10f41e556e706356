package standin

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// FreeAddress chooses ports below the ephemeral range of the operating system, so
// that no outgoing connection takes a port before the caller listens on it.
const (
	firstPort = 20000
	lastPort  = 32000
)

// ports holds the last port that was tried. The start depends on the process ID, so
// that test processes that run at the same time choose different ports.
var ports = struct {
	mu   sync.Mutex
	next int
}{next: firstPort + os.Getpid()%1000*12}

// FreeAddress returns an address, host:port, of the IP that no process listens
// on.
func FreeAddress(ip string) (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for range lastPort - firstPort {
		ports.next++
		if ports.next >= lastPort {
			ports.next = firstPort
		}
		address := fmt.Sprintf("%s:%d", ip, ports.next)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, errors.WithStack(listener.Close())
		}
	}
	return "", errors.Errorf("no free port on %s from %d to %d", ip, firstPort, lastPort)
}
