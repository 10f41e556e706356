package entry

import (
	"net/http"
	"testing"

	"github.com/bronzereach/bronzereach/pkg/answer"
)

// TestOnlyWhatDidNotRunIsRefused guards against status 503 for requests that may have run:
// callers take it for "not run".
func TestOnlyWhatDidNotRunIsRefused(t *testing.T) {
	codes := []answer.Code{
		answer.CodeOverloaded, answer.CodeNotConfigured, answer.CodeStoreDown, answer.CodeNoSnapshot, answer.CodeLeaving,
		answer.CodeNoMemory, answer.CodeDeadline, answer.CodeGateLost,
	}
	for _, code := range codes {
		for _, status := range []answer.Status{answer.Unknown, answer.Ran, answer.RanOnce} {
			a := &answer.Answer{Status: status, Error: &answer.Error{Code: code}}
			if got := httpStatus(a); got == http.StatusServiceUnavailable {
				t.Errorf("%s with %s: HTTP status %d", status, code, got)
			}
		}
	}
}
