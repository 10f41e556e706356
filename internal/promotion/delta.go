package promotion

import (
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/document"
)

// Delta describes how to build a new text from an old one: the first Prefix
// bytes of the old text, then Middle, then the last Suffix bytes of the old text.
type Delta struct {
	Prefix, Suffix int
	Middle         string
}

// ComputeDelta returns the delta that turns the old text into the updated one.
func ComputeDelta(old, updated string) Delta {
	shorter := min(len(old), len(updated))
	prefix := 0
	for prefix < shorter && old[prefix] == updated[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && old[len(old)-1-suffix] == updated[len(updated)-1-suffix] {
		suffix++
	}
	return Delta{Prefix: prefix, Suffix: suffix, Middle: updated[prefix : len(updated)-suffix]}
}

// Apply adds the text to an encoded record that lacks it, building it from the
// old text. It returns an error if the built text does not match the record's
// digest.
func (d Delta) Apply(withoutText []byte, old string) (value []byte, err error) {
	defer util.Annotate(&err, "apply delta")
	record, err := DecodeRecord(withoutText)
	if err != nil {
		return nil, err
	}
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(old) || d.Suffix > len(old)-d.Prefix {
		return nil, errors.Errorf("the delta keeps %d bytes at the start and %d at the end of an old text of %d bytes", d.Prefix, d.Suffix, len(old))
	}
	record.Text = old[:d.Prefix] + d.Middle + old[len(old)-d.Suffix:]
	if document.Digest([]byte(record.Text)) != record.Digest {
		return nil, errors.Errorf("the built text does not match the record's digest %.80q", record.Digest)
	}
	return record.Encode()
}
