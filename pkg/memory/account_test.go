package memory

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// upstreamHolder returns the holder of a reply of an upstream.
func upstreamHolder(service, upstream string) Holder {
	return Holder{Kind: Replies, Groups: []Group{
		{Name: "upstream " + upstream, Share: UpstreamShare}, {Name: "service " + service, Share: ServiceShare},
	}}
}

// TestAccountNeverExceedsItsSize: whatever leases are opened, extended and closed, they hold
// no more than the size, kinds and groups hold no more than their shares, and in the end
// everything is given back.
func TestAccountNeverExceedsItsSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := Bytes(rapid.Int64Range(0, 1<<20).Draw(t, "size"))
		a := NewAccount(size)
		var leases []*Lease
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				holder := upstreamHolder(rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream"))
				holder.Kind = rapid.SampledFrom(Kinds()).Draw(t, "kind")
				holder.Urgent = rapid.Bool().Draw(t, "urgent")
				leases = append(leases, a.Open(holder))
			case 1, 2:
				if len(leases) > 0 {
					l := rapid.SampledFrom(leases).Draw(t, "lease")
					_ = l.Reserve(Bytes(rapid.Int64Range(0, 1<<18).Draw(t, "bytes")), time.Now())
				}
			case 3:
				if len(leases) > 0 {
					closed := rapid.SampledFrom(leases).Draw(t, "closed")
					closed.Close()
					if err := closed.Reserve(1, time.Now()); !errors.Is(err, ErrRevoked) {
						t.Fatalf("a closed lease got bytes: %v", err)
					}
				}
			case 5:
				if len(leases) > 0 {
					l, count := rapid.SampledFrom(leases).Draw(t, "shrunk"), Bytes(rapid.Int64Range(0, 1<<18).Draw(t, "kept"))
					if l.Shrink(count); l.Held() > count {
						t.Fatalf("%d bytes held after shrinking to %d", l.Held(), count)
					}
				}
			case 4:
				if len(leases) > 0 {
					// Whoever gets an answer may be beyond its share.
					rapid.SampledFrom(leases).Draw(t, "delivered").Transfer(Group{Name: "caller", Share: 1})
				}
			}
			checkAccount(t, a, leases)
		}
		for _, l := range leases {
			l.Close()
		}
		if a.Held(Requests) != 0 || a.Held(Replies) != 0 || a.Held(Messages) != 0 || len(a.groups) != 0 || len(a.leases) != 0 {
			t.Fatalf("held after all were closed: %d, %d, groups %v, %d leases", a.Held(Requests), a.Held(Replies), a.groups, len(a.leases))
		}
	})
}

func checkAccount(t *rapid.T, a *Account, leases []*Lease) {
	sums, groups := [kindCount]Bytes{}, map[string]Bytes{}
	for _, l := range leases {
		sums[l.holder.Kind] += l.held
		for _, g := range l.holder.Groups {
			groups[g.Name] += l.held
		}
	}
	total := Bytes(0)
	for _, kind := range Kinds() {
		if sums[kind] != a.held[kind] || sums[kind] > a.limit(kind, true) {
			t.Fatalf("%s: leases hold %d, the account says %d, limit %d", kind, sums[kind], a.held[kind], a.limit(kind, true))
		}
		if kind != Messages {
			total += sums[kind]
		}
	}
	if total > a.size {
		t.Fatalf("%d bytes held of %d", total, a.size)
	}
	for name, held := range groups {
		if a.groups[name].held != held {
			t.Fatalf("%s: leases hold %d, the account says %d", name, held, a.groups[name].held)
		}
	}
}

// TestGroupsKeepToTheirShares: an upstream and a service that hold their share leave the rest
// to others.
func TestGroupsKeepToTheirShares(t *testing.T) {
	a := NewAccount(10 * Megabyte)
	open := func(service, upstream string) error {
		return a.Open(upstreamHolder(service, upstream)).Reserve(100*Kilobyte, time.Now())
	}
	fill := func(service, upstream string) (err error) {
		for err == nil {
			err = open(service, upstream)
		}
		return err
	}
	if err := fill("s", "a"); !errors.Is(err, ErrShare) {
		t.Errorf("one upstream: %v", err)
	}
	for i := range 4 {
		_ = fill("s", fmt.Sprint("b", i))
	}
	if err := open("s", "c"); !errors.Is(err, ErrExhausted) {
		t.Errorf("another upstream of a service that has its share: %v", err)
	}
	if err := open("t", "d"); err != nil {
		t.Errorf("another service: %v", err)
	}
	if held, most := a.groups["service s"].held, Bytes(ServiceShare*float64(a.limit(Replies, true))); held > most {
		t.Errorf("the service holds %d of %d", held, most)
	}
}

// TestLoneHolderMayExceedItsShare: a message that is longer than a share is read as long as
// its party holds nothing else.
func TestLoneHolderMayExceedItsShare(t *testing.T) {
	a := NewAccount(10 * Megabyte)
	if err := a.Open(upstreamHolder("s", "a")).Reserve(4*Megabyte, time.Now()); err != nil {
		t.Error(err)
	}
}

// TestStalledLeaseGivesWay: a lease without progress is revoked as soon as others need its
// bytes, and not before.
func TestStalledLeaseGivesWay(t *testing.T) {
	a := NewAccount(Megabyte)
	stalled := a.Open(Holder{Kind: Requests})
	revoked := make(chan struct{})
	stalled.OnRevoke(func() { close(revoked); stalled.Close() })
	if err := stalled.Reserve(300*Kilobyte, time.Now()); err != nil {
		t.Fatal(err)
	}
	other := a.Open(Holder{Kind: Requests})
	if err := other.Reserve(100*Kilobyte, time.Now().Add(time.Second)); !errors.Is(err, ErrExhausted) {
		t.Errorf("beside a lease that makes progress: %v", err)
	}
	a.mu.Lock()
	stalled.progress = time.Now().Add(-stallTime)
	a.mu.Unlock()
	if err := other.Reserve(100*Kilobyte, time.Now().Add(time.Second)); err != nil {
		t.Errorf("beside a stalled lease: %v", err)
	}
	<-revoked
	if !stalled.Revoked() || a.Denied(Requests, ErrRevoked) != 1 {
		t.Error("the stalled lease was not revoked")
	}
}

// TestGreediestUpstreamGivesWay: what an upstream with little lacks is taken from the one
// that holds the most, but not from a reply that can't be had again.
func TestGreediestUpstreamGivesWay(t *testing.T) {
	a := NewAccount(10 * Megabyte)
	essential := upstreamHolder("s", "a")
	essential.Essential = true
	kept := a.Open(essential)
	kept.OnRevoke(func() { t.Error("an essential lease was revoked") })
	if err := kept.Reserve(500*Kilobyte, time.Now()); err != nil {
		t.Fatal(err)
	}
	for {
		l := a.Open(upstreamHolder("s", "a"))
		l.OnRevoke(l.Close)
		if l.Reserve(100*Kilobyte, time.Now()) != nil {
			break
		}
	}
	for i := range 20 {
		l := a.Open(upstreamHolder("s", fmt.Sprint("b", i)))
		l.OnRevoke(l.Close)
		if err := l.Reserve(200*Kilobyte, time.Now().Add(time.Second)); err != nil {
			t.Fatalf("reply %d: %v", i, err)
		}
		if held := a.groups["upstream a"].held; held <= 700*Kilobyte {
			return
		}
	}
	t.Errorf("the greediest upstream still holds %d", a.groups["upstream a"].held)
}

// TestEssentialLeaseWaits: a lease that may not fail waits until bytes are given back.
func TestEssentialLeaseWaits(t *testing.T) {
	a := NewAccount(Megabyte)
	first := a.Open(Holder{Kind: Replies, Essential: true})
	if err := first.Reserve(400*Kilobyte, time.Now()); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, first.Close)
	if err := a.Open(Holder{Kind: Replies, Essential: true}).Reserve(400*Kilobyte, time.Now().Add(5*time.Second)); err != nil {
		t.Error(err)
	}
}

// TestWaitersDoNotStarve: all of many leases that need bytes at once get them as long as each
// gives them back.
func TestWaitersDoNotStarve(t *testing.T) {
	a := NewAccount(Megabyte)
	var waiters sync.WaitGroup
	for range 50 {
		waiters.Add(1)
		go func() {
			defer waiters.Done()
			l := a.Open(Holder{Kind: Replies, Essential: true})
			if err := l.Reserve(300*Kilobyte, time.Now().Add(10*time.Second)); err != nil {
				t.Error(err)
			}
			time.Sleep(time.Millisecond)
			l.Close()
		}()
	}
	waiters.Wait()
}

// TestNilAccountHasNoBound: parts without an account work as before.
func TestNilAccountHasNoBound(t *testing.T) {
	var a *Account
	l := a.Open(Holder{Kind: Replies})
	if err := l.Reserve(1<<40, time.Now()); err != nil || !l.OnRevoke(nil) || l.Revoked() {
		t.Error("a lease of no account is bounded", err)
	}
	l.Progressed()
	l.Close()
	a.Resize(1)
}

// TestScopeClosesLeasesAtTheEnd: the bytes of a request are given back once nobody uses it.
func TestScopeClosesLeasesAtTheEnd(t *testing.T) {
	a := NewAccount(Megabyte)
	s := NewScope()
	s.Retain()
	l := a.Open(Holder{Kind: Replies})
	if err := l.Reserve(Kilobyte, time.Now()); err != nil {
		t.Fatal(err)
	}
	s.Add(l)
	s.Release()
	if a.Held(Replies) == 0 {
		t.Error("the bytes were given back while the request was in use")
	}
	s.Release()
	if a.Held(Replies) != 0 {
		t.Error("the bytes were not given back")
	}
}

// TestAccountSizeFollowsTheMemory: a larger fleet leaves less for others, and the smallest
// VM some.
func TestAccountSizeFollowsTheMemory(t *testing.T) {
	if small, large := AccountSize(284*Megabyte, 9), AccountSize(284*Megabyte, 295); small <= large || large < 40*Megabyte || small > 80*Megabyte {
		t.Errorf("%d bytes in a small fleet, %d in a large one", small, large)
	}
	if size := AccountSize(71*Megabyte, 9); size != minimumSize && size < minimumSize {
		t.Errorf("%d bytes on a small VM", size)
	}
	if MachineLimit() <= 0 {
		t.Error("the memory of the machine is not known")
	}
}

// TestMinimumLimitIsEnough: a node with the least memory for a lease can hold it, one with a
// little less can't.
func TestMinimumLimitIsEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]Kind{Requests, Replies}).Draw(t, "kind")
		bytes := Bytes(rapid.Int64Range(int64(4*Megabyte), 1<<30).Draw(t, "bytes"))
		limit := MinimumLimit(kind, bytes)
		for _, c := range []struct {
			limit Bytes
			fits  bool
		}{{limit, true}, {limit - Megabyte, false}} {
			err := NewAccount(AccountSize(c.limit, 1)).Open(Holder{Kind: kind}).Reserve(bytes, time.Now())
			if (err == nil) != c.fits {
				t.Fatalf("%d bytes of %s with %d: %v", bytes, kind, c.limit, err)
			}
		}
	})
}

// TestFinishedWorkWaitsForOthers: a lease for a result that is ready gets the bytes of one that
// can't give way and ends soon; another lease is denied at once.
func TestFinishedWorkWaitsForOthers(t *testing.T) {
	a := NewAccount(Megabyte)
	first := a.Open(Holder{Kind: Replies})
	if err := first.Reserve(400*Kilobyte, time.Now()); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(5 * time.Second)
	if err := a.Open(Holder{Kind: Replies}).Reserve(400*Kilobyte, deadline); !errors.Is(err, ErrExhausted) {
		t.Errorf("another lease: %v", err)
	}
	time.AfterFunc(reclaimTime/5, first.Close)
	if err := a.Open(Holder{Kind: Replies, Finished: true}).Reserve(400*Kilobyte, deadline); err != nil {
		t.Errorf("a finished one: %v", err)
	}
}
