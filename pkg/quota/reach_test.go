package quota

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// contactsOf returns contacts with live and missing members; the node itself is member 0.
func contactsOf(live, missing int) Contacts {
	c := Contacts{Self: "vm-0", Exchanged: true, HasPeers: true}
	for i := range live + missing {
		if i < live {
			c.Live = append(c.Live, fmt.Sprint("vm-", i))
		} else {
			c.Missing = append(c.Missing, fmt.Sprint("vm-", i))
		}
	}
	return c
}

// TestShare guards against parts of a split cluster whose shares add up to more than 1.
func TestShare(t *testing.T) {
	isolated := contactsOf(9, 0)
	isolated.SinceExchange = isolationTime
	grown := contactsOf(5, 4)
	grown.Live = append(grown.Live, "new-1", "new-2")
	leaving := contactsOf(7, 0)
	leaving.Leaving = []string{"vm-7", "vm-8"}
	unknown, alone := Contacts{Self: "vm-0", Live: []string{"vm-0"}, HasPeers: true}, Contacts{Self: "vm-0", Live: []string{"vm-0"}}
	for name, test := range map[string]struct {
		before, now Contacts
		after       time.Duration
		want        float64
	}{
		"all":                      {contactsOf(9, 0), contactsOf(9, 0), time.Second, 1},
		"some lost":                {contactsOf(9, 0), contactsOf(5, 4), time.Second, 5.0 / 9},
		"isolated":                 {contactsOf(9, 0), isolated, time.Second, 1.0 / 9},
		"new ones in a split":      {contactsOf(9, 0), grown, fullTakeoverWait, 5.0 / 9},
		"new process in a split":   {contactsOf(4, 5), contactsOf(4, 5), fullTakeoverWait, 4.0 / 9},
		"new process that joins":   {contactsOf(2, 0), contactsOf(8, 1), time.Second, 8.0 / 9},
		"some left":                {contactsOf(9, 0), leaving, time.Second, 1},
		"grown":                    {contactsOf(9, 0), contactsOf(12, 0), time.Second, 1},
		"most live for a minute":   {contactsOf(9, 0), contactsOf(5, 4), forgetTime, 1},
		"few live for a minute":    {contactsOf(9, 0), contactsOf(4, 5), 2 * forgetTime, 4.0 / 9},
		"few live for ten minutes": {contactsOf(9, 0), contactsOf(4, 5), longForgetTime, 1},
		"not joined yet":           {unknown, unknown, time.Second, 0},
		"alone":                    {alone, alone, time.Second, 1},
	} {
		r := NewReach(0)
		r.Share(0, test.before)
		if got := r.Share(test.after, test.now); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%s: share %v, want %v", name, got, test.want)
		}
	}
}

// TestForgottenStaysForgotten guards against members that count again because a record of
// their loss is still kept.
func TestForgottenStaysForgotten(t *testing.T) {
	r := NewReach(0)
	r.Share(0, contactsOf(9, 0))
	for at := forgetTime; at < forgetTime+5*time.Second; at += testTick {
		if got := r.Share(at, contactsOf(8, 1)); got != 1 {
			t.Fatalf("share %v at %v", got, at)
		}
	}
	if got := r.Share(2*forgetTime, contactsOf(9, 0)); got != 1 {
		t.Errorf("share %v once the member is back", got)
	}
}
