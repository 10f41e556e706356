// Package platform is the client of the hosting platform's HTTP API, which stores
// objects and lists VMs. A node calls the platform only through it. Every call is
// counted, rate-limited and bounded by a timeout.
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
	"github.com/bronzereach/bronzereach/pkg/httpstatus"
)

// Paths, headers and limits of the platform's HTTP API.
const (
	// ObjectPath is the path prefix of objects. The key of an object follows it.
	ObjectPath = "/v1/objects/"
	// VMsPath is the path of the list of VMs.
	VMsPath = "/v1/vms"
	// VersionHeader carries the version of an object in a response.
	VersionHeader = "Object-Version"
	// IfVersionHeader carries the version that a write requires the object to have;
	// 0 requires that there is no such object.
	IfVersionHeader = "If-Object-Version"
	// MaxValueBytes is the largest size of an object's value, in bytes.
	MaxValueBytes = 1 << 20
	// maxHeadBytes is the largest head of a response, in bytes.
	maxHeadBytes = 64 << 10
)

// Limits of a node's calls.
const (
	callTimeout = 2 * time.Second
	// longPollWait is how long the platform may hold back the response to a watch.
	longPollWait   = 4 * time.Second
	callsPerSecond = 20
	callBurst      = 40
)

// ErrUnavailable means that the platform gave no usable response. A write may
// nevertheless have taken effect.
var ErrUnavailable = errors.New("platform unavailable")

// ErrConflict means that the object has another version than a write required.
var ErrConflict = errors.New("version conflict")

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availabilityZone"`
	// Address is the peer address of a VM that runs a node, or the address of an
	// upstream.
	Address string `json:"address"`
	// Leaving is true once the platform announces that the VM is leaving. The node
	// or upstream on it may still be running.
	Leaving bool `json:"leaving"`
}

// Object is a stored value and its version.
type Object struct {
	// Version is 0 if the object does not exist.
	Version uint64
	Value   []byte
}

// Config configures a Client.
type Config struct {
	// URL is the base URL of the platform, such as http://127.0.0.1:7000.
	URL string
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	url        string
	httpClient *http.Client
	limiter    *rate.Limiter
	calls      atomic.Int64
	failed     atomic.Int64
}

// NewClient returns a client of the platform.
func NewClient(config Config) *Client {
	return &Client{
		url:        config.URL,
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: maxHeadBytes}},
		limiter:    rate.NewLimiter(callsPerSecond, callBurst),
	}
}

// CallCounts returns the number of calls made and how many of them failed. A call
// that the rate limiter stops counts as neither.
func (c *Client) CallCounts() (made, failed int64) {
	return c.calls.Load(), c.failed.Load()
}

// Close closes idle connections.
func (c *Client) Close() {
	c.httpClient.CloseIdleConnections()
}

// Get reads an object. If there is none, it returns version 0 and no error.
// ErrUnavailable is its only error.
func (c *Client) Get(ctx context.Context, key string) (object Object, err error) {
	defer func() { util.Annotate(&err, "get object %s", key) }()
	return c.readObject(ctx, ObjectPath+key, callTimeout)
}

// Watch waits until the object has a version greater than after, the version that
// the node knows, and returns it. If that does not happen within longPollWait, it
// returns the object as it is then. ErrUnavailable is its only error.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (object Object, err error) {
	defer func() { util.Annotate(&err, "watch object %s", key) }()
	query := "?after=" + strconv.FormatUint(after, 10) + "&wait=" + longPollWait.String()
	return c.readObject(ctx, ObjectPath+key+query, longPollWait+callTimeout)
}

// readObject sends a GET request and returns the object in its response.
func (c *Client) readObject(ctx context.Context, path string, timeout time.Duration) (object Object, err error) {
	response, err := c.call(ctx, http.MethodGet, path, nil, nil, timeout)
	switch {
	case err != nil:
		return Object{}, err
	case response.status == http.StatusNotFound:
		return Object{}, nil
	case response.status != http.StatusOK || response.version == 0:
		return Object{}, response.unexpected()
	}
	return Object{Version: response.version, Value: response.body}, nil
}

// Put writes an object if its version is ifVersion, or creates it if ifVersion is
// 0, and returns the new version. It fails with ErrConflict, together with the
// version found, or with ErrUnavailable if the outcome is not known.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (version uint64, err error) {
	defer func() { util.Annotate(&err, "put object %s", key) }()
	header := http.Header{IfVersionHeader: {strconv.FormatUint(ifVersion, 10)}}
	response, err := c.call(ctx, http.MethodPut, ObjectPath+key, header, value, callTimeout)
	switch {
	case err != nil:
		return 0, err
	case response.status == http.StatusPreconditionFailed:
		return response.version, ErrConflict
	case response.status != http.StatusOK || response.version == 0:
		return 0, response.unexpected()
	}
	return response.version, nil
}

// ListVMs returns the platform's list of VMs, which may be out of date. The error
// is ErrUnavailable or that of decoding the list.
func (c *Client) ListVMs(ctx context.Context) (vms []VM, err error) {
	defer util.Annotate(&err, "list VMs")
	response, err := c.call(ctx, http.MethodGet, VMsPath, nil, nil, callTimeout)
	switch {
	case err != nil:
		return nil, err
	case response.status != http.StatusOK:
		return nil, response.unexpected()
	}
	err = json.Unmarshal(response.body, &vms)
	return vms, errors.WithStack(err)
}

// apiResponse is a complete response of the platform.
type apiResponse struct {
	status  int
	version uint64
	body    []byte
}

// unexpected returns the error of a call that the response has no meaning for: its
// outcome is not known.
func (r apiResponse) unexpected() error {
	return errors.WithMessagef(ErrUnavailable, "unexpected response with status %d and version %d", r.status, r.version)
}

// call sends a request within the rate limit and the timeout. Every error is
// ErrUnavailable.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, timeout time.Duration) (r apiResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return apiResponse{}, ErrUnavailable
	}
	c.calls.Add(1)
	r, err = c.roundTrip(ctx, method, path, header, body)
	if err != nil {
		c.failed.Add(1)
		return apiResponse{}, errors.WithMessage(ErrUnavailable, err.Error())
	}
	return r, nil
}

// roundTrip sends one request and reads its response. The error is not nil for any
// status but 200, 404 and 412.
func (c *Client) roundTrip(ctx context.Context, method, path string, header http.Header, body []byte) (r apiResponse, err error) {
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return apiResponse{}, errors.WithStack(err)
	}
	// With GetBody set, the HTTP client may send the request a second time; a write
	// must be sent only once.
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return apiResponse{}, errors.WithStack(err)
	}
	defer response.Body.Close()
	if err := httpstatus.CheckFinal(response); err != nil {
		return apiResponse{}, err
	}
	value, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	if err != nil {
		return apiResponse{}, errors.WithStack(err)
	}
	if len(value) > MaxValueBytes {
		return apiResponse{}, errors.Errorf("response of more than %d bytes", MaxValueBytes)
	}
	version, _ := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	switch response.StatusCode {
	case http.StatusOK, http.StatusNotFound, http.StatusPreconditionFailed:
		return apiResponse{status: response.StatusCode, version: version, body: value}, nil
	default:
		return apiResponse{}, errors.Errorf("unexpected status %d", response.StatusCode)
	}
}
