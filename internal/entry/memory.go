package entry

import (
	"net/http"
	"time"

	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/query"
)

const (
	// decodeFactor is what a body takes while and after it is decoded, by its length.
	decodeFactor = 2
	// partFactor is what a part of an answer takes until that is written, by its length:
	// itself, and the answer while it is encoded.
	partFactor = 4
	// recordBytes is what a record takes besides its bytes.
	recordBytes = 24
	// smallPartBytes are those of a part that are not counted.
	smallPartBytes = 4 * memory.Kilobyte
)

// MinimumMemory returns how much memory a node needs to hold one of the largest requests.
func MinimumMemory() memory.Bytes {
	return memory.MinimumLimit(memory.Requests, memory.RequestBytes+(1+decodeFactor)*query.MaximumBodyBytes)
}

// openRequestLease opens the lease of a caller's request. Its rank is not known yet.
func (e *Entry) openRequestLease(caller string) *memory.Lease {
	return e.config.Memory.Open(memory.Holder{
		Kind:   memory.Requests,
		Groups: []memory.Group{memory.RequestsOf(caller)},
	})
}

// readRequestBody reads the body of a request, and takes the memory for decoding it. A request
// without memory is not read.
func readRequestBody(lease *memory.Lease, w http.ResponseWriter, r *http.Request) (memory.Buffer, error) {
	if err := lease.Reserve(memory.RequestBytes, time.Now().Add(memory.AdmissionTimeout)); err != nil {
		return memory.Buffer{}, err
	}
	body, err := lease.ReadBody(util.CallerBody(w, r, query.MaximumBodyBytes))
	if err != nil {
		return memory.Buffer{}, err
	}
	return body, lease.Reserve(decodeFactor*memory.Bytes(body.Len()), time.Now().Add(memory.AdmissionTimeout))
}

// openLease opens the lease of the parts of a snapshot. Those of an earlier one are dropped.
func (s *scatter) openLease() {
	s.lease.Close()
	s.lease = s.entry.config.Memory.Open(memory.Holder{
		Kind:      memory.Replies,
		Urgent:    s.kind.Rank == 0,
		Essential: !s.kind.Repeatable,
		Finished:  true,
	})
}

// reservePart takes the memory for a part of the answer.
func (s *scatter) reservePart(reply *wire.SubReply) error {
	size := memory.Bytes(0)
	for _, record := range reply.GetRecords() {
		size += memory.Bytes(len(record)) + recordBytes
	}
	return s.lease.Reserve(partFactor*(size-smallPartBytes), s.deadline)
}

// shrink gives back what the parts of an answer took beyond its encoded form.
func (s submission) shrink(encoded int) {
	s.scope.ShrinkReplies(memory.Bytes(encoded))
}

// settleLease passes the lease on to those who write the answer.
func (s *scatter) settleLease() {
	s.scope.Add(s.lease)
}

// deadline returns until when the caller waits; the zero time if it doesn't say so.
func (s submission) deadline() time.Time {
	if s.DeadlineMillis <= 0 {
		return time.Time{}
	}
	return s.received.Add(time.Duration(s.DeadlineMillis) * time.Millisecond)
}

// Deliver implements util.Held.
func (s submission) Deliver(end func()) {
	s.scope.Deliver(memory.AnswersTo(s.host), end)
}

// Progressed implements util.Held.
func (s submission) Progressed() {
	s.scope.Progressed()
}

// Delivered implements util.Held.
func (s submission) Delivered() {
	s.scope.Delivered()
}
