package promotion

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"github.com/bronzereach/bronzereach/pkg/document"
)

func init() {
	// The same cases every run. Setting a flag that rapid defines can't fail.
	_ = flag.Set("rapid.seed", "1")
}

// TestDelta: for any two texts the delta leads from one to the other, and on
// another text no wrong one comes out.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := rapid.StringMatching("[ab]{0,12}").Draw(t, "old")
		fresh := rapid.StringMatching("[ab]{0,12}").Draw(t, "fresh")
		bare, err := Record{PromotionID: "p", Digest: document.Digest([]byte(fresh))}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		value, err := ComputeDelta(old, fresh).Apply(bare, old)
		if err != nil {
			t.Fatal(err)
		}
		record, err := DecodeRecord(value)
		if err != nil || record.Text != fresh {
			t.Fatalf("%q became %q, want %q (%v)", old, record.Text, fresh, err)
		}
		value, err = ComputeDelta(old, fresh).Apply(bare, old+"c"+old)
		if err != nil {
			return
		}
		if record, err = DecodeRecord(value); err != nil || record.Text != fresh {
			t.Fatalf("on another text %q came out, want %q or an error", record.Text, fresh)
		}
	})
}
