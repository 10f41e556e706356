package entry

import (
	"net/http"
	"time"

	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// decodeFactor is what a body takes while and after it is decoded, by its length.
const decodeFactor = 2

// openRequestLease opens the lease of a caller's request. Its rank is not known yet.
func (e *Entry) openRequestLease(caller string) *memory.Lease {
	return e.config.Memory.Open(memory.Holder{
		Kind:   memory.Requests,
		Groups: []memory.Group{{Name: caller, Share: memory.CallerShare}},
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
