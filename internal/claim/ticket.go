// Package claim decides which process may run a request that is not to be
// repeated, so that it runs at most once whatever fails.
//
// There are two kinds of request keys. A ticket is issued by a node and names
// its incarnation: only that process may run it, from memory, with no call on
// the platform. A key of the caller's own is claimed by creating an object in
// the platform before the first byte is sent.
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

// TicketLife is how long a ticket may be used after it was issued.
const TicketLifetime = 10 * time.Minute

// ticketPrefix starts every ticket; a caller's own key must not.
const ticketPrefix = "ticket."

// macLength is the length of a ticket's authentication code in bytes.
const macLength = 12

// Ticket is what a ticket's text says.
type Ticket struct {
	VM          string
	Incarnation uint64
	Issued      time.Time
	// Number tells the tickets of one incarnation apart.
	Number uint64
}

// IsTicket reports whether a key claims to be a ticket.
func IsTicket(key string) bool {
	return strings.HasPrefix(key, ticketPrefix)
}

// ParseTicket reads a ticket without checking who made it.
func ParseTicket(key string) (ticket Ticket, err error) {
	body, _, found := cutLast(strings.TrimPrefix(key, ticketPrefix))
	if !found || !IsTicket(key) {
		return ticket, errors.New("not a ticket")
	}
	body, number, _ := cutLast(body)
	body, issued, _ := cutLast(body)
	vm, incarnation, found := cutLast(body)
	if !found {
		return ticket, errors.New("not a ticket")
	}
	millis, err := strconv.ParseInt(issued, 36, 64)
	if err != nil {
		return ticket, errors.New("not a ticket")
	}
	ticket.VM = vm
	ticket.Issued = time.UnixMilli(millis)
	ticket.Incarnation, err = strconv.ParseUint(incarnation, 36, 64)
	if err != nil {
		return ticket, errors.New("not a ticket")
	}
	ticket.Number, err = strconv.ParseUint(number, 36, 64)
	return ticket, errors.WithStack(err)
}

func cutLast(text string) (before, after string, found bool) {
	position := strings.LastIndexByte(text, '.')
	if position < 0 {
		return text, "", false
	}
	return text[:position], text[position+1:], true
}

// Issuer makes the tickets of one incarnation and knows its own again.
type Issuer struct {
	vm          string
	incarnation uint64
	secret      [sha256.Size]byte
	number      atomic.Uint64
}

// NewIssuer returns an issuer with a fresh secret.
func NewIssuer(vm string, incarnation uint64) *Issuer {
	i := &Issuer{vm: vm, incarnation: incarnation}
	// Reading random bytes never fails on the supported systems.
	_, _ = rand.Read(i.secret[:])
	return i
}

// Issue returns new tickets.
func (i *Issuer) Issue(now time.Time, count int) []string {
	tickets := make([]string, count)
	for n := range tickets {
		body := ticketPrefix + i.vm + "." + strconv.FormatUint(i.incarnation, 36) +
			"." + strconv.FormatInt(now.UnixMilli(), 36) +
			"." + strconv.FormatUint(i.number.Add(1), 36)
		tickets[n] = body + "." + i.code(body)
	}
	return tickets
}

// Genuine reports whether this issuer made the ticket.
func (i *Issuer) Verify(key string) bool {
	body, code, found := cutLast(key)
	return found && hmac.Equal([]byte(code), []byte(i.code(body)))
}

func (i *Issuer) code(body string) string {
	mac := hmac.New(sha256.New, i.secret[:])
	// Writing to a hash can't fail.
	_, _ = mac.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macLength])
}
