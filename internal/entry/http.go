package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/member"
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// Paths of the HTTP API for callers.
const (
	QueryPath     = "/v1/query"
	AddressesPath = "/v1/addresses"
	TicketsPath   = "/v1/tickets"
)

// Limits of the HTTP API.
const (
	// AddressListTTL is how long a caller may use a list of addresses.
	AddressListTTL = 10 * time.Second
	// maximumAddresses limits the length of a list of addresses.
	maximumAddresses = 9
	// maximumTickets limits the number of tickets of one call.
	maximumTickets = 100
)

// Addresses is the response body of AddressesPath: the nodes that a caller may
// send requests to.
type Addresses struct {
	// Addresses lists host:port in order of preference.
	Addresses []string `json:"addresses"`
	// KeepMillis is how long the list may be used, in milliseconds.
	KeepMillis int64 `json:"keepMillis"`
}

// Tickets is the response body of TicketsPath.
type Tickets struct {
	// Tickets are request keys that this node issued.
	Tickets []string `json:"tickets"`
	// KeepMillis is how long the tickets may be used, in milliseconds.
	KeepMillis int64 `json:"keepMillis"`
}

// Register adds the handlers of the HTTP API for callers.
func (e *Entry) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+QueryPath, e.serveQuery)
	mux.HandleFunc("GET "+AddressesPath, e.serveAddresses)
	mux.HandleFunc("GET "+TicketsPath, e.serveTickets)
}

func (e *Entry) serveQuery(w http.ResponseWriter, r *http.Request) {
	scope := memory.NewScope()
	defer scope.Release()
	caller := util.CallerHost(r)
	lease := e.openRequestLease(caller)
	request, refused := readRequest(lease, w, r)
	scope.Add(lease)
	s := newSubmission(request, scope)
	s.host = caller
	if refused != nil {
		// The rest of the body is not read.
		w.Header().Set("Connection", "close")
		s.id = ""
		e.writeAnswer(w, s, e.refuse(e.config.View(), s, *refused))
		return
	}
	e.writeAnswer(w, s, e.answer(r.Context(), s))
}

// readRequest reads a request into memory that is taken from the lease. It returns a refusal
// if that is not possible.
func readRequest(lease *memory.Lease, w http.ResponseWriter, r *http.Request) (request query.Request, refused *refusal) {
	body, err := readRequestBody(lease, w, r)
	switch {
	case memory.IsDenied(err):
		return request, &refusal{answer.CodeNoMemory, "the memory for requests is in use by others", true, memory.RetryAfter}
	case err == nil && body.Len() > query.MaximumBodyBytes:
		return request, &refusal{code: answer.CodeTooLarge, message: fmt.Sprintf("the request body is larger than %d bytes", query.MaximumBodyBytes)}
	}
	if err == nil {
		decoder := json.NewDecoder(body.Reader())
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&request)
	}
	switch {
	case err != nil:
		return request, &refusal{code: answer.CodeInvalid, message: fmt.Sprintf("the request body is not valid: %v", err)}
	case request.DeadlineMillis < 0:
		return request, &refusal{code: answer.CodeInvalid, message: "deadlineMillis is negative"}
	default:
		return request, nil
	}
}

// writeAnswer writes the HTTP response. It encodes the whole body first to send a
// Content-Length, so that the caller can detect a truncated answer.
func (e *Entry) writeAnswer(w http.ResponseWriter, s submission, a *answer.Answer) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(a); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.shrink(body.Len())
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if a.Error != nil && a.Error.RetryAfterMillis > 0 {
		seconds := (a.Error.RetryAfterMillis + 999) / 1000
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	delivery := util.NewDelivery(w, s, s.deadline())
	defer delivery.End()
	if err := delivery.Write(httpStatus(a), memory.Split(body.Bytes())); err != nil {
		e.record(timeline.AnswerNotWritten, s.id, err.Error())
	}
}

func (e *Entry) serveAddresses(w http.ResponseWriter, r *http.Request) {
	view := e.config.View()
	list := Addresses{
		Addresses:  rankAddresses(view, r.URL.Query().Get("availabilityZone"), r.RemoteAddr),
		KeepMillis: AddressListTTL.Milliseconds(),
	}
	writeJSON(w, list)
}

// rankAddresses returns the addresses of ready nodes: first those in the
// availability zone of the caller, then those in the region of this node, then the
// others. Within each group the order differs by caller, which spreads the load.
func rankAddresses(view *View, zone, caller string) []string {
	type ranked struct {
		address string
		order   uint64
	}
	if zone == "" {
		zone = view.Self.AvailabilityZone
	}
	var nodes []ranked
	for _, m := range view.Members {
		if m.State != member.Ready {
			continue
		}
		order := nodeOrder(caller, m.VM) >> 2
		if m.AvailabilityZone != zone {
			order |= 1 << 62
		}
		if m.Region != view.Self.Region {
			order |= 1 << 63
		}
		nodes = append(nodes, ranked{address: m.CallerAddress, order: order})
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].order < nodes[j].order })
	addresses := make([]string, 0, maximumAddresses)
	for _, node := range nodes[:min(len(nodes), maximumAddresses)] {
		addresses = append(addresses, node.address)
	}
	return addresses
}

func (e *Entry) serveTickets(w http.ResponseWriter, r *http.Request) {
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		parsed, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || parsed < 1 || parsed > maximumTickets {
			http.Error(w, fmt.Sprintf("count must be from 1 to %d", maximumTickets), http.StatusBadRequest)
			return
		}
		count = parsed
	}
	writeJSON(w, Tickets{
		Tickets:    e.issuer.Issue(time.Now(), count),
		KeepMillis: (9 * time.Minute).Milliseconds(),
	})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
