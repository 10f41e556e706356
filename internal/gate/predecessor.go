package gate

import (
	"context"
	"slices"

	"github.com/bronzereach/bronzereach/internal/wire"
)

// AskPredecessor returns the requests of earlier gates of a service that are still in
// flight, or an error if the previous gate can't be reached. With release, it first asks
// that gate to release the service.
type AskPredecessor func(ctx context.Context, release bool) ([]*wire.InFlight, error)

// AskMember asks one member for the requests in flight that it knows of, its own and
// those of earlier gates. With release, it also asks it to release the service.
type AskMember func(ctx context.Context, vm string, release bool) ([]*wire.InFlight, error)

// NewAskPredecessor returns a function that asks the previous gate, and then each member
// that it names as an earlier one. Only a member itself knows how many of its requests
// are in flight now; one that can't be reached is taken to have ended.
func NewAskPredecessor(own, previous string, ask AskMember) AskPredecessor {
	return func(ctx context.Context, release bool) ([]*wire.InFlight, error) {
		reported, err := ask(ctx, previous, release)
		if err != nil {
			return nil, err
		}
		inFlight := requestsOf(previous, reported)
		for _, vm := range earlierGates(reported, own, previous) {
			earlier, err := ask(ctx, vm, false)
			if err != nil {
				continue
			}
			inFlight = append(inFlight, requestsOf(vm, earlier)...)
		}
		return inFlight, nil
	}
}

// requestsOf returns the requests that a member reports as its own. A node of an older
// build reports only those, and without its name.
func requestsOf(vm string, reported []*wire.InFlight) []*wire.InFlight {
	var own []*wire.InFlight
	for _, f := range reported {
		if f.GetVm() == vm || f.GetVm() == "" {
			own = append(own, &wire.InFlight{Upstream: f.GetUpstream(), Count: f.GetCount(), Vm: vm})
		}
	}
	return own
}

// earlierGates returns the members other than the given ones whose requests are reported.
func earlierGates(reported []*wire.InFlight, except ...string) []string {
	var gates []string
	for _, f := range reported {
		if f.GetVm() != "" && !slices.Contains(except, f.GetVm()) && !slices.Contains(gates, f.GetVm()) {
			gates = append(gates, f.GetVm())
		}
	}
	return gates
}
