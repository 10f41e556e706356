package document

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestProblems checks the reported problems of faulty documents.
func TestProblems(t *testing.T) {
	datadriven.RunTest(t, "testdata/problems", func(_ *testing.T, d *datadriven.TestData) string {
		parsed, err := Parse([]byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return "valid " + parsed.Name + "\n"
	})
}

// TestExamples parses the example documents of both users.
func TestExamples(t *testing.T) {
	for name, want := range map[string]struct{ services, upstreams int }{
		"blueMountain": {27, 84},
		"sadykov":      {27, 135},
	} {
		text, err := os.ReadFile("../../examples/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		upstreams := 0
		for _, service := range parsed.Services {
			upstreams += len(service.Upstreams)
		}
		if len(parsed.Services) != want.services || upstreams != want.upstreams {
			t.Errorf("%s: %d services with %d upstreams, want %+v", name, len(parsed.Services), upstreams, want)
		}
		kind, found := parsed.Kind(parsed.Checks[0].Kind)
		if !found || len(parsed.ServicesOf(kind.TargetName())) != 10 {
			t.Errorf("%s: kind %+v", name, kind)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"blueMountain", "sadykov"} {
		text, err := os.ReadFile("../../examples/" + name + ".toml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte("[[rank]]\nname = 1\n[rank]\n"))
	f.Add([]byte("name.a.b = [[1]]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, err := Parse(text)
		if (parsed == nil) == (err == nil) {
			t.Fatalf("document %v, error %v", parsed, err)
		}
		if err != nil && strings.TrimSpace(err.Error()) == "" {
			t.Fatal("the error has an empty text")
		}
	})
}
