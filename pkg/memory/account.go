// Package memory bounds what a node holds in memory for others. An Account hands out
// leases on its bytes, shares them between kinds, upstreams, services and callers, and
// takes them back first from those who keep them without making progress.
package memory

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Bytes is an amount of memory.
type Bytes int64

// Units of Bytes.
const (
	Kilobyte Bytes = 1 << 10
	Megabyte Bytes = 1 << 20
)

// Kind is what bytes are held for.
type Kind uint8

// The kinds.
const (
	// Requests are callers' requests with their bodies.
	Requests Kind = iota
	// Replies are upstreams' replies, until they have been passed on.
	Replies
	// Messages are those of other nodes.
	Messages
	kindCount
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"requests", "replies", "messages"}[k]
}

// Kinds lists all kinds.
func Kinds() []Kind {
	return []Kind{Requests, Replies, Messages}
}

// kindShares are the fractions of an account that the kinds may use. They add up to 1, so
// that no kind can use up what another needs.
var kindShares = [kindCount]float64{Requests: 0.35, Replies: 0.55, Messages: 0.1}

// minMessages is what messages may take at least, whatever the size: a node that can't read
// them has no place in its fleet.
const minMessages = 8 * Megabyte

// Shares of a kind's bytes.
const (
	// urgentShare is kept for urgent leases.
	urgentShare = 0.1
	// UpstreamShare, ServiceShare, CallerShare and PeerShare bound what one upstream, one
	// service, one caller and one other node may hold, unless a single lease does.
	UpstreamShare = 0.25
	ServiceShare  = 0.5
	CallerShare   = 0.5
	PeerShare     = 0.5
)

const (
	// stallTime is how long a lease may make no progress before it gives way to others.
	stallTime = time.Second
	// reclaimTime is how long a lease waits for those that were told to give way.
	reclaimTime = 250 * time.Millisecond
)

// Reasons why a lease doesn't get bytes.
var (
	// ErrExhausted means that the bytes are in use by others.
	ErrExhausted = errors.New("the memory for requests and replies is in use")
	// ErrShare means that the party that answers for the bytes, for instance an upstream,
	// has its share already.
	ErrShare = errors.New("the party's share of the memory is in use")
	// ErrRevoked means that the lease had to give way to others, or is closed.
	ErrRevoked = errors.New("the memory was needed for others")
)

// IsDenied reports whether an error means that a lease didn't get bytes.
func IsDenied(err error) bool {
	return errors.Is(err, ErrExhausted) || errors.Is(err, ErrShare) || errors.Is(err, ErrRevoked)
}

// Account is an amount of memory that leases share. A nil Account has no bound. It is safe
// for concurrent use.
type Account struct {
	mu sync.Mutex
	// size is at least 0. The leases hold at most size in sum, but for minMessages and for a
	// while after it has been lowered.
	size Bytes
	// held is the sum of the leases of each kind.
	held [kindCount]Bytes
	// groups holds the sums of the leases of each group; none is 0.
	groups map[string]groupSum
	// leases are those that hold bytes.
	leases map[*Lease]struct{}
	// released is closed when bytes are given back and somebody waits; nil otherwise.
	released chan struct{}
	// denied counts how often leases of a kind got no bytes, by cause.
	denied [kindCount]map[error]int
}

// groupSum is what the leases of a group hold together, and how many they are.
type groupSum struct {
	held   Bytes
	leases int
}

// NewAccount returns an account of the given size.
func NewAccount(size Bytes) *Account {
	a := &Account{size: max(size, 0), groups: map[string]groupSum{}, leases: map[*Lease]struct{}{}}
	for kind := range a.denied {
		a.denied[kind] = map[error]int{}
	}
	return a
}

// Resize changes the size. Leases keep what they hold.
func (a *Account) Resize(size Bytes) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.size = max(size, 0)
}

// Size returns the size.
func (a *Account) Size() Bytes {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.size
}

// Held returns what the leases of a kind hold.
func (a *Account) Held(kind Kind) Bytes {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[kind]
}

// Denied returns how many requests for bytes of a kind were denied for the cause, which is
// one of the errors of this package.
func (a *Account) Denied(kind Kind, cause error) int {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.denied[kind][cause]
}

// limit returns how many bytes the leases of a kind may hold in sum.
func (a *Account) limit(kind Kind, urgent bool) Bytes {
	limit := kindShares[kind] * float64(a.size)
	if kind == Messages {
		limit = max(limit, float64(minMessages))
	}
	if !urgent {
		limit *= 1 - urgentShare
	}
	return Bytes(limit)
}

// shortage is why a lease doesn't get bytes.
type shortage struct {
	// cause is nil if the lease got them.
	cause error
	// group is the group that has its share already; empty if the kind's bytes are in use.
	group string
}

// take gives bytes to a lease, or returns why it can't. The caller holds mu.
func (a *Account) take(l *Lease, count Bytes) shortage {
	if l.revoked || l.closed {
		return shortage{cause: ErrRevoked}
	}
	whole := a.limit(l.holder.Kind, true)
	for i, g := range l.holder.Groups {
		sum := a.groups[g.Name]
		if alone := sum.held == l.held; alone || sum.held+count <= Bytes(g.Share*float64(whole)) {
			continue
		}
		if i == 0 {
			return shortage{cause: ErrShare, group: g.Name}
		}
		return shortage{cause: ErrExhausted, group: g.Name}
	}
	if a.held[l.holder.Kind]+count > a.limit(l.holder.Kind, l.holder.Urgent) {
		return shortage{cause: ErrExhausted}
	}
	a.add(l, count)
	return shortage{}
}

// add changes what a lease holds. The caller holds mu.
func (a *Account) add(l *Lease, count Bytes) {
	if l.held == 0 && count > 0 {
		a.leases[l] = struct{}{}
	}
	joins, leaves := l.held == 0 && count > 0, l.held > 0 && l.held+count == 0
	l.held += count
	a.held[l.holder.Kind] += count
	for _, g := range l.holder.Groups {
		sum := a.groups[g.Name]
		sum.held += count
		switch {
		case joins:
			sum.leases++
		case leaves:
			sum.leases--
		}
		if sum.leases == 0 {
			delete(a.groups, g.Name)
			continue
		}
		a.groups[g.Name] = sum
	}
	if leaves {
		delete(a.leases, l)
	}
	if count < 0 && a.released != nil {
		close(a.released)
		a.released = nil
	}
}

// giveWay revokes the lease that should give way to another one that was denied bytes: one
// that has made no progress for stallTime, or else one of the upstream or caller that holds
// the most, if that is more than the other one would hold then. It reports whether there is
// one. The caller holds mu.
func (a *Account) giveWay(l *Lease, count Bytes, short shortage, now time.Time) bool {
	var stalled, greedy *Lease
	most := a.groups[l.holder.party()].held + count
	for other := range a.leases {
		if other == l || !other.mayGiveWay() || !other.helps(l, short) {
			continue
		}
		if now.Sub(other.progress) >= stallTime && (stalled == nil || other.progress.Before(stalled.progress)) {
			stalled = other
		}
		held := a.groups[other.holder.party()].held
		if held > most || held == most && greedy != nil && other.held > greedy.held {
			most, greedy = held, other
		}
	}
	victim := stalled
	if victim == nil {
		victim = greedy
	}
	if victim == nil {
		return false
	}
	victim.revoked = true
	a.denied[victim.holder.Kind][ErrRevoked]++
	victim.revoke()
	return true
}

// awaitRelease returns a channel that is closed when bytes are given back. The caller holds
// mu.
func (a *Account) awaitRelease() <-chan struct{} {
	if a.released == nil {
		a.released = make(chan struct{})
	}
	return a.released
}
