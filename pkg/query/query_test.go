package query

import (
	"bytes"
	"encoding/json"
	"testing"
)

func FuzzText(f *testing.F) {
	for _, text := range []string{"", "plain", "a\xff\xfe", "<&>\u2028\x00\"\\", "\r\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		encoded, err := json.Marshal(Texts{text, text})
		if err != nil {
			t.Fatal(err)
		}
		var decoded Texts
		if err := json.Unmarshal(encoded, &decoded); err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
		if len(decoded) != 2 || !bytes.Equal(decoded[0], text) || !bytes.Equal(decoded[1], text) {
			t.Fatalf("%q decoded as %q", text, decoded)
		}
	})
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte(`{"kind":"search","query":"text","deadlineMillis":5,"key":"k","caller":"c"}`))
	f.Add([]byte(`{"kind":"search","query":{"base64":"/w=="}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var request Request
		if err := json.Unmarshal(body, &request); err != nil {
			return
		}
		encoded, err := json.Marshal(request)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Request
		if err := json.Unmarshal(encoded, &decoded); err != nil || !bytes.Equal(request.Query, decoded.Query) {
			t.Fatalf("%s: %v", encoded, err)
		}
	})
}

func BenchmarkTexts(b *testing.B) {
	texts := make(Texts, 10_000)
	for i := range texts {
		texts[i] = Text("line number 123456 of a large file with some padding text")
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := json.Marshal(texts); err != nil {
			b.Fatal(err)
		}
	}
}
