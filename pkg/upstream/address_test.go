package upstream

import "testing"

// TestReusedAddress checks that a reused address belongs to the upstream that
// started last.
func TestReusedAddress(t *testing.T) {
	kept := WithoutReplaced([]Registration{
		{ID: "old", Address: "1", Service: "s", Born: 1},
		{ID: "new", Address: "1", Service: "t", Born: 2},
		{ID: "other", Address: "2", Service: "s", Born: 1},
		{ID: "oldest", Address: "1", Service: "s", Born: 0},
	}, func(Registration) bool { return true })
	if len(kept) != 2 || kept[0].ID != "new" || kept[1].ID != "other" {
		t.Errorf("%+v at the addresses", kept)
	}
}

// TestUnnamedServiceTakesOverNoAddress: a registration of a service that gets no requests
// stays beside the one at its address that started before, and one of a service that gets
// them takes the address over from both.
func TestUnnamedServiceTakesOverNoAddress(t *testing.T) {
	registrations := []Registration{
		{ID: "a", Address: "1", Service: "s", Born: 1},
		{ID: "z", Address: "1", Service: "nobody", Born: 9},
	}
	named := func(r Registration) bool { return r.Service != "nobody" }
	if kept := WithoutReplaced(registrations, named); len(kept) != 2 {
		t.Errorf("%+v at the address", kept)
	}
	registrations = append(registrations, Registration{ID: "b", Address: "1", Service: "t", Born: 10})
	if kept := WithoutReplaced(registrations, named); len(kept) != 1 || kept[0].ID != "b" {
		t.Errorf("%+v at the address", kept)
	}
}
