package promotion

import (
	"flag"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/bronzereach/bronzereach/pkg/document"
)

func init() {
	// A fixed seed makes every run check the same cases. Setting a flag that
	// rapid defines can't fail.
	_ = flag.Set("rapid.seed", "1")
}

// TestDelta checks that the delta of any two texts turns the old one into the
// updated one, and that applying it to a different old text fails or gives the
// updated text, but never a wrong one.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := rapid.StringMatching("[ab]{0,12}").Draw(t, "old")
		updated := rapid.StringMatching("[ab]{0,12}").Draw(t, "updated")
		withoutText, err := Record{PromotionID: "p", Digest: document.Digest([]byte(updated))}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		value, err := ComputeDelta(old, updated).Apply(withoutText, old)
		if err != nil {
			t.Fatal(err)
		}
		record, err := DecodeRecord(value)
		if err != nil || record.Text != updated {
			t.Fatalf("old text %q: got %q, want %q (error %v)", old, record.Text, updated, err)
		}
		value, err = ComputeDelta(old, updated).Apply(withoutText, old+"c"+old)
		if err != nil {
			return
		}
		if record, err = DecodeRecord(value); err != nil || record.Text != updated {
			t.Fatalf("applied to another text: got %q, want %q or an error", record.Text, updated)
		}
	})
}

// TestDeltaOutOfRange: a delta that keeps more than there is is refused.
func TestDeltaOutOfRange(t *testing.T) {
	withoutText, err := Record{PromotionID: "p"}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range []Delta{
		{Prefix: math.MaxInt, Suffix: math.MaxInt},
		{Prefix: 1, Suffix: math.MaxInt},
		{Prefix: 2, Suffix: 2},
		{Prefix: -1},
	} {
		if _, err := d.Apply(withoutText, "old"); err == nil {
			t.Errorf("%+v was applied to a text of 3 bytes", d)
		}
	}
}

// FuzzDecodeRecord: no value makes the decoder panic, and what it takes can be encoded
// again without change.
func FuzzDecodeRecord(f *testing.F) {
	value, err := Record{PromotionID: "p", Text: "name = \"x\"", History: []HistoryEntry{{Version: 1}}}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add(value[:len(value)/2])
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, value []byte) {
		record, err := DecodeRecord(value)
		if err != nil {
			return
		}
		encoded, err := record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if again, err := DecodeRecord(encoded); err != nil || !reflect.DeepEqual(record, again) {
			t.Fatalf("got %+v, want %+v, error %v", again, record, err)
		}
	})
}
