package standin

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// Ports are handed out below those that the system picks for connections, so
// that none is taken between being chosen and being listened on.
const (
	firstPort = 20000
	lastPort  = 32000
)

// ports hands out addresses. Processes at the same time begin at different
// places.
var ports = struct {
	mu   sync.Mutex
	next int
}{next: firstPort + os.Getpid()%1000*12}

// FreeAddress returns an address of the IP that nobody listens on.
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
	return "", errors.New("no free port")
}
