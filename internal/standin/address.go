package standin

import (
	"fmt"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// FreeAddress chooses ports below the ephemeral range of the operating system, so
// that no outgoing connection takes a port before the caller listens on it.
const (
	firstPort = 20000
	lastPort  = 32000
	// blockPorts is the number of ports that a process reserves at a time.
	blockPorts = 50
)

// portAllocator hands out ports in blocks that belong to one process. A process owns a
// block for as long as it listens on the block's first port, its guard.
type portAllocator struct {
	mu     sync.Mutex
	guards []net.Listener
	// next is the port to try, end the first one behind the present block.
	next, end int
}

// processPorts are the ports of this process.
var processPorts portAllocator

// FreeAddress returns an address, host:port, of the IP that no process listens
// on. Other processes that call it at the same time get other ports.
func FreeAddress(ip string) (string, error) {
	return processPorts.freeAddress(ip)
}

func (a *portAllocator) freeAddress(ip string) (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.next == a.end {
			if err := a.reserveBlock(); err != nil {
				return "", err
			}
		}
		address := fmt.Sprintf("%s:%d", ip, a.next)
		a.next++
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, errors.WithStack(listener.Close())
		}
	}
}

// reserveBlock takes the first block that no process owns.
func (a *portAllocator) reserveBlock() error {
	for guard := firstPort; guard+blockPorts <= lastPort; guard += blockPorts {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", guard))
		if err != nil {
			continue
		}
		a.guards = append(a.guards, listener)
		a.next, a.end = guard+1, guard+blockPorts
		return nil
	}
	return errors.Errorf("no free block of ports from %d to %d", firstPort, lastPort)
}

// release gives up all blocks.
func (a *portAllocator) release() {
	for _, g := range a.guards {
		_ = g.Close()
	}
}
