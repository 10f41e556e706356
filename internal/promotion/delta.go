package promotion

import (
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/document"
)

// Delta leads from one text to another: the first Prefix bytes of the old one,
// then Middle, then its last Suffix bytes.
type Delta struct {
	Prefix, Suffix int
	Middle         string
}

// Difference returns the delta from one text to another.
func ComputeDelta(old, fresh string) Delta {
	shorter := min(len(old), len(fresh))
	prefix := 0
	for prefix < shorter && old[prefix] == fresh[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && old[len(old)-1-suffix] == fresh[len(fresh)-1-suffix] {
		suffix++
	}
	return Delta{Prefix: prefix, Suffix: suffix, Middle: fresh[prefix : len(fresh)-suffix]}
}

// Apply completes an encoded record that lacks its text, given the old text.
// The result is checked against the record's digest.
func (d Delta) Apply(bare []byte, old string) (value []byte, err error) {
	defer util.Annotate(&err, "apply delta")
	record, err := DecodeRecord(bare)
	if err != nil {
		return nil, err
	}
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(old) {
		return nil, errors.New("the delta does not fit the text")
	}
	record.Text = old[:d.Prefix] + d.Middle + old[len(old)-d.Suffix:]
	if document.Digest([]byte(record.Text)) != record.Digest {
		return nil, errors.New("the text does not have the record's digest")
	}
	return record.Encode()
}
