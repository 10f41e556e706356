// Package claim decides which process may run a request that must not be
// repeated, so that the request runs at most once whatever fails.
//
// There are two kinds of request keys. A ticket is issued by a node and names
// that node's process. Only the issuing process may run the ticket's request,
// and it tracks the run in memory without calling the platform. A key chosen by the
// caller is claimed by creating an object in the platform before any byte is sent to
// an upstream.
package claim

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// TicketLifetime is how long a ticket is valid after it was issued.
const TicketLifetime = 10 * time.Minute

// ticketPrefix starts every ticket. Keys chosen by callers must not start with
// it.
const ticketPrefix = "ticket."

// macBytes is the length of a ticket's truncated HMAC.
const macBytes = 12

// Ticket holds the fields encoded in a ticket.
type Ticket struct {
	VM string
	// Process identifies the issuing process among all that run on the VM. It is not in
	// order: nothing follows from one being higher than another.
	Process uint64
	// Issued is the time from the start of the issuing process to the issue.
	Issued time.Duration
	// Number is unique among the tickets of one process.
	Number uint64
}

// IsTicket reports whether a key has a ticket's prefix. The ticket may be
// malformed or forged.
func IsTicket(key string) bool {
	return strings.HasPrefix(key, ticketPrefix)
}

// ParseTicket decodes a ticket without verifying its issuer.
func ParseTicket(key string) (ticket Ticket, err error) {
	body, _, found := splitLastDot(strings.TrimPrefix(key, ticketPrefix))
	if !found || !IsTicket(key) {
		return ticket, errors.New("malformed ticket: missing prefix or authentication code")
	}
	body, number, _ := splitLastDot(body)
	body, issued, _ := splitLastDot(body)
	vm, process, found := splitLastDot(body)
	if !found {
		return ticket, errors.New("malformed ticket: too few fields")
	}
	millis, err := strconv.ParseInt(issued, 36, 64)
	if err != nil {
		return ticket, errors.New("malformed ticket: the issue time is not a base-36 number")
	}
	ticket.VM = vm
	ticket.Issued = time.Duration(millis) * time.Millisecond
	ticket.Process, err = strconv.ParseUint(process, 36, 64)
	if err != nil {
		return ticket, errors.New("malformed ticket: the process is not a base-36 number")
	}
	ticket.Number, err = strconv.ParseUint(number, 36, 64)
	return ticket, errors.WithStack(err)
}

// splitLastDot splits text around its last dot.
func splitLastDot(text string) (before, after string, found bool) {
	position := strings.LastIndexByte(text, '.')
	if position < 0 {
		return text, "", false
	}
	return text[:position], text[position+1:], true
}

// Issuer issues the tickets of one process and verifies them.
type Issuer struct {
	vm      string
	process uint64
	// started is read with the steady clock only, as the age of a ticket must not
	// follow the time of day.
	started time.Time
	secret  [sha256.Size]byte
	number  atomic.Uint64
}

// NewIssuer returns an issuer with a new random secret.
func NewIssuer(vm string, process uint64) *Issuer {
	i := &Issuer{vm: vm, process: process, started: time.Now()}
	// Reading random bytes doesn't fail on supported systems.
	_, _ = rand.Read(i.secret[:])
	return i
}

// Issue returns count new tickets.
func (i *Issuer) Issue(now time.Time, count int) []string {
	tickets := make([]string, count)
	for n := range tickets {
		body := ticketPrefix + i.vm + "." + strconv.FormatUint(i.process, 36) +
			"." + strconv.FormatInt(now.Sub(i.started).Milliseconds(), 36) +
			"." + strconv.FormatUint(i.number.Add(1), 36)
		tickets[n] = body + "." + i.code(body)
	}
	return tickets
}

// Age returns how long ago this issuer issued the ticket.
func (i *Issuer) Age(now time.Time, ticket Ticket) time.Duration {
	return now.Sub(i.started) - ticket.Issued
}

// Verify reports whether this issuer issued the ticket.
func (i *Issuer) Verify(key string) bool {
	body, code, found := splitLastDot(key)
	return found && hmac.Equal([]byte(code), []byte(i.code(body)))
}

// code returns the authentication code of a ticket's body.
func (i *Issuer) code(body string) string {
	mac := hmac.New(sha256.New, i.secret[:])
	// Write on a hash never returns an error.
	_, _ = mac.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
}
