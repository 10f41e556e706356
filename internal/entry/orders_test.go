package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/document"
)

// ordersDocument has one kind of work, which must not be repeated; the verb stands for its
// deadline.
const ordersDocument = `name = "test"
[[rank]]
name = "urgent"
[[pool]]
name = "orders"
slots = 1
connections = 8
upstreams = ["127.0.0.1:1"]
[[kind]]
name = "order"
rank = "urgent"
pool = "orders"
deadline = %q
repeat = false
`

func parseOrders(t *testing.T, deadline time.Duration) *document.Document {
	t.Helper()
	parsed, err := document.Parse(fmt.Appendf(nil, ordersDocument, deadline))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}
