// Package caller is the library for programs that send requests: it asks the
// system for addresses, keeps them for as long as they may be kept, and goes to
// another address on failure.
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
	"github.com/bronzereach/bronzereach/pkg/query"
)

// Limits of a client.
const (
	// maximumAnswer is the largest answer read, in bytes.
	maximumAnswer = 1 << 30
	// grace is how much longer than its deadline a request is waited for.
	grace = time.Second
	// addressTimeout bounds a call for addresses.
	addressTimeout = time.Second
	// maximumTries bounds how many nodes one request is sent to.
	maximumTries = 4
	retryPause   = 25 * time.Millisecond
)

// ErrNoNode means that no node could be reached with the request: it did not
// run, unless an earlier one under the same key did.
var ErrNoNode = errors.New("no node could be reached")

// Config describes a client.
type Config struct {
	// Seeds are addresses of nodes, host:port, to ask for the others.
	Seeds []string
	// AvailabilityZone is where the program runs, if it knows.
	AvailabilityZone string
	// Scheme is "http" or "https"; empty for "http".
	Scheme string
	// HTTP is the client to use; nil for one of its own.
	HTTP *http.Client
}

// addresses is the part of a node's list that the client uses.
type addresses struct {
	Addresses  []string `json:"addresses"`
	KeepMillis int64    `json:"keepMillis"`
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client

	mu sync.Mutex
	// list is never empty once a node has answered; keepUntil is when it must
	// be asked for again.
	list      []string
	keepUntil time.Time
	next      int
}

// New returns a client that has not asked for addresses yet.
func New(config Config) *Client {
	c := &Client{config: config, http: config.HTTP}
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	}
	if c.config.Scheme == "" {
		c.config.Scheme = "http"
	}
	return c
}

// Addresses returns the nodes to use, the best first.
func (c *Client) Addresses(ctx context.Context) []string {
	c.mu.Lock()
	list, fresh := c.list, time.Now().Before(c.keepUntil)
	c.mu.Unlock()
	if fresh {
		return list
	}
	return c.refresh(ctx, list)
}

// refresh asks the known nodes, then the seeds, for a new list.
func (c *Client) refresh(ctx context.Context, known []string) []string {
	for _, address := range append(append([]string(nil), known...), c.config.Seeds...) {
		var fresh addresses
		path := "/v1/addresses?availabilityZone=" + c.config.AvailabilityZone
		if err := c.get(ctx, address, path, &fresh); err != nil || len(fresh.Addresses) == 0 {
			continue
		}
		c.mu.Lock()
		c.list = fresh.Addresses
		c.keepUntil = time.Now().Add(time.Duration(fresh.KeepMillis) * time.Millisecond)
		c.mu.Unlock()
		return fresh.Addresses
	}
	if len(known) > 0 {
		return known
	}
	return c.config.Seeds
}

// forget asks for addresses anew before the next request.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepUntil = time.Time{}
}

func (c *Client) get(ctx context.Context, address, path string, into any) (err error) {
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
		return errors.Errorf("status %d", response.StatusCode)
	}
	return errors.WithStack(json.NewDecoder(io.LimitReader(response.Body, maximumAnswer)).Decode(into))
}

// Tickets fetches request keys for work that is not to be repeated.
func (c *Client) Tickets(ctx context.Context, count int) (tickets []string, err error) {
	var batch struct {
		Tickets []string `json:"tickets"`
	}
	for _, address := range c.Addresses(ctx) {
		err = c.get(ctx, address, "/v1/tickets?count="+strconv.Itoa(count), &batch)
		if err == nil {
			return batch.Tickets, nil
		}
		c.forget()
	}
	return nil, errors.WithMessage(ErrNoNode, "tickets")
}

// Query sends a request and returns its answer. If a node fails, the request
// goes to another one: that is safe, since a request that is not to be
// repeated carries a key, under which it runs at most once, and any other may
// be repeated. A nil answer comes with an error.
func (c *Client) Query(ctx context.Context, request query.Request) (a *answer.Answer, err error) {
	if request.DeadlineMillis > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(request.DeadlineMillis)*time.Millisecond+grace)
		defer cancel()
	}
	list := c.Addresses(ctx)
	if len(list) == 0 {
		return nil, ErrNoNode
	}
	start := c.turn()
	for try := range maximumTries {
		a, err = c.send(ctx, list[(start+try)%len(list)], request)
		// Whatever became of it, the next one is no longer the first.
		request.FirstUse = false
		if err == nil || ctx.Err() != nil {
			return a, err
		}
		c.forget()
		time.Sleep(retryPause)
		list = c.Addresses(ctx)
	}
	return nil, errors.WithMessage(ErrNoNode, err.Error())
}

// turn spreads requests over the addresses.
func (c *Client) turn() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.next
}

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
	text, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswer))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	a = &answer.Answer{}
	if err := json.Unmarshal(text, a); err != nil || a.Status == "" {
		return nil, errors.Errorf("status %d without an answer", response.StatusCode)
	}
	return a, nil
}
