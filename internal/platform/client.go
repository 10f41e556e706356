// Package platform is the one place from which a node calls the platform: its
// object API and its list of VMs. Every call is counted, limited in rate and
// bounded in time.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/bronzereach/bronzereach/internal/util"
)

// The platform's HTTP interface.
const (
	// ObjectPath is followed by the key of an object.
	ObjectPath = "/v1/objects/"
	// VMsPath lists the VMs.
	VMsPath = "/v1/vms"
	// VersionHeader carries the version of an object in an answer.
	VersionHeader = "Object-Version"
	// IfVersionHeader carries the version a write is conditional on; 0 creates.
	IfVersionHeader = "If-Object-Version"
	// MaximumValue is the largest value, in bytes.
	MaxValueBytes = 1 << 20
)

// Limits of a node's calls.
const (
	callTimeout  = 2 * time.Second
	watchWait    = 4 * time.Second
	callsASecond = 20
	callsAtOnce  = 40
)

// ErrUnavailable means that no answer came; a write may have taken effect.
var ErrUnavailable = errors.New("platform unavailable")

// ErrConflict means that a conditional write found another version.
var ErrConflict = errors.New("version conflict")

// VM is one entry of the platform's list of VMs.
type VM struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availabilityZone"`
	// Address is the peer address of a VM of the system, or the address of an
	// upstream.
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Object is one stored value.
type Object struct {
	// Version is 0 if there is no such object.
	Version uint64
	Value   []byte
}

// Config tells where the platform is.
type Config struct {
	// URL is the base address, such as http://127.0.0.1:7000.
	URL string
}

// Client calls the platform.
type Client struct {
	url     string
	http    *http.Client
	limiter *rate.Limiter
	calls   atomic.Int64
	failed  atomic.Int64
}

// NewClient returns a client of the platform.
func NewClient(config Config) *Client {
	return &Client{
		url:     config.URL,
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		limiter: rate.NewLimiter(callsASecond, callsAtOnce),
	}
}

// Calls returns how many calls were made and how many of them failed.
func (c *Client) CallCounts() (made, failed int64) {
	return c.calls.Load(), c.failed.Load()
}

// Close gives up idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, key string) (object Object, err error) {
	defer func() { util.Annotate(&err, "get object %s", key) }()
	return c.read(ctx, ObjectPath+key, callTimeout)
}

// Watch waits until the object has a version above the given one, or for a
// while, and returns it.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (object Object, err error) {
	defer func() { util.Annotate(&err, "watch object %s", key) }()
	query := "?after=" + strconv.FormatUint(after, 10) + "&wait=" + watchWait.String()
	return c.read(ctx, ObjectPath+key+query, watchWait+callTimeout)
}

func (c *Client) read(ctx context.Context, path string, timeout time.Duration) (object Object, err error) {
	response, err := c.call(ctx, http.MethodGet, path, nil, nil, timeout)
	if err != nil {
		return Object{}, err
	}
	return Object{Version: response.version, Value: response.body}, nil
}

// Put writes an object if its version is still the given one; 0 creates it. It
// returns the new version, ErrConflict, or ErrUnavailable if the outcome is
// not known.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (version uint64, err error) {
	defer func() { util.Annotate(&err, "put object %s", key) }()
	header := http.Header{IfVersionHeader: {strconv.FormatUint(ifVersion, 10)}}
	response, err := c.call(ctx, http.MethodPut, ObjectPath+key, header, value, callTimeout)
	if err != nil {
		return 0, err
	}
	if response.status == http.StatusPreconditionFailed {
		return response.version, ErrConflict
	}
	return response.version, nil
}

// VMs lists the VMs; the list lags.
func (c *Client) ListVMs(ctx context.Context) (vms []VM, err error) {
	defer util.Annotate(&err, "list VMs")
	response, err := c.call(ctx, http.MethodGet, VMsPath, nil, nil, callTimeout)
	if err != nil {
		return nil, err
	}
	err = json.Unmarshal(response.body, &vms)
	return vms, errors.WithStack(err)
}

// result is an answer that came whole.
type result struct {
	status  int
	version uint64
	body    []byte
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, timeout time.Duration) (r result, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return result{}, ErrUnavailable
	}
	c.calls.Add(1)
	r, err = c.roundTrip(ctx, method, path, header, body)
	if err != nil {
		c.failed.Add(1)
		return result{}, errors.WithMessage(ErrUnavailable, err.Error())
	}
	return r, nil
}

func (c *Client) roundTrip(ctx context.Context, method, path string, header http.Header, body []byte) (r result, err error) {
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return result{}, errors.WithStack(err)
	}
	// A write must not be sent again by the HTTP client.
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return result{}, errors.WithStack(err)
	}
	defer response.Body.Close()
	value, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	if err != nil {
		return result{}, errors.WithStack(err)
	}
	version, _ := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	switch response.StatusCode {
	case http.StatusOK, http.StatusNotFound, http.StatusPreconditionFailed:
		return result{status: response.StatusCode, version: version, body: value}, nil
	default:
		return result{}, errors.Errorf("status %d", response.StatusCode)
	}
}
