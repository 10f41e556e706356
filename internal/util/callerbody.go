package util

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/bronzereach/bronzereach/pkg/memory"
)

// CallerHost returns the address of a caller without its port.
func CallerHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// CallerBody returns the body of a request, of which one byte more than the limit can be
// read; 0 for no limit.
func CallerBody(w http.ResponseWriter, r *http.Request, limit int64) memory.Body {
	body := memory.Body{Reader: r.Body, Announced: r.ContentLength, End: func() {
		// Where deadlines are not supported, the body's own timeout ends it.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	}}
	if limit > 0 {
		body.Reader = io.LimitReader(r.Body, limit+1)
	}
	return body
}
