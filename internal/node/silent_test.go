package node

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/member"
)

// silentAddress returns an address that accepts connections and never answers.
func silentAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// TestSilentMemberIsSuspectedInTime: the two tries of an exchange took the time of two
// handshakes, 2 s in place of 800 ms, so that orders waited too long for another gate.
func TestSilentMemberIsSuspectedInTime(t *testing.T) {
	c := newRejoinCluster(t)
	n, _ := c.start("vm-1", "127.0.0.1:0")
	await(t, "the node is ready", func() bool { return readyMembers(n) == 1 })
	silent := member.Member{VM: "vm-2", Incarnation: 1, Revision: 1, State: member.Ready, AvailabilityZone: "zone", PeerAddress: silentAddress(t)}
	told := time.Now()
	n.control.post(claimTold{claim: silent})
	await(t, "the silent member is suspected", func() bool { return memberOf(n, "vm-2").State == member.Suspect })
	// Two handshakes take 2 s, two tries 800 ms and the start of the exchange 250 ms.
	if took, limit := time.Since(told), 2*time.Second; took > limit {
		t.Errorf("the silent member was suspected after %v, limit %v", took, limit)
	}
}
