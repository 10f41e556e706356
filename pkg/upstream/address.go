package upstream

// WithoutReplaced returns the registrations, in order, but for those whose address another
// upstream has taken over: one that started later and for which takesOver is true. An
// entry that no request can go to must not take over an address: nothing would show that
// its upstream isn't there.
func WithoutReplaced(registrations []Registration, takesOver func(Registration) bool) []Registration {
	newest := map[string]Registration{}
	for _, registration := range registrations {
		other, taken := newest[registration.Address]
		if takesOver(registration) && (!taken || startedLater(registration, other)) {
			newest[registration.Address] = registration
		}
	}
	kept := make([]Registration, 0, len(registrations))
	for _, registration := range registrations {
		other, taken := newest[registration.Address]
		if !taken || !startedLater(other, registration) {
			kept = append(kept, registration)
		}
	}
	return kept
}

// startedLater reports whether a started after b; the ID breaks ties.
func startedLater(a, b Registration) bool {
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	return a.ID > b.ID
}
