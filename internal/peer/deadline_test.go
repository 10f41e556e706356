package peer

import (
	"context"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/wire"
)

// TestCallThatEndsByItsDeadlineSaysSo: a call failed just before its context counted as
// ended, and the caller took the member, which was only at work, for lost.
func TestCallThatEndsByItsDeadlineSaysSo(t *testing.T) {
	const calls = 200
	listener := listenFor(t, waitingHandler{make(chan struct{})})
	listener.answer()
	network := NewNetwork(testConfig("vm-2", nil))
	early := 0
	for range calls {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		_, err := network.CallUnary(ctx, "vm-1", listener.Addr().String(), &wire.Call{})
		if err != nil && ctx.Err() == nil {
			early++
		}
		cancel()
	}
	if early > 0 {
		t.Errorf("%d of %d calls failed before the end of their context", early, calls)
	}
}
