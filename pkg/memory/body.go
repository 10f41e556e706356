package memory

import (
	"io"
	"time"
)

// Body is the body of a request that a caller sends.
type Body struct {
	Reader io.Reader
	// Announced is the length that the caller states; negative if it states none.
	Announced int64
	// End makes reads from Reader return at once. It may be called from any goroutine.
	End func()
}

const (
	// RequestBytes is what a caller's request takes while it is in progress, besides its
	// body and its replies.
	RequestBytes = 16 * Kilobyte
	// AdmissionTimeout is how long a request, and its body, waits for memory.
	AdmissionTimeout = 250 * time.Millisecond
	// RetryAfter is the retry delay told to callers that are refused because the memory is
	// in use. Within it those who make no progress give way.
	RetryAfter = 1500 * time.Millisecond
)

// ReadBody reads a body into memory that is taken from the lease. A body that doesn't come
// gives way to others.
func (l *Lease) ReadBody(body Body) (Buffer, error) {
	l.OnRevoke(body.End)
	read, err := ReadAll(Source{Reader: body.Reader, Announced: body.Announced, Lease: l, Deadline: time.Now().Add(AdmissionTimeout)})
	if !l.OnRevoke(nil) {
		return Buffer{}, ErrRevoked
	}
	return read, err
}
