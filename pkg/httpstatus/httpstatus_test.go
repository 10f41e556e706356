package httpstatus

import (
	"net/http"
	"testing"
)

// TestCheckFinal guards against statuses that are taken for those of a final response, and
// against valid ones that are refused.
func TestCheckFinal(t *testing.T) {
	for status := -99; status <= 1000; status++ {
		err := CheckFinal(&http.Response{StatusCode: status})
		if valid := status >= 200 && status <= 599; valid != (err == nil) {
			t.Errorf("status %d: %v", status, err)
		}
	}
}
