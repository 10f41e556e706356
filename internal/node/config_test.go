package node

import (
	"testing"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/pkg/document"
)

// TestOldConfigIsNotAdopted: a node never goes back to a lower version, nor to
// a record that is not valid.
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
	newer := keyedDocument + "# newer\n"
	n.control.adopt(5, encode(newer))
	n.control.adopt(4, encode(keyedDocument))
	n.control.adopt(6, []byte("not a record"))
	n.control.adopt(7, encode("name = 1"))
	if got := n.control.version.Load(); got != 5 || string(n.control.document.Text) != newer {
		t.Errorf("version %d in force, want 5", got)
	}
}
