package platform

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// newTestClient returns a client of a platform that answers every call with a status, a
// version and a body.
func newTestClient(t *testing.T, status int, version, body string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if version != "" {
			w.Header().Set(VersionHeader, version)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return NewClient(Config{URL: server.URL})
}

// TestUnexpectedStatusIsNoSuccess: a status that a call has no meaning for leaves its
// outcome unknown.
func TestUnexpectedStatusIsNoSuccess(t *testing.T) {
	ctx := context.Background()
	c := newTestClient(t, http.StatusNotFound, "", "no such path")
	if _, err := c.Put(ctx, "k", []byte("v"), 0); !errors.Is(err, ErrUnavailable) {
		t.Errorf("put with status 404: %v", err)
	}
	if _, err := c.ListVMs(ctx); !errors.Is(err, ErrUnavailable) {
		t.Errorf("list with status 404: %v", err)
	}
	if object, err := c.Get(ctx, "k"); err != nil || object.Version != 0 || len(object.Value) > 0 {
		t.Errorf("get with status 404: %+v, %v", object, err)
	}
	c = newTestClient(t, http.StatusPreconditionFailed, "7", "")
	if version, err := c.Put(ctx, "k", []byte("v"), 6); !errors.Is(err, ErrConflict) || version != 7 {
		t.Errorf("put with status 412: version %d, %v", version, err)
	}
	if _, err := c.Get(ctx, "k"); !errors.Is(err, ErrUnavailable) {
		t.Errorf("get with status 412: %v", err)
	}
	c = newTestClient(t, http.StatusOK, "", "v")
	if _, err := c.Put(ctx, "k", []byte("v"), 6); !errors.Is(err, ErrUnavailable) {
		t.Errorf("put without a version in the response: %v", err)
	}
}

// TestOversizedValueIsNotCutOff: a value that is longer than any that may be stored is an
// error; its beginning is no value.
func TestOversizedValueIsNotCutOff(t *testing.T) {
	c := newTestClient(t, http.StatusOK, "1", strings.Repeat("v", MaxValueBytes+1))
	if object, err := c.Get(context.Background(), "k"); !errors.Is(err, ErrUnavailable) {
		t.Errorf("got %d bytes, %v", len(object.Value), err)
	}
	c = newTestClient(t, http.StatusOK, "1", strings.Repeat("v", MaxValueBytes))
	if object, err := c.Get(context.Background(), "k"); err != nil || len(object.Value) != MaxValueBytes {
		t.Errorf("the longest value: got %d bytes, %v", len(object.Value), err)
	}
}
