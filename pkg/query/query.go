// Package query defines the request that a caller sends and the encoding of its
// text.
package query

import (
	"encoding/base64"
	"encoding/json"
	"unicode/utf8"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"
)

// Limits of a request.
const (
	// MaximumBodyBytes is the largest request body accepted, in bytes.
	MaximumBodyBytes = 1 << 20
	// MaximumKeyBytes is the longest request key accepted, in bytes.
	MaximumKeyBytes = 200
)

// Text is a sequence of bytes that need not be valid UTF-8. In JSON it is a
// string if it is valid UTF-8, and otherwise an object {"base64": "…"} with the
// standard encoding, so that no byte is lost.
type Text []byte

// encodedText is the JSON form of bytes that are not valid UTF-8.
type encodedText struct {
	Base64 string `json:"base64"`
}

// MarshalJSON implements json.Marshaler.
func (t Text) MarshalJSON() ([]byte, error) {
	return t.append(nil)
}

// append appends the JSON form to the buffer and returns the extended buffer.
func (t Text) append(buffer []byte) ([]byte, error) {
	if !utf8.Valid(t) {
		buffer = append(buffer, `{"base64":"`...)
		buffer = base64.StdEncoding.AppendEncode(buffer, t)
		return append(buffer, `"}`...), nil
	}
	buffer, err := jsontext.AppendQuote(buffer, []byte(t))
	return buffer, errors.WithStack(err)
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Text) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		text, err := jsontext.AppendUnquote(nil, data)
		*t = text
		return errors.WithStack(err)
	}
	var encoded encodedText
	if err := json.Unmarshal(data, &encoded); err != nil {
		return err
	}
	decoded, err := base64.StdEncoding.DecodeString(encoded.Base64)
	*t = decoded
	return errors.WithStack(err)
}

// Texts is a list of texts. It encodes all elements into a single buffer, since
// an answer may have millions of them.
type Texts []Text

// MarshalJSON implements json.Marshaler.
func (t Texts) MarshalJSON() (buffer []byte, err error) {
	size := 2
	for _, text := range t {
		size += len(text) + len(text)/8 + 3
	}
	buffer = append(make([]byte, 0, size), '[')
	for i, text := range t {
		if i > 0 {
			buffer = append(buffer, ',')
		}
		if buffer, err = text.append(buffer); err != nil {
			return nil, err
		}
	}
	return append(buffer, ']'), nil
}

// Request is the JSON body of a caller's request.
type Request struct {
	// Kind is the name of a kind of work in the document.
	Kind string `json:"kind"`
	// Query is passed on to the upstreams unchanged.
	Query Text `json:"query"`
	// DeadlineMillis is the longest time that the caller waits, in milliseconds.
	// 0 stands for the deadline of the kind, which is also the upper bound.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`
	// Key is the idempotency key of a request of a kind that must not be repeated,
	// and required there: such a request runs at most once under its key, however
	// often it is sent. Key is a ticket issued by a node, or a key of the caller's
	// own, which the node claims in the platform before it runs the request.
	Key string `json:"key,omitempty"`
	// FirstUse is true if nothing was sent under Key before. A node that can't reach
	// the platform to claim Key then knows that the request has not run.
	FirstUse bool `json:"first,omitempty"`
	// Caller names the sender, for fair sharing within a rank.
	Caller string `json:"caller,omitempty"`
}
