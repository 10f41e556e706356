package claim

import (
	"testing"
	"time"
)

// TestTicketAgeIsSteady: an age by the time of day let an old ticket run again.
func TestTicketAgeIsSteady(t *testing.T) {
	i := NewIssuer("vm-1", 7)
	ticket, err := ParseTicket(i.Issue(i.started.Add(3*time.Minute), 1)[0])
	if err != nil {
		t.Fatal(err)
	}
	if ticket.Issued != 3*time.Minute || ticket.VM != "vm-1" || ticket.Process != 7 || ticket.Number != 1 {
		t.Errorf("the ticket says %+v", ticket)
	}
	if age := i.Age(i.started.Add(20*time.Minute), ticket); age != 17*time.Minute {
		t.Errorf("age %s, want 17m", age)
	}
}

// TestOldClaimIsNotTakenOverAfterTheClockWasSetBack: its run may have been forgotten.
func TestOldClaimIsNotTakenOverAfterTheClockWasSetBack(t *testing.T) {
	c := NewClaims(nil, "vm-1", 7)
	earlier := Claim{Holder: c.newHolder()}
	c.started = c.started.Add(-Retention)
	own := claimRecord{Holder: c.newHolder()}
	if c.mayTakeOver(earlier, own) {
		t.Errorf("took over a claim of %s ago", own.Holder.Elapsed-earlier.Holder.Elapsed)
	}
	if recent := (Claim{Holder: c.newHolder()}); !c.mayTakeOver(recent, own) {
		t.Error("did not take over a recent claim of the same process")
	}
}
