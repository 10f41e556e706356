// Package util holds small helpers that every other package may use.
package util

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Sleep waits for the pause or for the end of the context.
func Sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Annotate adds a message to the error that result points at, if there is one.
// It is meant for a single deferred call in a function with a named error.
func Annotate(result *error, format string, arguments ...any) {
	if *result == nil {
		return
	}
	*result = errors.WithMessagef(*result, format, arguments...)
}

// Set is a small set of comparable values. The zero value is an empty set
// that can be read but not added to.
type Set[T comparable] map[T]struct{}

// NewSet returns a set of the given values.
func NewSet[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}

// Has reports whether the value is in the set.
func (s Set[T]) Has(value T) bool {
	_, found := s[value]
	return found
}

// Add puts the value into the set and reports whether it is new.
func (s Set[T]) Add(value T) bool {
	if s.Has(value) {
		return false
	}
	s[value] = struct{}{}
	return true
}
