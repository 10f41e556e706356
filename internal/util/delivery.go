package util

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/pkg/memory"
)

// ChunkWriteTimeout is how long a caller may take to read a chunk of a long answer.
const ChunkWriteTimeout = 10 * time.Second

// Held is the memory that is held for a request until its answer is written.
type Held interface {
	// Deliver tells that the answer is being written: its caller answers for the memory
	// from now on. end makes writing fail if others need the memory.
	Deliver(end func())
	// Progressed tells that the caller has read a part of the answer.
	Progressed()
	// Delivered tells that the answer has been written, or given up.
	Delivered()
}

// Delivery writes the answer to one request. A caller that doesn't read a long one keeps
// memory from others, so it is given up if they need it, and in time.
type Delivery struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	held       Held
	// last is until when the answer must be written.
	last time.Time

	mu sync.Mutex
	// timed is true once the connection has a deadline, ended once the answer is written.
	timed, ended bool
}

// NewDelivery begins the delivery of an answer that is ready. Callers wait no longer than
// until their deadline, but the answer is sent also when late. The delivery must be ended.
func NewDelivery(w http.ResponseWriter, held Held, deadline time.Time) *Delivery {
	d := &Delivery{writer: w, controller: http.NewResponseController(w), held: held, last: time.Now().Add(ChunkWriteTimeout)}
	if deadline.After(d.last) {
		d.last = deadline
	}
	held.Deliver(d.giveUp)
	return d
}

// giveUp lets writes fail from now on.
func (d *Delivery) giveUp() {
	d.limit(time.Now())
}

// limit sets until when the connection may be written to.
func (d *Delivery) limit(deadline time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return
	}
	d.timed = true
	// Where deadlines are not supported, the end of the connection ends the write.
	_ = d.controller.SetWriteDeadline(deadline)
}

// End ends the delivery. The server would keep the deadline for the next answer on the
// connection.
func (d *Delivery) End() {
	d.held.Delivered()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	if d.timed {
		_ = d.controller.SetWriteDeadline(time.Time{})
	}
}

// WriteHead sends the status and the head.
func (d *Delivery) WriteHead(status int) error {
	d.writer.WriteHeader(status)
	return errors.WithStack(d.controller.Flush())
}

// Write sends the status and the body with its length. The body is flushed, so that an error
// of the connection shows. An error may also mean that the answer was given up.
func (d *Delivery) Write(status int, body memory.Buffer) error {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		d.writer.Header()["Content-Length"] = []string{strconv.Itoa(body.Len())}
	}
	d.writer.WriteHeader(status)
	isLong := len(body.Chunks()) > 1
	for _, chunk := range body.Chunks() {
		if isLong {
			d.limitChunk(time.Now())
		}
		if _, err := d.writer.Write(chunk); err != nil {
			return errors.WithStack(err)
		}
		if isLong {
			d.held.Progressed()
		}
	}
	return errors.WithStack(d.controller.Flush())
}

// limitChunk sets until when the next chunk must be written.
func (d *Delivery) limitChunk(now time.Time) {
	next := now.Add(ChunkWriteTimeout)
	if d.last.Before(next) {
		next = d.last
	}
	d.limit(next)
}
