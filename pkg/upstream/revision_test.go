package upstream

import (
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// TestRevisionsFollowTheStore: a later era comes after all numbers of an earlier one,
// and within an era the numbers decide.
func TestRevisionsFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Uint64Range(0, maxEra-1).Draw(t, "era")
		number := rapid.Uint64Range(0, maxNumber-1).Draw(t, "number")
		other := rapid.Uint64Range(0, maxNumber).Draw(t, "other")
		r := newTestRevision(t, era, number)
		if later := newTestRevision(t, era+1, other); later <= r {
			t.Errorf("%v is not after %v", later, r)
		}
		if later := newTestRevision(t, era, number+1); later <= r {
			t.Errorf("%v is not after %v", later, r)
		}
		if r.Era() != era || r.Number() != number || r.WithNumber(other) != newTestRevision(t, era, other) {
			t.Errorf("era %d, number %d became %v", era, number, r)
		}
		if decoded, err := DecodeRevision(r.Encode()); err != nil || decoded != r {
			t.Errorf("%v was decoded as %v: %v", r, decoded, err)
		}
	})
}

func newTestRevision(t *rapid.T, era, number uint64) Revision {
	r, err := NewRevision(era, number)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRevisionOutOfRange: an era or number that doesn't fit is an error, and not another
// revision.
func TestRevisionOutOfRange(t *testing.T) {
	for _, bad := range [][2]uint64{{maxEra + 1, 1}, {1, maxNumber + 1}} {
		if r, err := NewRevision(bad[0], bad[1]); !errors.Is(err, ErrRevisionRange) {
			t.Errorf("era %d, number %d became %v: %v", bad[0], bad[1], r, err)
		}
	}
}

// TestRevisionWithoutEra: the revision of a store without eras is its number, as nodes
// of older builds send and log it.
func TestRevisionWithoutEra(t *testing.T) {
	r, err := NewRevision(0, 42)
	if err != nil || r != 42 || r.String() != "42" || r.Encode() != "42" {
		t.Errorf("number 42 became %v, sent as %s: %v", r, r.Encode(), err)
	}
}
