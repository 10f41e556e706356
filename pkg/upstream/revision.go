package upstream

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"
)

// Revision is a point in the history of the store: the store's era in the upper bits,
// and in the lower ones the number that the store gave to its last change. A store that
// comes back from an older copy of its contents begins a new era and gives out numbers
// again, so only both together are in order. The zero value is before any other.
type Revision uint64

const (
	// numberBits is the size of the number.
	numberBits = 48
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// ErrRevisionRange means that an era or number is too large for a Revision.
var ErrRevisionRange = errors.New("the revision is out of range")

// NewRevision returns the revision with a number in an era; the era is 0 for stores that
// have none.
func NewRevision(era, number uint64) (Revision, error) {
	if era > maxEra || number > maxNumber {
		return 0, errors.WithMessagef(ErrRevisionRange, "era %d, number %d", era, number)
	}
	return Revision(era<<numberBits | number), nil
}

// DecodeRevision reverses Encode.
func DecodeRevision(text string) (Revision, error) {
	value, err := strconv.ParseUint(text, 10, 64)
	return Revision(value), errors.WithStack(err)
}

// Encode returns the revision as nodes send it to each other.
func (r Revision) Encode() string {
	return strconv.FormatUint(uint64(r), 10)
}

// Era returns how often the store had come back from an older copy.
func (r Revision) Era() uint64 {
	return uint64(r) >> numberBits
}

// Number returns the store's own number of the change.
func (r Revision) Number() uint64 {
	return uint64(r) & maxNumber
}

// WithNumber returns the revision with another number in the same era.
func (r Revision) WithNumber(number uint64) Revision {
	return Revision(r.Era()<<numberBits | number&maxNumber)
}

// String returns the era and the number, or the number alone if the store has no eras.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatUint(r.Number(), 10)
	}
	return fmt.Sprintf("%d:%d", r.Era(), r.Number())
}
