package standin

import (
	"net"
	"testing"
)

// TestAllocatorsShareNoAddress: allocators of two processes return different addresses,
// also while nobody listens on them.
func TestAllocatorsShareNoAddress(t *testing.T) {
	const addresses = 3 * blockPorts
	seen := map[string]bool{}
	for range 2 {
		ports := &portAllocator{}
		t.Cleanup(ports.release)
		for range addresses {
			address, err := ports.freeAddress("127.0.0.1")
			if err != nil {
				t.Fatal(err)
			}
			if seen[address] {
				t.Fatalf("%s was returned twice", address)
			}
			seen[address] = true
		}
	}
}

// TestPortInUseIsPassedOver: an address on which somebody listens is not returned.
func TestPortInUseIsPassedOver(t *testing.T) {
	ports := &portAllocator{}
	t.Cleanup(ports.release)
	first, err := ports.freeAddress("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	ports.next--
	listener, err := net.Listen("tcp", first)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	second, err := ports.freeAddress("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	if second == first {
		t.Errorf("%s is in use", second)
	}
}
