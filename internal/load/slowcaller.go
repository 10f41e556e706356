package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/bronzereach/bronzereach/internal/entry"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// Stall is what a slow caller doesn't do to its end.
type Stall string

// The ways in which callers stall.
const (
	// StallHead sends the beginning of a head.
	StallHead Stall = "head"
	// StallBody sends all but the end of the longest body.
	StallBody Stall = "body"
	// StallAnswer sends a whole request and reads hardly any of its answer.
	StallAnswer Stall = "answer"
)

const (
	// slowCallerPause is the time between two requests of a slow caller.
	slowCallerPause = 500 * time.Millisecond
	// slowCallerDialTimeout bounds the time to connect to a node.
	slowCallerDialTimeout = time.Second
	// slowCallerBuffer is the size of the receive buffer of a slow caller.
	slowCallerBuffer = 4 << 10
)

// SlowCallers are callers that stall on a connection each. What they are answered is not part
// of the report.
type SlowCallers struct {
	// Stalls says where they stall. Kind is the kind of work that they ask for.
	Stalls Stall
	Kind   string
	Count  int
	// From and To bound the times of the run at which they are there.
	From time.Duration
	To   time.Duration
}

func readSlowCallers(root *document.Table, plan *Plan) {
	for _, table := range root.Tables("slowCallers") {
		c := SlowCallers{
			Stalls: Stall(table.Text("stalls")),
			Kind:   table.Text("kind"),
			Count:  table.Count("count"),
			From:   runTimeOr(table, "from", 0),
			To:     runTimeOr(table, "to", plan.Duration),
		}
		if c.Stalls != StallHead && c.Stalls != StallBody && c.Stalls != StallAnswer {
			table.Problemf("stalls", "callers can't stall in %q", c.Stalls)
		}
		plan.SlowCallers = append(plan.SlowCallers, c)
		table.ReportUnknownKeys()
	}
}

// request returns what such a caller sends.
func (c SlowCallers) request() string {
	start := fmt.Sprintf(`{"kind": %q, "query": "`, c.Kind)
	head := func(length int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n", entry.QueryPath, length)
	}
	switch c.Stalls {
	case StallHead:
		return "POST " + entry.QueryPath + " HTTP/1.1\r\nHost:"
	case StallBody:
		return head(query.MaximumBodyBytes) + start + strings.Repeat("a", query.MaximumBodyBytes-len(start)-1)
	default:
		body := start + `record"}`
		return head(len(body)) + body
	}
}

// slowCaller is one of the callers that stall.
type slowCaller struct {
	runner *runner
	// request is what it sends on each connection.
	request string
	// addresses are those of the nodes.
	addresses []string
	random    *rand.Rand
}

// startSlowCallers starts the callers that stall; they end by themselves.
func (r *runner) startSlowCallers(ctx context.Context) {
	for group, callers := range r.config.Plan.SlowCallers {
		request := callers.request()
		for i := range callers.Count {
			c := &slowCaller{
				runner: r, request: request, addresses: r.system.Addresses(),
				random: rand.New(rand.NewPCG(r.config.Seed, uint64(group)<<32|uint64(i))),
			}
			r.group.Add(1)
			go c.loop(ctx, r.start.Add(callers.From), r.start.Add(callers.To))
		}
	}
}

// loop stalls on one connection after the other between the times.
func (c *slowCaller) loop(ctx context.Context, from, to time.Time) {
	defer c.runner.group.Done()
	time.Sleep(time.Until(from))
	for time.Now().Before(to) && ctx.Err() == nil {
		c.stall(to)
		time.Sleep(min(slowCallerPause, time.Until(to)))
	}
}

// stall sends the request over a connection of its own and waits until the node closes it.
func (c *slowCaller) stall(until time.Time) {
	address := c.addresses[c.random.IntN(len(c.addresses))]
	conn, err := net.DialTimeout("tcp", address, slowCallerDialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	// Errors of these calls show up in the write.
	_ = conn.(*net.TCPConn).SetReadBuffer(slowCallerBuffer)
	_ = conn.SetDeadline(until)
	if _, err := io.WriteString(conn, c.request); err != nil {
		return
	}
	awaitClose(conn, until)
}

// closeCheckInterval is the time between two checks whether the other side has closed.
const closeCheckInterval = 100 * time.Millisecond

// awaitClose waits until the other side has closed the connection, without reading more than a
// byte at a time of what it has sent.
func awaitClose(conn net.Conn, until time.Time) {
	for time.Now().Before(until) {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return
		}
		time.Sleep(closeCheckInterval)
	}
}
