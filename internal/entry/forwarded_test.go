package entry

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// TestForwardWithoutTimeIsNotRun: a forwarded request without any time left was started, so
// that its outcome was unknown for good.
func TestForwardWithoutTimeIsNotRun(t *testing.T) {
	e, _ := newLeavingEntry(t)
	body, err := json.Marshal(query.Request{Kind: "order", Key: e.issuer.Issue(time.Now(), 1)[0]})
	if err != nil {
		t.Fatal(err)
	}
	for _, remaining := range []time.Duration{-time.Second, 0} {
		forwarded := e.Forwarded(context.Background(), &wire.Forward{Request: body, RemainingMicros: remaining.Microseconds()})
		a := &answer.Answer{}
		if err := json.Unmarshal(forwarded.GetAnswer(), a); err != nil {
			t.Fatal(err)
		}
		if a.Status != answer.NotRun {
			t.Errorf("with %s left: status %v, error %+v", remaining, a.Status, a.Error)
		}
	}
}
