// Package httpstatus checks the statuses of HTTP responses.
package httpstatus

import (
	"net/http"

	"github.com/pkg/errors"
)

// maximum is the greatest valid status.
const maximum = 599

// CheckFinal returns an error if a response that an HTTP client of net/http returned has no
// valid status of a final response: net/http accepts any three digits, and a sign before two.
// It is called before the body is read, as that of a response that switches protocols is the
// connection, whose reads don't end with the request's context.
func CheckFinal(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > maximum {
		return errors.Errorf("the response has no valid status: %d", response.StatusCode)
	}
	return nil
}
