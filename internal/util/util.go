// Package util holds small helpers without dependencies on other packages of the
// module.
package util

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
)

// Sleep waits for the duration or until the context ends, whichever comes first.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Annotate prefixes the error that err points to with a message, unless it is nil.
// errors.Is still finds the original error. It is meant for one deferred call in a
// function with a named error result.
func Annotate(err *error, format string, arguments ...any) {
	if *err == nil {
		return
	}
	*err = errors.WithMessagef(*err, format, arguments...)
}

// RecoverError turns a panic into an error with the stack. It is meant for one
// deferred call in a function with a named error result that handles what another
// process has sent: a single unexpected message must not end this process.
func RecoverError(err *error) {
	if cause := recover(); cause != nil {
		*err = errors.Errorf("panic: %v\n%s", cause, debug.Stack())
	}
}

// Set is a set of comparable values. The zero value is an empty set that can be
// read; Add panics on it. It is not safe for concurrent writes.
type Set[T comparable] map[T]struct{}

// NewSet returns a set that contains the given values.
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

// Add adds the value to the set and reports whether it was not in it before.
func (s Set[T]) Add(value T) bool {
	if s.Has(value) {
		return false
	}
	s[value] = struct{}{}
	return true
}
