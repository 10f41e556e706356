package node

import (
	"testing"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/pkg/document"
)

// TestOldConfigIsNotAdopted checks that a node applies neither a lower version
// nor an invalid record.
func TestOldConfigIsNotAdopted(t *testing.T) {
	options := DefaultOptions()
	options.VM, options.AvailabilityZone = "vm-1", "zone"
	options.CallerAddress, options.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
	n, err := New(options, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	defer n.callers.Close()
	defer n.peers.Close()
	encode := func(text string) []byte {
		value, err := promotion.Record{Digest: document.Digest([]byte(text)), Text: text}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	newer := tlsDocument + "# newer\n"
	n.control.adopt(5, encode(newer))
	n.control.adopt(4, encode(tlsDocument))
	n.control.adopt(6, []byte("not a record"))
	n.control.adopt(7, encode("name = 1"))
	if got := n.control.version.Load(); got != 5 || string(n.control.document.Text) != newer {
		t.Errorf("version %d is applied, want 5", got)
	}
}
