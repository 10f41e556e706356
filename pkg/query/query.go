// Package query defines what a caller sends: the request and its text.
package query

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Limits of a request.
const (
	// MaximumBody is the largest request body accepted, in bytes.
	MaximumBody = 1 << 20
	// MaximumKey is the longest request key accepted, in bytes.
	MaximumKey = 200
)

// Text is a run of bytes that need not be UTF-8. In JSON it is a string when
// the bytes are valid UTF-8 and otherwise an object {"base64": "…"} with the
// standard encoding, so that no byte is lost.
type Text []byte

// encodedText is the JSON form of bytes that are not UTF-8.
type encodedText struct {
	Base64 string `json:"base64"`
}

// MarshalJSON implements json.Marshaler.
func (t Text) MarshalJSON() ([]byte, error) {
	if !utf8.Valid(t) {
		return json.Marshal(encodedText{Base64: base64.StdEncoding.EncodeToString(t)})
	}
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(string(t)); err != nil {
		return nil, errors.WithStack(err)
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Text) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		var text string
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
		*t = Text(text)
		return nil
	}
	var encoded encodedText
	if err := json.Unmarshal(data, &encoded); err != nil {
		return err
	}
	decoded, err := base64.StdEncoding.DecodeString(encoded.Base64)
	*t = decoded
	return errors.WithStack(err)
}

// Request is one question or order of a caller.
type Request struct {
	// Kind names a kind of work in the document.
	Kind string `json:"kind"`
	// Query is handed to the upstreams as it is.
	Query Text `json:"query"`
	// DeadlineMillis is the longest the caller waits, in milliseconds. 0 means
	// the deadline of the kind, which is also the upper bound.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`
	// Key is required for a kind that is not to be repeated: a ticket from a
	// node, or a key of the caller's own that is claimed in the platform.
	Key string `json:"key,omitempty"`
	// Caller names who asks, for fair shares within a rank.
	Caller string `json:"caller,omitempty"`
}
