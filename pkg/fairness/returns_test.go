package fairness

import (
	"fmt"
	"testing"
	"time"
)

// TestReturns: a caller is early until the time that it was told last, and only one of the
// same team and address. The others that wait as told are counted. Load: refused callers, of
// which some retry at once.
func TestReturns(t *testing.T) {
	now := time.Unix(100, 0)
	r := NewReturns()
	caller := func(address string) Caller { return Caller{Team: "a", Address: address} }
	for _, address := range []string{"1", "2", "3"} {
		r.Tell(now, caller(address), now.Add(time.Second))
	}
	before := now.Add(999 * time.Millisecond)
	for i, address := range []string{"1", "1", "2"} {
		if early, others := r.Early(before, caller(address)); !early || others != 2-i/2 {
			t.Errorf("caller %s returned before the time it was told: early is %t, %d others wait as told", address, early, others)
		}
	}
	for _, other := range []Caller{{Team: "a", Address: "4"}, {Team: "b", Address: "1"}} {
		if early, _ := r.Early(before, other); early {
			t.Errorf("%+v was told nothing and is early", other)
		}
	}
	if early, _ := r.Early(now.Add(time.Second), caller("3")); early {
		t.Error("a caller that returned when it was told is early")
	}
	r.Tell(now, caller("1"), now.Add(time.Second))
	if _, others := r.Early(before, caller("2")); others != 1 {
		t.Errorf("%d others wait as told after one was told again, want 1", others)
	}
}

// TestReturnsAreBounded: the callers of a flood take bounded memory, and are forgotten when
// their time has passed. Load: a flood from very many addresses.
func TestReturnsAreBounded(t *testing.T) {
	now := time.Unix(100, 0)
	r := NewReturns()
	for i := range 2 * maxReturns {
		r.Tell(now, Caller{Address: fmt.Sprint(i)}, now.Add(time.Second))
	}
	if len(r.told) > maxReturns {
		t.Errorf("%d callers are remembered", len(r.told))
	}
	now = now.Add(2 * time.Second)
	late := Caller{Address: "late"}
	r.Tell(now, late, now.Add(time.Second))
	if early, _ := r.Early(now, late); !early || len(r.told) != 1 || len(r.obedient) != 0 {
		t.Errorf("%d callers are remembered after their time", len(r.told))
	}
}
