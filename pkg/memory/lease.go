package memory

import (
	"slices"
	"time"
)

// Holder tells for whom a lease holds bytes. It is immutable.
type Holder struct {
	Kind Kind
	// Groups are the groups whose leases share a bound. The first one is the party that
	// answers for the bytes, for instance an upstream or a caller.
	Groups []Group
	// Urgent leases may use the bytes that are kept for them.
	Urgent bool
	// Essential leases never give way, and wait for bytes as long as they may.
	Essential bool
	// Finished leases are for results of work that is done. They wait for bytes for a while
	// also if nobody gives way, as others are about to finish too.
	Finished bool
}

// WithGroups returns the holder with other groups.
func (h Holder) WithGroups(groups ...Group) Holder {
	h.Groups = groups
	return h
}

// Group is a set of leases that may hold a share of their kind's bytes.
type Group struct {
	// Name is unique over all kinds.
	Name string
	// Share is above 0 and at most 1.
	Share float64
}

// RequestsOf returns the group of the requests of a caller, by its address.
func RequestsOf(caller string) Group {
	return Group{Name: caller, Share: CallerShare}
}

// AnswersTo returns the group of the answers that are written to a caller, by its address.
func AnswersTo(caller string) Group {
	return Group{Name: "answers to " + caller, Share: CallerShare}
}

// party returns the name of the party that answers for the bytes; empty if there is none.
func (h Holder) party() string {
	if len(h.Groups) == 0 {
		return ""
	}
	return h.Groups[0].Name
}

// Lease is what one holder has of an account. The zero value and a nil Lease have no bound. A
// lease is used by one goroutine at a time. Others see it only once it has asked for bytes, so
// that one that never does takes no lock.
type Lease struct {
	account *Account
	holder  Holder
	// shared is true once the lease has asked for bytes.
	shared bool

	// The fields below are guarded by the account's lock once shared is true. held is at
	// least 0.
	held Bytes
	// progress is when the holder last made progress.
	progress time.Time
	// onRevoke ends the holder's work; nil while it can't give way.
	onRevoke func()
	revoked  bool
	// closed leases get no bytes any more.
	closed bool
}

// Open returns a lease that holds nothing yet; one without a bound for a nil account.
func (a *Account) Open(holder Holder) *Lease {
	return &Lease{account: a, holder: holder}
}

// unused reports whether nobody but its user can see the lease.
func (l *Lease) unused() bool {
	return l == nil || l.account == nil || !l.shared
}

// Reserve adds bytes to the lease. If others must give way first it waits for them, and an
// essential lease waits for bytes until the deadline. The error is one of this package, or
// nil.
func (l *Lease) Reserve(count Bytes, deadline time.Time) error {
	if l == nil || l.account == nil || count <= 0 {
		return nil
	}
	a := l.account
	a.mu.Lock()
	defer a.mu.Unlock()
	l.shared = true
	now := time.Now()
	l.progress = now
	until := now.Add(reclaimTime)
	if l.holder.Essential || deadline.Before(until) {
		until = deadline
	}
	for {
		short := a.take(l, count)
		if short.cause == nil {
			return nil
		}
		now = time.Now()
		if !now.Before(until) || !l.mayWait(short, count, now) {
			a.denied[l.holder.Kind][short.cause]++
			return short.cause
		}
		l.wait(until.Sub(now))
	}
}

// mayWait reports whether the lease may get bytes later that it was denied. If nobody else
// gives way yet, it tells somebody to. The caller holds the account's lock.
func (l *Lease) mayWait(short shortage, count Bytes, now time.Time) bool {
	if l.revoked || l.closed {
		return false
	}
	return l.account.giveWay(l, count, short, now) || l.holder.Essential || l.holder.Finished || l.waitsForRevoked(short)
}

// waitsForRevoked reports whether a lease that was told to give way would help this one.
// The caller holds the account's lock.
func (l *Lease) waitsForRevoked(short shortage) bool {
	for other := range l.account.leases {
		if other.revoked && other.helps(l, short) {
			return true
		}
	}
	return false
}

// wait waits without the account's lock until bytes are given back, but not for longer than
// the given time.
func (l *Lease) wait(timeout time.Duration) {
	released := l.account.awaitRelease()
	l.account.mu.Unlock()
	defer l.account.mu.Lock()
	// Essential leases look again for others that have stalled meanwhile.
	timer := time.NewTimer(min(timeout, reclaimTime))
	defer timer.Stop()
	select {
	case <-released:
	case <-timer.C:
	}
}

// helps reports whether the bytes of the lease could be given to another one that was
// denied some. The caller holds the account's lock.
func (l *Lease) helps(other *Lease, short shortage) bool {
	if l.holder.Kind != other.holder.Kind {
		return false
	}
	return short.group == "" || slices.ContainsFunc(l.holder.Groups, func(g Group) bool { return g.Name == short.group })
}

// mayGiveWay reports whether the lease can be revoked. The caller holds the account's lock.
func (l *Lease) mayGiveWay() bool {
	return l.onRevoke != nil && !l.revoked && !l.holder.Essential
}

// revoke ends the holder's work. The caller holds the account's lock.
func (l *Lease) revoke() {
	go l.onRevoke()
}

// OnRevoke sets what ends the holder's work if it must give way to others; nil while it
// can't. It returns false if the lease was revoked already.
func (l *Lease) OnRevoke(end func()) bool {
	if l.unused() {
		if l != nil {
			l.onRevoke = end
		}
		return true
	}
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	l.onRevoke = end
	l.progress = time.Now()
	return !l.revoked
}

// Transfer lets other groups answer for the bytes from now on, whatever their shares are.
func (l *Lease) Transfer(groups ...Group) {
	if l.unused() {
		if l != nil {
			l.holder = l.holder.WithGroups(groups...)
		}
		return
	}
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	held := l.held
	if held > 0 {
		l.account.add(l, -held)
	}
	l.holder = l.holder.WithGroups(groups...)
	if held > 0 {
		l.account.add(l, held)
	}
}

// Shrink gives back all bytes beyond the count.
func (l *Lease) Shrink(count Bytes) {
	if l.unused() {
		return
	}
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	if l.held > count {
		l.account.add(l, count-l.held)
	}
}

// Progressed records that the holder has made progress.
func (l *Lease) Progressed() {
	if l.unused() {
		return
	}
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	l.progress = time.Now()
}

// Revoked reports whether the lease had to give way to others.
func (l *Lease) Revoked() bool {
	if l.unused() {
		return false
	}
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	return l.revoked
}

// Held returns what the lease holds.
func (l *Lease) Held() Bytes {
	if l.unused() {
		return 0
	}
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	return l.held
}

// Close gives all bytes back. A lease may be closed more than once.
func (l *Lease) Close() {
	if l.unused() {
		if l != nil {
			l.onRevoke, l.closed = nil, true
		}
		return
	}
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	l.onRevoke, l.closed = nil, true
	if l.held > 0 {
		l.account.add(l, -l.held)
	}
}

// Kind returns what the bytes are held for.
func (l *Lease) Kind() Kind {
	if l == nil {
		return 0
	}
	return l.holder.Kind
}
