// Package caller is the client library for programs that send requests. It
// gets the addresses of the nodes from the nodes themselves, caches them for
// the time that a node allows, and fails over to another address.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/httpstatus"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// Limits of a client.
const (
	// maximumAnswer is the largest answer read, in bytes.
	maximumAnswer = 1 << 30
	// maximumHead is the largest head of a response, interim responses included, in bytes.
	maximumHead = 64 << 10
	// deadlineGrace is how long after its deadline a request is still waited for.
	deadlineGrace = time.Second
	// addressTimeout is the timeout of a call for addresses or tickets.
	addressTimeout = time.Second
	// maximumAttempts is the maximum number of attempts of a request.
	maximumAttempts = 4
	// retryDelay is the delay before the next attempt.
	retryDelay = 25 * time.Millisecond
)

// ErrNoNode means that no node returned an answer to a request, or tickets. The
// request may have run: a node may have received it and its answer may have been
// lost. A request with a key can be sent again under the same key, with FirstUse
// false.
var ErrNoNode = errors.New("no node could be reached")

// Config holds the settings of a client.
type Config struct {
	// Seeds are the addresses of some nodes, host:port, from which the client
	// gets the addresses of the others.
	Seeds []string
	// AvailabilityZone is the availability zone of the program; empty if unknown.
	AvailabilityZone string
	// Scheme is "http" or "https"; empty for "http".
	Scheme string
	// HTTP is the HTTP client to use; nil for a new one.
	HTTP *http.Client
}

// addressList is the part of a node's address list that the client uses.
type addressList struct {
	Addresses  []string `json:"addresses"`
	KeepMillis int64    `json:"keepMillis"`
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client

	mu sync.Mutex
	// nodes holds the cached addresses; it is never empty once a node has
	// answered. keepUntil is when they expire.
	nodes     []string
	keepUntil time.Time
	// requests counts the requests, to spread them over the addresses.
	requests int
}

// New returns a client. It makes no call yet.
func New(config Config) *Client {
	c := &Client{config: config, http: config.HTTP}
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxResponseHeaderBytes: maximumHead}}
	}
	if c.config.Scheme == "" {
		c.config.Scheme = "http"
	}
	return c
}

// Addresses returns the addresses of the nodes to use, the best first.
func (c *Client) Addresses(ctx context.Context) []string {
	c.mu.Lock()
	nodes, fresh := c.nodes, time.Now().Before(c.keepUntil)
	c.mu.Unlock()
	if fresh {
		return nodes
	}
	return c.refresh(ctx, nodes)
}

// refresh gets a new list of addresses from a known node or else from a seed.
// If none answers, it returns the known addresses or else the seeds.
func (c *Client) refresh(ctx context.Context, known []string) []string {
	for _, address := range append(append([]string(nil), known...), c.config.Seeds...) {
		var fresh addressList
		path := "/v1/addresses?availabilityZone=" + c.config.AvailabilityZone
		if err := c.get(ctx, address, path, &fresh); err != nil || len(fresh.Addresses) == 0 {
			continue
		}
		c.mu.Lock()
		c.nodes = fresh.Addresses
		c.keepUntil = time.Now().Add(time.Duration(fresh.KeepMillis) * time.Millisecond)
		c.mu.Unlock()
		return fresh.Addresses
	}
	if len(known) > 0 {
		return known
	}
	return c.config.Seeds
}

// expireAddresses expires the cached addresses, so that the next request
// refreshes them.
func (c *Client) expireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepUntil = time.Time{}
}

// get decodes the JSON body of a GET request to a node.
func (c *Client) get(ctx context.Context, address, path string, target any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.config.Scheme+"://"+address+path, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("GET %s from %s: status %d", path, address, response.StatusCode)
	}
	return errors.WithStack(json.NewDecoder(io.LimitReader(response.Body, maximumAnswer)).Decode(target))
}

// Tickets returns count tickets, which are request keys issued by a node, for
// work that must not be repeated.
func (c *Client) Tickets(ctx context.Context, count int) (tickets []string, err error) {
	var batch struct {
		Tickets []string `json:"tickets"`
	}
	for _, address := range c.Addresses(ctx) {
		err = c.get(ctx, address, "/v1/tickets?count="+strconv.Itoa(count), &batch)
		if err == nil {
			return batch.Tickets, nil
		}
		c.expireAddresses()
	}
	return nil, errors.WithMessage(ErrNoNode, "tickets")
}

// Query sends a request and returns its answer. If a node fails, the request
// is sent to another one. That is safe: a request that must not be repeated
// carries a key, under which it runs at most once, and any other may be
// repeated. The answer is nil if and only if the error is not.
func (c *Client) Query(ctx context.Context, request query.Request) (a *answer.Answer, err error) {
	if request.DeadlineMillis > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(request.DeadlineMillis)*time.Millisecond+deadlineGrace)
		defer cancel()
	}
	nodes := c.Addresses(ctx)
	if len(nodes) == 0 {
		return nil, ErrNoNode
	}
	start := c.nextStart()
	for attempt := range maximumAttempts {
		a, err = c.send(ctx, nodes[(start+attempt)%len(nodes)], request)
		// The failed attempt may have reached a node, so the next one is no longer
		// the first use of the key.
		request.FirstUse = false
		if err == nil || ctx.Err() != nil {
			return a, err
		}
		c.expireAddresses()
		time.Sleep(retryDelay)
		nodes = c.Addresses(ctx)
	}
	return nil, errors.WithMessage(ErrNoNode, err.Error())
}

// nextStart returns the position at which a request starts to try the
// addresses. It differs from request to request.
func (c *Client) nextStart() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	return c.requests
}

// send sends a request to one node and returns its answer.
func (c *Client) send(ctx context.Context, address string, q query.Request) (a *answer.Answer, err error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.config.Scheme+"://"+address+"/v1/query", bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer response.Body.Close()
	if err := httpstatus.CheckFinal(response); err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswer))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	a = &answer.Answer{}
	if err := json.Unmarshal(text, a); err != nil || a.Status == "" {
		return nil, errors.Errorf("no answer in the reply of %s: status %d", address, response.StatusCode)
	}
	return a, nil
}
